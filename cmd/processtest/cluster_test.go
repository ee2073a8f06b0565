// Package processtest runs the programs as separate processes on loopback and
// kills and pauses them, or makes the simulated platform fail.
package processtest

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"almondbay.example/standin/platformstandin"
)

const (
	apiKey       = "secret"
	span         = 4
	groups       = 2
	members      = span*groups + 1
	pollInterval = 50 * time.Millisecond
	// pollTimeout bounds each wait for a state of the processes. Only a wait for a
	// process that hangs reaches it.
	pollTimeout = time.Minute
)

// binDir is the directory of the programs built by TestMain.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		panic(err)
	}
	binDir = dir
	build := exec.Command("go", "build", "-race", "-o", dir, "../almondbay", "../standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a running program.
type process struct {
	*exec.Cmd
	// address is the first line on standard output, if startProcess read it.
	address string
	log     *logBuffer
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// pause stops a process and waits until all its threads are stopped: under load
// the signal takes effect only once one of the threads is scheduled, and until
// then the other threads still answer requests.
func (p *process) pause(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGSTOP)
	var states string
	poll(t, "all threads of the process are stopped", func() bool {
		var err error
		states, err = threadStates(p.Process.Pid)
		return err == nil && states != "" && strings.Trim(states, "T") == ""
	}, func() string { return states })
}

// threadStates returns the state letters of all threads of a process.
func threadStates(pid int) (string, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return "", err
	}
	var states strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return "", err
		}
		// The name before the state is in parentheses and may contain spaces.
		_, rest, _ := strings.Cut(string(text), ") ")
		states.WriteString(rest[:min(1, len(rest))])
	}
	return states.String(), nil
}

// cluster is a platform, the members of replica groups and nodes.
type cluster struct {
	platform *process
	members  []*process
	nodes    []*process
	// split is the index of the first member in the second fabric domain.
	split int
	// callers, operators and peers are the listen addresses of the nodes.
	callers, operators, peers []string
}

// startProcess runs a program until the test ends, and fails the test if the race
// detector reports a data race in it.
func startProcess(t *testing.T, awaitLine bool, name string, args ...string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(filepath.Join(binDir, name), args...), log: &logBuffer{}}
	p.Stderr = p.log
	out, err := p.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
		if strings.Contains(p.log.String(), "DATA RACE") {
			t.Errorf("%s %v: the race detector reported a data race", name, args)
		}
		if t.Failed() {
			t.Logf("%s %v:\n%.4000s", name, args, p.log)
		}
	})
	if awaitLine {
		line, err := bufio.NewReader(out).ReadString('\n')
		if err != nil {
			t.Fatalf("%s %v: %v: %s", name, args, err, p.log)
		}
		p.address = strings.TrimSpace(line)
	}
	return p
}

// logBuffer collects the standard error of a running process.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// listenAddresses returns the addresses that a node has logged, by listener.
func (l *logBuffer) listenAddresses() map[string]string {
	addresses := map[string]string{}
	for _, line := range strings.Split(l.String(), "\n") {
		var logged struct{ Msg, Listener, Address string }
		if json.Unmarshal([]byte(line), &logged) == nil && logged.Msg == "listening" {
			addresses[logged.Listener] = logged.Address
		}
	}
	return addresses
}

// newCluster starts a platform, members with the given time between tokens and
// nodes, applies a document and waits until every group serves.
func newCluster(t *testing.T, nodes int, tokenInterval time.Duration) *cluster {
	t.Helper()
	return newSplitCluster(t, nodes, tokenInterval, members)
}

// newSplitCluster is newCluster with the members from index split on in a second
// fabric domain.
func newSplitCluster(t *testing.T, nodes int, tokenInterval time.Duration, split int) *cluster {
	t.Helper()
	c := &cluster{platform: startProcess(t, true, "standin", "platform"), split: split}
	for i := range members {
		c.members = append(c.members, nil)
		c.startMember(t, i, tokenInterval)
	}
	for i := range nodes {
		c.startNode(t, fmt.Sprintf("node-%d", i))
	}
	c.apply(t, "1")
	c.awaitReady(t, "1")
	return c
}

// startMember starts the member on VM i, or restarts it.
func (c *cluster) startMember(t *testing.T, i int, tokenInterval time.Duration) {
	t.Helper()
	fabric := "fabric-1"
	if i >= c.split {
		fabric = "fabric-2"
	}
	c.members[i] = startProcess(t, true, "standin", "engine",
		"--id", fmt.Sprintf("vm-%d", i), "--platform", "http://"+c.platform.address,
		"--fabric-domain", fabric, "--load-time", "100ms",
		"--token-interval", tokenInterval.String())
}

