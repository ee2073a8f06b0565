package crowdtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"testing"
)

// Ports of a node that callers and operators use.
const (
	portServeCallers   = "7301"
	portServeOperators = "7302"
)

// startServe starts a node with an embedded platform, whose listeners are those of serve.
func startServe(t *testing.T, l limits) *node {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	n := newNode(l)
	callers := net.JoinHostPort(nodeIP, portServeCallers)
	n.command = exec.Command(path, "dev", "--json", "--listen", callers, "--admin-listen", net.JoinHostPort(nodeIP, portServeOperators))
	n.start(t)
	var started struct {
		Key string `json:"key"`
	}
	n.await(t, "the node serves", func() bool {
		return json.Unmarshal([]byte(n.log.String()), &started) == nil && started.Key != ""
	})
	n.ordinary = func(ctx context.Context, _ string) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+callers+"/v1/models", nil)
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer "+started.Key)
		response, err := n.client.Do(request)
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("%w: status %d", errNotAnswered, response.StatusCode)
		}
		return nil
	}
	return n
}

// TestCrowdOfServe guards the listeners of serve against what those of an entry VM are
// guarded against: heads of 1 MiB at the port of operators.
func TestCrowdOfServe(t *testing.T) {
	usual := limits{memoryMB: 206, maxFDs: 2870}
	for _, port := range []string{portServeCallers, portServeOperators} {
		for _, crowd := range crowds {
			switch crowd.name {
			case "heads without end", "bodies in large chunks short of their end", "bodies in chunks of one byte short of their end":
				t.Run(port+" "+crowd.name, func(t *testing.T) {
					n := startServe(t, usual)
					gather(t, crowdSize, port, crowd.act)
					n.check(t)
				})
			}
		}
	}
}
