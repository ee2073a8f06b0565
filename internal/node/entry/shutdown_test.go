package entry_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"almondbay.example/serving/event"
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

// TestShutdownWaitsForArrivingBody guards against a request that is cut off because its
// body was still arriving when the node was told to stop.
func TestShutdownWaitsForArrivingBody(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "x")
		_, _ = w.Write(body)
	}))
	defer backend.Close()
	n := startNode(t, strings.TrimPrefix(backend.URL, "http://"))
	n.advanceUntil(n.ready)
	body, rest := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/x", body)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Id", "slow")
	answer := make(chan string, 1)
	var caller errgroup.Group
	caller.Go(func() error {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		got, err := io.ReadAll(response.Body)
		answer <- string(got)
		return errors.Join(err, response.Body.Close())
	})
	// The second write returns once the first one was passed on to the node.
	for _, part := range []string{"first ", "second "} {
		if _, err := io.WriteString(rest, part); err != nil {
			t.Fatal(err)
		}
	}
	n.stop()
	for n.ready() {
		// Another goroutine handles the signal.
		continue
	}
	stoppedAt := n.clock.Now()
	n.advanceUntil(func() bool { return n.clock.Since(stoppedAt) >= grace/2 })
	if _, err := io.WriteString(rest, "last"); err != nil {
		t.Fatal(err)
	}
	if err := rest.Close(); err != nil {
		t.Fatal(err)
	}
	if err := caller.Wait(); err != nil {
		t.Fatal(err)
	}
	if got := <-answer; got != "first second last" {
		t.Errorf("answer %q, want the whole body", got)
	}
	n.advanceUntil(n.hasStopped)
}

// TestRequestAbortedAtEndOfGraceIsLogged guards against a request without a line in
// the log: the node stopped without waiting for the requests that it aborts.
func TestRequestAbortedAtEndOfGraceIsLogged(t *testing.T) {
	started := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The server detects a closed connection only after it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
	}))
	defer backend.Close()
	n := startNode(t, strings.TrimPrefix(backend.URL, "http://"))
	n.advanceUntil(n.ready)
	request, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Id", "endless")
	var caller errgroup.Group
	caller.Go(func() error {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			// The node closes the connection.
			return nil
		}
		return response.Body.Close()
	})
	<-started
	n.stop()
	n.advanceUntil(n.hasStopped)
	if got := n.lines.FilterMessage(event.RequestEnded.Message).FilterField(zap.String("request", "endless")).Len(); got != 1 {
		t.Errorf("request aborted at the end of the grace period was logged in %d lines, want 1", got)
	}
	if err := caller.Wait(); err != nil {
		t.Error(err)
	}
}