// servingMember returns the index of a member that belongs to a group.
func (c *cluster) servingMember(t *testing.T) int {
	t.Helper()
	for i, m := range c.members {
		if memberHealth(m.address).Group != "" {
			return i
		}
	}
	t.Fatal("no member belongs to a group")
	return 0
}

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// startNode starts a node that may fetch its state from the seeds, which are peer
// addresses of other nodes.
func (c *cluster) startNode(t *testing.T, id string, seeds ...string) {
	t.Helper()
	seedList, err := json.Marshal(append([]string{}, seeds...))
	if err != nil {
		t.Fatal(err)
	}
	settings := fmt.Sprintf(`{
	"node": %q, "failureDomain": "a", "environment": "trial",
	"caller": {"address": "127.0.0.1:0"},
	"operator": {"address": "127.0.0.1:0", "operators": [{"name": "test", "keyHash": %q}]},
	"peer": {"address": "127.0.0.1:0", "keys": ["a key that peers share"], "seeds": %s},
	"platform": {"address": "http://%s"},
}`, id, sha256Hex(apiKey), seedList, c.platform.address)
	path := filepath.Join(t.TempDir(), id+".jsonc")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	n := startProcess(t, false, "almondbay", "serve", path)
	var addresses map[string]string
	poll(t, id+" listens", func() bool {
		addresses = n.log.listenAddresses()
		return len(addresses) == 3
	}, n.log.String)
	c.putControl(t, platformstandin.PathControlVM, fmt.Sprintf(
		`{"id": %q, "address": %q, "failureDomain": "a", "role": "entry", "state": "live"}`, id, addresses["peer"]))
	c.nodes = append(c.nodes, n)
	c.callers = append(c.callers, addresses["caller"])
	c.operators = append(c.operators, addresses["operator"])
	c.peers = append(c.peers, addresses["peer"])
}

// apply applies a document with the given version of the model, and retries until
// a node accepts it.
func (c *cluster) apply(t *testing.T, version string) {
	t.Helper()
	document := fmt.Sprintf(`{
	"models": [{"name": "demo", "version": %q, "groups": %d, "span": %d}],
	"workspaces": [{"name": "default", "keyHashes": [%q], "share": 1,
		"objective": {"firstToken": "2s", "betweenToken": "45ms", "target": 0.95}}],
	"services": [{"name": "booking", "timeout": "10s", "nonIdempotent": [{"method": "POST", "path": "/"}]}],
}`, version, groups, span, sha256Hex(apiKey))
	path := filepath.Join(t.TempDir(), "document.jsonc")
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	var printed []byte
	poll(t, "the document is accepted", func() bool {
		command := exec.Command(filepath.Join(binDir, "almondbay"), "apply", "--server", "http://"+c.operators[0], path)
		command.Env = append(os.Environ(), "ALMONDBAY_OPERATOR_KEY="+apiKey)
		out, err := command.CombinedOutput()
		printed = out
		return err == nil
	}, func() string { return string(printed) })
}

// poll waits until the condition is met. On a timeout it fails the test with the
// detail.
func poll(t *testing.T, what string, condition func() bool, detail func() string) {
	t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	deadline := time.NewTimer(pollTimeout)
	defer deadline.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline.C:
			t.Fatalf("timeout after %s waiting until %s: %s", pollTimeout, what, detail())
		}
	}
}

// health holds the fields of a member's health answer that the tests use.
type health struct {
	Group   string `json:"group"`
	Version string `json:"version"`
	Phase   string `json:"phase"`
	Running int    `json:"running"`
}

// memberHealth queries the health of a member. It returns a zero health if there
// is no answer.
func memberHealth(address string) health {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + "/health")
	if err != nil {
		return health{}
	}
	defer func() { _ = response.Body.Close() }()
	var h health
	_ = json.NewDecoder(response.Body).Decode(&h)
	return h
}

// awaitReady waits until every group has all its members ready at version and
// every node returns complete answers.
func (c *cluster) awaitReady(t *testing.T, version string) {
	t.Helper()
	var ready map[string]int
	poll(t, "all groups are ready at version "+version, func() bool {
		ready = map[string]int{}
		for _, m := range c.members {
			if h := memberHealth(m.address); h.Phase == "ready" && h.Version == version {
				ready[h.Group]++
			}
		}
		complete := 0
		for _, n := range ready {
			if n == span {
				complete++
			}
		}
		return complete == groups
	}, func() string { return fmt.Sprint(ready) })
	for _, address := range c.callers {
		var last string
		poll(t, "node "+address+" returns a complete answer", func() bool {
			last = streamAnswer(address, 0)
			return isComplete(last)
		}, func() string { return last })
	}
}

// streamAnswer requests a streamed answer and returns its events, or the error.
// The answer depends on the seed.
func streamAnswer(address string, seed int) string {
	body := fmt.Sprintf(`{"model": "demo", "stream": true, "seed": %d,
		"messages": [{"role": "user", "content": "hello"}]}`, seed)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return string(answer) + err.Error()
	}
	return string(answer)
}

// book sends a booking to a node with an idempotency key. The status is 0 when the
// node did not answer.
func (c *cluster) book(t *testing.T, node int, idempotencyKey, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+c.callers[node]+"/services/booking/seats", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Idempotency-Key", idempotencyKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(answer)
}

// isComplete reports whether a streamed answer ends with the end marker.
func isComplete(answer string) bool {
	return strings.HasSuffix(answer, "data: [DONE]\n\n")
}

// setFault makes the simulated platform fail in the given way.
func (c *cluster) setFault(t *testing.T, f platformstandin.Fault) {
	t.Helper()
	c.putControl(t, platformstandin.PathControlFault+"/"+string(f), "")
}

// putControl calls the control API of the simulated platform.
func (c *cluster) putControl(t *testing.T, path, body string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+c.platform.address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Fatalf("PUT %s got %s, want status %d", path, response.Status, http.StatusNoContent)
	}
}
