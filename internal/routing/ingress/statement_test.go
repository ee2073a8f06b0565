package ingress_test

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"
)

// TestLeavingIsHeardInEveryAnswer guards against a server that is sent further requests
// although it said that it is about to shut down, in an answer of whatever kind.
func TestLeavingIsHeardInEveryAnswer(t *testing.T) {
	leaving := func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Leaving", "1")
			next(w, r)
		}
	}
	tests := []struct {
		name, path string
		answer     http.HandlerFunc
	}{
		{"complete answer", "/once/x", success},
		{"rejection", "/once/x", rejectedNotRun},
		{"server error", "/safe/x", serverError},
		{"unsigned answer", "/safe/x", unsigned},
		{"answer that breaks", "/safe/x", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
		{"stream", "/stream/x", events(3, nil)},
		{"stream that breaks", "/stream/x", events(3, func() { panic(http.ErrAbortHandler) })},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			second := success
			if tt.path == "/stream/x" {
				second = events(3, nil)
			}
			f := newFixture(t, 10, newServer(t, leaving(tt.answer)), newServer(t, second))
			f.call(t, http.MethodPost, tt.path)
			if !slices.Equal(f.leaving, []string{"s0"}) {
				t.Errorf("servers that are heard to be leaving: %q, want s0", f.leaving)
			}
		})
	}
}

// TestLeavingIsHeardBeforeStreamEnds guards against a server that is known to be leaving
// only once its last stream has ended.
func TestLeavingIsHeardBeforeStreamEnds(t *testing.T) {
	heard, release := make(chan struct{}), make(chan struct{})
	server := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		events(1, nil)(w, r)
		_ = http.NewResponseController(w).Flush()
		close(heard)
		<-release
	})
	f := newFixture(t, 10, server)
	response, err := http.DefaultClient.Do(f.request(t, http.MethodPost, "/stream/x"))
	if err != nil {
		t.Fatal(err)
	}
	// The headers have arrived, so the server's were read.
	if !slices.Equal(f.leaving, []string{"s0"}) {
		t.Errorf("servers that are heard to be leaving during the stream: %q, want s0", f.leaving)
	}
	<-heard
	close(release)
	_ = response.Body.Close()
	<-f.results
}

// TestPausedServerIsLeftAlone guards against requests to a server that rejected one and
// asked for none for some time: retries, further requests, and those of other routes.
func TestPausedServerIsLeftAlone(t *testing.T) {
	paused := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Pause", "30s")
		rejectedNotRun(w, r)
	})
	other := newServer(t, success)
	f := newFixture(t, 100, paused, other)
	for _, path := range []string{"/once/x", "/safe/x", "/once/y", "/safe/y"} {
		if a := f.call(t, http.MethodPost, path); a.status != http.StatusOK {
			t.Errorf("%s: status %d, want 200 from the other server", path, a.status)
		}
	}
	if n := paused.requests(); n != 1 {
		t.Errorf("%d requests reached the server that asked for a pause, want 1", n)
	}
	f.clock.Advance(31 * time.Second)
	f.call(t, http.MethodPost, "/once/x")
	if n := paused.requests(); n != 2 {
		t.Errorf("%d requests reached the server after its pause, want a second one", n)
	}
}

// TestPauseOfAllServersIsTold guards against a rejection that invites the caller back
// while every server still wants no requests.
func TestPauseOfAllServersIsTold(t *testing.T) {
	server := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Pause", "30s")
		rejectedNotRun(w, r)
	})
	f := newFixture(t, 100, server)
	f.call(t, http.MethodPost, "/once/x")
	f.clock.Advance(10 * time.Second)
	a := f.call(t, http.MethodPost, "/once/y")
	after, err := time.ParseDuration(a.retryAfter)
	if err != nil {
		t.Fatal(err)
	}
	if a.status != http.StatusServiceUnavailable || after < 20*time.Second || after > 22*time.Second {
		t.Errorf("status %d, retry delay %v; want 503 and the rest of the pause, 20 s, with a spread", a.status, after)
	}
	if server.requests() != 1 {
		t.Errorf("%d requests reached the server, want 1", server.requests())
	}
}
