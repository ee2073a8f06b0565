package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/quarantine"
)

// TestLateAnswerIsNoMarkAgainstServer guards against a sound server that gets no requests: a copy for another request came in place of an answer.
func TestLateAnswerIsNoMarkAgainstServer(t *testing.T) {
	for name, late := range lateAnswers {
		t.Run(name, func(t *testing.T) {
			answers := []http.HandlerFunc{lateCopy("another", late), success}
			var near *server
			near = newServer(t, func(w http.ResponseWriter, r *http.Request) { answers[near.requests()-1](w, r) })
			far := newServer(t, success)
			f := newFixture(t, 10, near, far)
			f.call(t, http.MethodPost, "/once/x")
			if a := f.call(t, http.MethodPost, "/once/y"); a.result.Tries[0].Head != "s0" {
				t.Errorf("the next request was sent to %s, want s0: no mark against it", a.result.Tries[0].Head)
			}
		})
	}
}

// TestTryWithLateAnswerIsNotBlamedForLaterEnd guards against a request that is blamed for the end of a server at which it was given up long before.
func TestTryWithLateAnswerIsNotBlamedForLaterEnd(t *testing.T) {
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/once/innocent":
			lateCopy("another", rejectedNotRun)(w, r)
		case "/once/crash":
			reset(w, r)
		default:
			success(w, r)
		}
	})
	f := newFixture(t, 10, s)
	f.call(t, http.MethodPost, "/once/innocent", func(r *http.Request) { r.Header.Set("Shared-Part", "p") })
	f.clock.Advance(5 * time.Second)
	if a := f.call(t, http.MethodPost, "/once/other"); a.status != http.StatusOK {
		t.Fatalf("answer %+v, want that of the server", a)
	}
	f.clock.Advance(5 * time.Second)
	f.call(t, http.MethodPost, "/once/crash")
	tracker := quarantine.NewTracker(quarantine.TrackerConfig{
		Retention: 12 * time.Second, LapseMin: 2 * time.Second, LapseMax: 6 * time.Second, ReturnGrace: 2 * time.Second,
		CheckInterval: 200 * time.Millisecond, MaxLosses: 10,
	})
	var culprit, innocent []quarantine.Mark
	var head registry.Head
	for _, l := range f.losses {
		tracker.Add(l)
		if head = l.Head; l.Abrupt {
			culprit = l.Marks
		} else {
			innocent = l.Marks
		}
	}
	if len(culprit) == 0 {
		t.Fatalf("losses %+v, want one that is abrupt", f.losses)
	}
	for _, e := range tracker.RecordCheck(head, f.clock.Now(), quarantine.CheckRefused) {
		for _, m := range innocent {
			if slices.Contains(e.Marks, m) {
				t.Errorf("end by %q counts against %+v, which was given up 10 s before", e.Proof, m)
			}
		}
	}
}

// TestCutCopyIsNotBelieved guards against a request that is refused though it ran: a copy for another request ended within a line, and the answer was read as the rest of its head.
func TestCutCopyIsNotBelieved(t *testing.T) {
	ran := make(chan string, 2)
	s := newCutCopyServer(t, ran)
	f := newFixture(t, 10, s)
	f.call(t, http.MethodPost, "/once/x", func(r *http.Request) { r.Header.Set("Id", "first") })
	f.clock.Advance(2 * time.Hour)
	a := f.call(t, http.MethodPost, "/once/x", func(r *http.Request) { r.Header.Set("Id", "second") })
	if len(ran) == 1 && impliesNotRun(a.status) {
		t.Errorf("answer %+v to a request that ran", a)
	}
}

// newCutCopyServer rejects the first request on a connection, and runs the others with a part of
// that rejection before the answer.
func newCutCopyServer(t *testing.T, ran chan<- string) *server {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const rejection = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nPause: 3"
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for first := true; ; first = false {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return nil
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return nil
					}
					id := request.Header.Get("Id")
					if first {
						_, _ = fmt.Fprintf(conn, "%ss\r\nId: %s\r\nContent-Length: 0\r\n\r\n", rejection, id)
						continue
					}
					ran <- id
					_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nContent-Length: 4\r\n\r\ngood", rejection, id)
				}
			})
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	return &server{Server: &httptest.Server{URL: "http://" + listener.Addr().String()}}
}
