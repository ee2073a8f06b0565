package ingress_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"

	"almondbay.example/core/attempt"
	"almondbay.example/internal/routing/quarantine"
)

// blame records three crashes under a part of prompts.
func (f *fixture) blame(part string) {
	now := f.clock.Now()
	for i := range 3 {
		f.guard.RecordEnd(quarantine.End{
			Crash: attempt.Crash{Group: fmt.Sprint("g", i)}, At: now.Add(-time.Duration(i) * time.Second),
			Marks: []quarantine.Mark{quarantine.NewParts([]string{part})[0].Mark()},
		}, now)
	}
}

// TestWaitingRequestWithBlamedPartIsCanceled guards against requests that wait at servers
// when it becomes known that a part of their prompts ends servers, and end those too.
func TestWaitingRequestWithBlamedPartIsCanceled(t *testing.T) {
	tests := []struct {
		name, path, part string
		begun, canceled  bool
	}{
		{"waits", "/safe/x", "bad", false, true},
		{"stream that waits", "/stream/x", "bad", false, true},
		{"other part", "/safe/x", "other", false, false},
		{"may not run again", "/once/x", "bad", false, false},
		{"stream that has begun", "/stream/x", "bad", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			arrived, proceed, gone := make(chan struct{}), make(chan struct{}), make(chan struct{})
			s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Signature", "x")
				if tt.begun {
					_, _ = fmt.Fprint(w, numbered(1, 1))
					_ = http.NewResponseController(w).Flush()
				}
				close(arrived)
				select {
				case <-proceed:
					_, _ = fmt.Fprint(w, numbered(2, 2))
				case <-r.Context().Done():
					close(gone)
				}
			})
			f := newFixture(t, 9, s)
			request := f.request(t, http.MethodPost, tt.path)
			request.Header.Set("Shared-Part", tt.part)
			status := make(chan int, 1)
			f.group.Go(func() error {
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					return err
				}
				status <- response.StatusCode
				_, err = io.Copy(io.Discard, response.Body)
				return errors.Join(err, response.Body.Close())
			})
			<-arrived
			if tt.begun {
				for f.board.LocalReport(f.clock.Now().Add(-time.Hour), f.clock.Now()).Progressed == nil {
					runtime.Gosched()
				}
			}
			f.blame("bad")
			f.handler.Check(f.clock.Now())
			if tt.canceled {
				<-gone
			} else {
				close(proceed)
			}
			if err := f.group.Wait(); err != nil {
				t.Fatal(err)
			}
			if got := <-status; (got == http.StatusBadGateway) != tt.canceled {
				t.Errorf("status %d, want a canceled request: %v", got, tt.canceled)
			}
			if result := <-f.results; len(result.Tries) != 1 {
				t.Errorf("%d tries, want 1", len(result.Tries))
			}
		})
	}
}

// TestOnlyCompletedRunAcquits guards against a request that ends servers and is sent on since
// another server answered it without having run it: with an error of its own, or a rejection.
func TestOnlyCompletedRunAcquits(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		status int
		signed bool
		want   bool
	}{
		{"success", "/once/x", http.StatusOK, true, true},
		{"success without content", "/once/x", http.StatusNoContent, true, true},
		{"stream", "/stream/x", http.StatusOK, true, true},
		{"success that isn't signed", "/once/x", http.StatusOK, false, false},
		{"error of the server", "/once/x", http.StatusInternalServerError, true, false},
		{"error of the server, on a request that may be repeated", "/safe/x", http.StatusInternalServerError, true, false},
		{"error of the server, on a stream", "/stream/x", http.StatusInternalServerError, true, false},
		{"end of the deadline at the server", "/once/x", http.StatusGatewayTimeout, true, false},
		{"rejection that doesn't state that it has not run", "/once/x", http.StatusTooManyRequests, true, false},
		{"rejection of the content", "/once/x", http.StatusUnprocessableEntity, true, false},
		{"redirection", "/once/x", http.StatusTemporaryRedirect, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 0, newServer(t, func(w http.ResponseWriter, _ *http.Request) {
				if tt.signed {
					w.Header().Set("Signature", "x")
				}
				w.WriteHeader(tt.status)
				if tt.path == "/stream/x" && tt.status == http.StatusOK {
					_, _ = io.WriteString(w, numbered(1, 2))
				}
			}))
			f.call(t, http.MethodPost, tt.path)
			if got := f.answered.Load(); got != tt.want {
				t.Errorf("counts as a run that went through: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestTrialIsSentOnce guards against a request with a blamed part that ends a second server,
// as its trial is tried again elsewhere, and against trials that follow each other at once.
func TestTrialIsSentOnce(t *testing.T) {
	first, second := newServer(t, reset), newServer(t, reset)
	f := newFixture(t, 9, first, second)
	withPart := func(r *http.Request) { r.Header.Set("Shared-Part", "bad") }
	f.blame("bad")
	if a := f.call(t, http.MethodPost, "/safe/x", withPart); a.status != http.StatusServiceUnavailable || a.result.Trial {
		t.Fatalf("answer %+v before a trial is due, want status 503", a)
	}
	f.clock.Advance(time.Minute + 2*time.Second)
	if a := f.call(t, http.MethodPost, "/safe/x", withPart); a.status != http.StatusBadGateway || !a.result.Trial || len(a.result.Tries) != 1 {
		t.Errorf("answer %+v of the trial, want status 502 after one try", a)
	}
	if a := f.call(t, http.MethodPost, "/safe/x", withPart); a.status != http.StatusServiceUnavailable || a.result.Trial {
		t.Errorf("answer %+v after the trial, want status 503", a)
	}
	if n := first.requests() + second.requests(); n != 1 {
		t.Errorf("%d requests reached servers, want 1", n)
	}
}
