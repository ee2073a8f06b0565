package ingress_test

import (
	"io"
	"net/http"
	"testing"

	"almondbay.example/internal/routing/ingress"
)

// lateCopy sends the answer of another request in place of the request's own.
func lateCopy(id string, answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Del("Id")
		if id != "" {
			w.Header().Set("Id", id)
		}
		answer(w, r)
	}
}

// lateAnswers are answers that say something about the request that they belong to, or
// about their server at the time of that request.
var lateAnswers = map[string]http.HandlerFunc{
	"rejection": rejectedNotRun,
	"rejection with a body": func(w http.ResponseWriter, r *http.Request) {
		rejectedNotRun(w, r)
		_, _ = io.WriteString(w, "full")
	},
	"rejection by another server": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	},
	"rejection of a server that is leaving": func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		rejectedNotRun(w, r)
	},
	"rejection that asks for a pause": func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Pause", "30s")
		rejectedNotRun(w, r)
	},
	"success":            success,
	"error":              serverError,
	"stream":             events(3, nil),
	"stream that breaks": events(3, func() { panic(http.ErrAbortHandler) }),
	"success, cut off": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signature", "x")
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	},
	"rejection, not by itself": rejectedUnstated,
}

// TestLateAnswerOfOtherRequestIsNotBelieved guards against a request that runs twice, or is
// refused as not run though it has run: its server sent an earlier rejection once more.
func TestLateAnswerOfOtherRequestIsNotBelieved(t *testing.T) {
	for name, late := range lateAnswers {
		for _, id := range []string{"another", ""} {
			t.Run(name+" to "+id, func(t *testing.T) {
				first, second := newServer(t, lateCopy(id, late)), newServer(t, success)
				f := newFixture(t, 10, first, second)
				a := f.call(t, http.MethodPost, "/once/x")
				if a.status != http.StatusBadGateway || a.result.Outcome != ingress.OutcomeFailed || a.retryAfter != "" {
					t.Errorf("answer %+v, want status 502: the request may have run", a)
				}
				if n := second.requests(); n != 0 {
					t.Errorf("%d requests reached the other server, want none", n)
				}
				if len(f.leaving) > 0 {
					t.Errorf("servers heard to be leaving: %q, want none", f.leaving)
				}
			})
		}
	}
}

// TestLateAnswerKeepsNoRequestFromServer guards against a server that gets no further
// requests since it said that it was full, leaving or in want of a pause in an answer to
// another request.
func TestLateAnswerKeepsNoRequestFromServer(t *testing.T) {
	for name, late := range lateAnswers {
		t.Run(name, func(t *testing.T) {
			answers := []http.HandlerFunc{lateCopy("another", late), success}
			var server *server
			server = newServer(t, func(w http.ResponseWriter, r *http.Request) { answers[server.requests()-1](w, r) })
			f := newFixture(t, 10, server)
			f.call(t, http.MethodPost, "/once/x")
			if a := f.call(t, http.MethodPost, "/once/y"); a.status != http.StatusOK {
				t.Errorf("answer %+v to the next request, want that of the server", a)
			}
		})
	}
}

// TestTryWithLateAnswerIsLost guards against a request that ends one server after another
// unnoticed: its connections were closed at the answer of another request, and the end of
// the server after that was no evidence against it.
func TestTryWithLateAnswerIsLost(t *testing.T) {
	server := newServer(t, lateCopy("another", rejectedNotRun))
	f := newFixture(t, 10, server)
	f.call(t, http.MethodPost, "/once/x", func(r *http.Request) { r.Header.Set("Shared-Part", "p") })
	if len(f.losses) != 1 {
		t.Fatalf("losses %+v, want one", f.losses)
	}
	if l := f.losses[0]; l.Abrupt || l.Head.ID != "s0" || len(l.Marks) != 2 {
		t.Errorf("loss %+v, want one of s0 that is not abrupt, with the content and the part", l)
	}
}

// TestRepeatableRequestIsTriedAgainAfterLateAnswer guards against requests that fail
// although they may run again: the answer of another request came in place of theirs.
func TestRepeatableRequestIsTriedAgainAfterLateAnswer(t *testing.T) {
	second := map[string]http.HandlerFunc{"/safe/x": success, "/stream/x": events(3, nil)}
	for path, handle := range second {
		for name, late := range lateAnswers {
			t.Run(path+" "+name, func(t *testing.T) {
				f := newFixture(t, 10, newServer(t, lateCopy("another", late)), newServer(t, handle))
				if a := f.call(t, http.MethodPost, path); a.status != http.StatusOK || a.broken || len(a.result.Tries) != 2 {
					t.Errorf("answer %+v, want that of the other server", a)
				}
			})
		}
	}
}
