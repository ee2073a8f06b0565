package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
)

// TestStopCutsNothing answers the pattern roll_term: after SIGTERM the node is
// unready at once, takes what the balancer still sends, and ends only when the
// last answer is whole.
func TestStopCutsNothing(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Id") == "long" {
			close(begun)
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
		long <- n.ask(t, "long")
		return nil
	})
	<-begun
	n.stop()
	for n.ready() {
		// The signal is handled by another goroutine.
		continue
	}
	if got := n.ask(t, "late"); got != "answer to late" {
		t.Errorf("a request that crossed the signal got %q", got)
	}
	// The balancer has noticed by then, and connections are no longer taken.
	stoppedAt := n.clock.Now()
	n.advanceUntil(func() bool { return n.clock.Since(stoppedAt) >= grace/2 })
	if n.hasEnded() {
		t.Error("the node ended with a request in flight")
	}
	close(release)
	if got := <-long; got != "answer to long" {
		t.Errorf("the request in flight got %q", got)
	}
	n.advanceUntil(n.hasEnded)
	if err := n.group.Wait(); err != nil {
		t.Error(err)
	}
	if err := callers.Wait(); err != nil {
		t.Error(err)
	}
}
