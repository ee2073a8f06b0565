package ingress_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"almondbay.example/internal/routing/ingress"
)

// behavior is how a backend server answers.
type behavior struct {
	name   string
	handle http.HandlerFunc
	// mayRun is set unless the server states that it did not run the request.
	mayRun bool
}

// endsWithinEvent streams events and a part of another, and ends the body normally.
func endsWithinEvent(last int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		events(last, nil)(w, r)
		_, _ = io.WriteString(w, "id: 99\nda")
	}
}

// withStatus returns a signed response.
func withStatus(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signature", "x")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

const lastEvent = 6

func behaviors() []behavior {
	return []behavior{
		{"whole stream", events(lastEvent, nil), true},
		{"stream reset before its first event", events(0, cut), true},
		{"stream reset after an event", events(1, cut), true},
		{"stream reset in the middle", events(3, cut), true},
		{"stream reset after its last event", events(lastEvent, cut), true},
		{"stream ended within an event", endsWithinEvent(4), true},
		{"signed error", serverError, true},
		{"signed error without a body", withStatus(http.StatusInternalServerError, ""), true},
		{"signed error in the form of an event", withStatus(http.StatusBadGateway, "id: 4\ndata: piece\n\n"), true},
		{"client error", withStatus(http.StatusNotFound, "no such model"), true},
		{"redirect", withStatus(http.StatusTemporaryRedirect, ""), true},
		{"unsigned error", unsignedError, true},
		{"rejected, may have run", rejectedUnstated, true},
		{"rejected, not run", rejectedNotRun, false},
		{"connection reset", reset, true},
		{"truncated response with a length", truncated, true},
		{"unsigned response", unsigned, true},
		{"response to another request", otherResponse, true},
	}
}

// TestStreamIsWholeOrCutOffWhateverServersAnswer guards against responses that are
// joined from two servers' answers or look complete although they are not: for
// every pair of servers' behaviors, the caller receives all events once, or a
// part of them and no normal end, or one error as a whole.
func TestStreamIsWholeOrCutOffWhateverServersAnswer(t *testing.T) {
	whole := numbered(1, lastEvent)
	for _, first := range behaviors() {
		for _, second := range behaviors() {
			t.Run(first.name+", then "+second.name, func(t *testing.T) {
				one, two := newServer(t, first.handle), newServer(t, second.handle)
				a := newFixture(t, 10, one, two).call(t, http.MethodPost, "/stream/x")
				checkStream(t, a, whole)
				ran := one.requests() > 0 && first.mayRun || two.requests() > 0 && second.mayRun
				if ran && a.status == http.StatusServiceUnavailable {
					t.Error("status 503 although a server may have run the request")
				}
			})
		}
	}
}

// checkStream checks that an answer is the whole stream, a part of it that is cut
// off, or an error.
func checkStream(t *testing.T, a answer, whole string) {
	t.Helper()
	switch {
	case a.broken:
		if a.status != http.StatusOK || !strings.HasPrefix(whole, a.body) {
			t.Errorf("status %d, cut off after %q; want status 200 and a part of the stream", a.status, a.body)
		}
	case a.status == http.StatusOK:
		if a.body != whole {
			t.Errorf("complete response %q, want the whole stream", a.body)
		}
	case strings.Contains(a.body, "id: 1\n"):
		t.Errorf("status %d with events %q", a.status, a.body)
	}
	if a.result.Status != a.status {
		t.Errorf("recorded status %d, the caller received %d", a.result.Status, a.status)
	}
	if a.result.CutOff != a.broken || a.broken != (a.result.Outcome == ingress.OutcomeBroken) {
		t.Errorf("recorded outcome %s, cutOff %v; the caller's response was cut off: %v", a.result.Outcome, a.result.CutOff, a.broken)
	}
}
