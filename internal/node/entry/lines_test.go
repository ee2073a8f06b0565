package entry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"almondbay.example/serving/event"
)

// suspended is above the longest time that a head is passed over after failures.
const suspended = 5 * time.Second

// TestOneLineForEachRequest has requests end in every way there is: each leaves
// exactly one line with its ID and outcome, and a cause unless it was answered.
func TestOneLineForEachRequest(t *testing.T) {
	begun := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Id")
		// A server notices a caller that leaves once it has read the body.
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Header().Set("Id", id)
		w.Header().Set("Signature", "x")
		switch id {
		case "failed":
			panic(http.ErrAbortHandler)
		case "broken":
			_, _ = io.WriteString(w, "id: 1\ndata: piece\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case "callerLeft":
			close(begun)
			<-r.Context().Done()
		default:
			_, _ = io.WriteString(w, "answer")
		}
	}))
	defer backend.Close()
	n := startNode(t, strings.TrimPrefix(backend.URL, "http://"))
	n.advanceUntil(n.ready)
	paths := map[string]string{
		"answered": "/x", "failed": "/x", "broken": "/stream/x", "refused": "/nowhere/x", "denied": "/x", "callerLeft": "/x",
	}
	for outcome, path := range paths {
		// The head is not passed over for what it did to the last request.
		n.clock.Advance(suspended)
		ctx, leave := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+path, strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "h"
		if outcome == "denied" {
			request.Host = "other"
		}
		request.Header.Set("Id", outcome)
		var caller errgroup.Group
		caller.Go(func() error {
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				// What the caller sees of a broken answer is of no matter here.
				return nil
			}
			_, _ = io.Copy(io.Discard, response.Body)
			return response.Body.Close()
		})
		if outcome == "callerLeft" {
			<-begun
			leave()
		}
		if err := caller.Wait(); err != nil {
			t.Error(err)
		}
		leave()
	}
	// The node logs all of them before it has ended.
	n.stop()
	n.advanceUntil(n.hasEnded)
	lines := map[string][]string{}
	for _, line := range n.lines.FilterMessage(event.RequestEnded.Message).All() {
		fields := line.ContextMap()
		id := fields["request"].(string)
		lines[id] = append(lines[id], fields["outcome"].(string))
		if (fields["cause"] == "") != (id == "answered") {
			t.Errorf("request %s has cause %q", id, fields["cause"])
		}
	}
	for outcome := range paths {
		if got := lines[outcome]; len(got) != 1 || got[0] != outcome {
			t.Errorf("lines on a request that ended as %s: %v", outcome, got)
		}
	}
}
