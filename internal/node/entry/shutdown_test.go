package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
)

// TestShutdownDrainsRequests guards against requests that are cut off when nodes
// are restarted one after another (fault pattern roll_term). After SIGTERM the
// node is unready at once, still accepts what the load balancer sends, and stops
// only after the last answer is complete.
func TestShutdownDrainsRequests(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Id") == "long" {
			close(started)
			<-release
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "x")
		_, _ = io.WriteString(w, "answer to "+r.Header.Get("Id"))
	}))
	defer backend.Close()
	n := startNode(t, strings.TrimPrefix(backend.URL, "http://"))
	n.advanceUntil(n.ready)
	long := make(chan string, 1)
	var callers errgroup.Group
	callers.Go(func() error {
		long <- n.send(t, "long")
		return nil
	})
	<-started
	n.stop()
	for n.ready() {
		// Another goroutine handles the signal.
		continue
	}
	if got := n.send(t, "late"); got != "answer to late" {
		t.Errorf("request sent just after SIGTERM was answered with %q", got)
	}
	// By now the load balancer has stopped routing to the node, which no longer
	// accepts connections.
	stoppedAt := n.clock.Now()
	n.advanceUntil(func() bool { return n.clock.Since(stoppedAt) >= grace/2 })
	if n.hasStopped() {
		t.Error("node stopped with a request in flight")
	}
	close(release)
	if got := <-long; got != "answer to long" {
		t.Errorf("request in flight was answered with %q", got)
	}
	n.advanceUntil(n.hasStopped)
	if err := n.group.Wait(); err != nil {
		t.Error(err)
	}
	if err := callers.Wait(); err != nil {
		t.Error(err)
	}
}
