package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"almondbay.example/internal/routing/balance"
	"almondbay.example/internal/routing/ingress"
	"almondbay.example/internal/routing/quarantine"
)

// cut closes the connection of a backend server.
func cut() { panic(http.ErrAbortHandler) }

// numbered returns the events with the IDs from first to last.
func numbered(first, last int) string {
	text := ""
	for i := first; i <= last; i++ {
		text += fmt.Sprintf("id: %d\ndata: piece\n\n", i)
	}
	return text
}

// plain returns events without IDs.
func plain(count int) string {
	return strings.Repeat("data: piece\n\n", count)
}

// signedText returns a handler that sends a signed text and, if end is set, flushes
// it and calls end.
func signedText(text string, end func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signature", "x")
		_, _ = io.WriteString(w, text)
		if end != nil {
			_ = http.NewResponseController(w).Flush()
			end()
		}
	}
}

// checkCutOff checks that a caller got the start of a stream as a response that is
// not complete.
func checkCutOff(t *testing.T, a answer, want string) {
	t.Helper()
	if a.status != http.StatusOK || a.body != want || !a.broken || a.result.Outcome != ingress.OutcomeBroken {
		t.Errorf("status %d, broken %v, outcome %q, body %q; want 200, broken, outcome broken, body %q",
			a.status, a.broken, a.result.Outcome, a.body, want)
	}
}

// TestEventsWithoutIDAreJoined guards against events of two runs in one stream: a
// stream cannot be resumed after an event without an ID, nor continued with one.
func TestEventsWithoutIDAreJoined(t *testing.T) {
	tests := []struct {
		name          string
		first, second http.HandlerFunc
		want          string
	}{
		{"no IDs", signedText(plain(3), cut), signedText(plain(6), nil), plain(3)},
		{"no ID in the last event received", signedText(numbered(1, 2)+plain(1), cut), events(6, nil), numbered(1, 2) + plain(1)},
		{"empty ID in the last event received", signedText(numbered(1, 2)+"id:\ndata: piece\n\n", cut), events(6, nil), numbered(1, 2) + "id:\ndata: piece\n\n"},
		{"no IDs after the resumption", events(3, cut), signedText(plain(6), nil), numbered(1, 3)},
		{"body that is not a stream", events(3, cut), signedText("{\"pieces\": 6}\n\n", nil), numbered(1, 3)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := newServer(t, tt.first), newServer(t, tt.second)
			a := newFixture(t, 10, first, second).call(t, http.MethodPost, "/stream/x")
			checkCutOff(t, a, tt.want)
		})
	}
}

// TestResumedStreamIsWhole checks the resumptions that give a whole stream: no
// event is missing or comes twice, and status and headers are those of the first
// response of which an event was passed on.
func TestResumedStreamIsWhole(t *testing.T) {
	signed := func(signature string, handle http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Signature", signature)
			w.Header().Set("Content-Type", "text/event-stream")
			handle(w, r)
		}
	}
	text := func(text string, end func()) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
			if end != nil {
				end()
			}
		}
	}
	tests := []struct {
		name            string
		first, second   http.HandlerFunc
		want, signature string
	}{
		{"at the next event", text(numbered(1, 3), cut), text(numbered(4, 6), nil), numbered(1, 6), "first"},
		{"replayed from the start", text(numbered(1, 3), cut), text(numbered(1, 6), nil), numbered(1, 6), "first"},
		{"within an event", text(numbered(1, 3)+"id: 4\nda", cut), text(numbered(4, 6), nil), numbered(1, 6), "first"},
		{"after the last event", text(numbered(1, 6), cut), text("", nil), numbered(1, 6), "first"},
		{"before the first event", text("", cut), text(numbered(1, 6), nil), numbered(1, 6), "second"},
		{"within the first event", text("id: 1\nda", cut), text(numbered(1, 6), nil), numbered(1, 6), "second"},
		{"after an event that came twice", text(numbered(1, 3)+numbered(2, 2), cut), text(numbered(2, 6), nil), numbered(1, 3) + numbered(2, 2) + numbered(4, 6), "first"},
		{"repeated after the resumption", text(numbered(1, 3), cut), text(numbered(4, 5)+numbered(4, 6), nil), numbered(1, 6), "first"},
		{"after a comment", text(numbered(1, 3)+": alive\n\n", cut), text(numbered(4, 6), nil), numbered(1, 3) + ": alive\n\n" + numbered(4, 6), "first"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 10, newServer(t, signed("first", tt.first)), newServer(t, signed("second", tt.second)))
			response, err := http.DefaultClient.Do(f.request(t, http.MethodPost, "/stream/x"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			if err != nil || string(body) != tt.want || response.StatusCode != http.StatusOK {
				t.Errorf("status %d, error %v, body %q; want 200, body %q", response.StatusCode, err, body, tt.want)
			}
			if got := response.Header.Values("Signature"); len(got) != 1 || got[0] != tt.signature {
				t.Errorf("signature %q, want %q", got, tt.signature)
			}
			<-f.results
		})
	}
}

// raw returns a handler that takes over the connection, sends a response as it
// stands and closes the connection: by a reset if reset is set.
func raw(t *testing.T, headers, body string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		connection, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = connection.Close() }()
		_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nId: mine\r\nSignature: x\r\n" + headers + "\r\n" + body)
		_ = buffer.Flush()
		if tcp, ok := connection.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
	}
}

// TestStreamCutBetweenEventsIsResumed guards against a stream that was cut off
// exactly between two events and is taken for a complete one. A response without a
// length ends with its connection, unless that is reset.
func TestStreamCutBetweenEventsIsResumed(t *testing.T) {
	part := numbered(1, 3)
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	tests := []struct {
		name, headers, body string
		reset, resumed      bool
	}{
		{"chunks without an end", "Transfer-Encoding: chunked\r\n", chunk(part), false, true},
		{"chunks with an end", "Transfer-Encoding: chunked\r\n", chunk(part) + "0\r\n\r\n", false, false},
		{"shorter than its length", "Content-Length: 1000\r\n", part, false, true},
		{"longer than its length, cut within an event", fmt.Sprintf("Content-Length: %d\r\n", len(part)-5), part, false, true},
		{"longer than its length, cut between events", fmt.Sprintf("Content-Length: %d\r\n", len(part)), numbered(1, 6), false, false},
		{"no length, connection reset", "", part, true, true},
		{"no length, connection closed", "", part, false, false},
		{"no length, connection closed within an event", "", part + "id: 4\nda", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := newServer(t, raw(t, tt.headers, tt.body, tt.reset)), newServer(t, events(6, nil))
			a := newFixture(t, 10, first, second).call(t, http.MethodPost, "/stream/x")
			want := part
			if tt.resumed {
				want = numbered(1, 6)
			}
			if a.status != http.StatusOK || a.broken || a.body != want || second.requests() == 1 != tt.resumed {
				t.Errorf("answer %+v, %d requests at the second server; want body %q, resumed %v", a, second.requests(), want, tt.resumed)
			}
		})
	}
}

// TestCutStreamLooksCompleteInHTTP10 guards against a stream that was cut off and
// looks complete to a caller that speaks HTTP/1.0: its response has neither length
// nor chunks, and ends with its connection unless that is reset.
func TestCutStreamLooksCompleteInHTTP10(t *testing.T) {
	first, second := newServer(t, events(3, cut)), newServer(t, events(4, cut))
	f := newFixture(t, 10, first, second)
	connection, err := net.Dial("tcp", strings.TrimPrefix(f.front.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_, _ = io.WriteString(connection, "POST /stream/x HTTP/1.0\r\nHost: h\r\nId: mine\r\nKey: key\r\nContent-Length: 4\r\n\r\nbody")
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if body, err := io.ReadAll(response.Body); err == nil {
		t.Errorf("body %q ended without an error, want a reset connection", body)
	}
	<-f.results
}

// TestStalledStreamWithoutIDsIsNotCanceled guards against a stream that is broken
// off since its server stands still, although no other server can resume it.
func TestStalledStreamWithoutIDsIsNotCanceled(t *testing.T) {
	release := make(chan struct{})
	first := newServer(t, signedText(plain(1), func() { <-release }))
	second := newServer(t, events(6, nil))
	f := newFixture(t, 10, first, second)
	response, err := http.DefaultClient.Do(f.request(t, http.MethodPost, "/stream/x"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadFull(response.Body, make([]byte, len(plain(1)))); err != nil {
		t.Fatal(err)
	}
	// The stall timer starts only when the event has been flushed to the caller.
	for range 1000 {
		f.clock.Advance(time.Second)
		f.handler.Check(f.clock.Now())
		runtime.Gosched()
	}
	close(release)
	if rest, err := io.ReadAll(response.Body); err != nil || len(rest) > 0 {
		t.Errorf("rest %q, error %v; want a normal end", rest, err)
	}
	if result := <-f.results; result.Outcome != ingress.OutcomeAnswered || second.requests() != 0 {
		t.Errorf("result %+v, %d requests at the second server; want outcome answered after one try", result, second.requests())
	}
}

// TestSilentStreamWithNowhereToGoIsKept guards against a stream that is broken off since its
// sound server is silent for a time, although no other server is usable.
func TestSilentStreamWithNowhereToGoIsKept(t *testing.T) {
	for _, other := range []string{"none", "suspended"} {
		t.Run("other server: "+other, func(t *testing.T) {
			release := make(chan struct{})
			servers := []*server{newServer(t, signedText(numbered(1, 1), func() { <-release }))}
			if other != "none" {
				servers = append(servers, newServer(t, events(6, nil)))
			}
			f := newFixture(t, 10, servers...)
			if other != "none" {
				f.board.Pool(balance.Key{Service: "svc"}).RecordFailure("s1", f.clock.Now())
			}
			response, err := http.DefaultClient.Do(f.request(t, http.MethodPost, "/stream/x"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			if _, err := io.ReadFull(response.Body, make([]byte, len(numbered(1, 1)))); err != nil {
				t.Fatal(err)
			}
			// The stall timer starts only when the event has been flushed to the caller.
			for range 1000 {
				f.clock.Advance(time.Second)
				f.handler.Check(f.clock.Now())
				runtime.Gosched()
			}
			close(release)
			if rest, err := io.ReadAll(response.Body); err != nil || len(rest) > 0 {
				t.Errorf("rest %q, error %v; want a normal end", rest, err)
			}
			if result := <-f.results; result.Outcome != ingress.OutcomeAnswered || len(result.Tries) != 1 {
				t.Errorf("result %+v, want outcome answered after one try", result)
			}
		})
	}
}

// TestStreamIsCutOffIfResumptionAfterStallFails guards against a stream that looks
// complete although its first server stands still, so that the node broke it off,
// and the one that was asked for the rest answers with an error.
func TestStreamIsCutOffIfResumptionAfterStallFails(t *testing.T) {
	for name, handle := range map[string]http.HandlerFunc{
		"server error": serverError, "client error": withStatus(http.StatusNotFound, ""), "rejected, not run": rejectedNotRun,
	} {
		t.Run(name, func(t *testing.T) {
			first := newStallingServer(t, ": comment\n\n")
			f := newFixture(t, 10, first.server, newServer(t, handle))
			received := f.stream(t)
			expect(t, received, event)
			first.advanceUntilCanceled(t, f, received)
			if rest, err := io.ReadAll(received); err == nil || strings.Contains(string(rest), "failure") {
				t.Errorf("rest %q, error %v; want a response that is cut off", rest, err)
			}
			if result := <-f.results; result.Outcome != ingress.OutcomeBroken || result.Status != http.StatusOK || !result.CutOff {
				t.Errorf("result %+v, want outcome broken, status 200, cut off", result)
			}
		})
	}
}

// TestFailedResumptionCountsAsAttempt guards against a request that runs at more
// servers than its route allows, or at fewer, since a resumption that was answered with
// an error is taken for one that did not run, or the reverse.
func TestFailedResumptionCountsAsAttempt(t *testing.T) {
	began := ingress.Try{End: ingress.TryFailed, Status: http.StatusOK, Events: 3}
	tests := []struct {
		name  string
		other http.HandlerFunc
		want  []ingress.Try
	}{
		{"server error", serverError, []ingress.Try{began, {End: ingress.TryFailed, Status: http.StatusInternalServerError}}},
		{"client error", withStatus(http.StatusNotFound, ""), []ingress.Try{began, {End: ingress.TryFailed, Status: http.StatusNotFound}}},
		{"rejected, not run", rejectedNotRun, []ingress.Try{
			began,
			{End: ingress.TryNotRun, Status: http.StatusServiceUnavailable},
			{End: ingress.TryNotRun, Status: http.StatusServiceUnavailable},
		}},
		{"resumed", events(6, nil), []ingress.Try{began, {End: ingress.TryAnswered, Status: http.StatusOK, Events: 3}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 10, newServer(t, events(3, cut)), newServer(t, tt.other), newServer(t, tt.other))
			got := f.call(t, http.MethodPost, "/stream/x").result.Tries
			ignored := cmpopts.IgnoreFields(ingress.Try{}, "Head", "InFlight", "Took", "Cause", "Send")
			if diff := cmp.Diff(tt.want, got, ignored); diff != "" {
				t.Errorf("tries (-want +got):\n%s", diff)
			}
		})
	}
}

// TestIncompleteRequestGetsNoResponse guards against an empty response that looks
// complete to a caller whose request body ended early.
func TestIncompleteRequestGetsNoResponse(t *testing.T) {
	f := newFixture(t, 10, newServer(t, success))
	connection, err := net.Dial("tcp", strings.TrimPrefix(f.front.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_, _ = io.WriteString(connection, "POST /safe/x HTTP/1.1\r\nHost: h\r\nId: mine\r\nKey: key\r\nContent-Length: 100\r\n\r\nbody")
	if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if response, _ := io.ReadAll(connection); len(response) > 0 {
		t.Errorf("response %q, want none", response)
	}
	if result := <-f.results; result.Outcome != ingress.OutcomeCallerLeft || !result.CutOff {
		t.Errorf("result %+v, want outcome callerLeft, cut off", result)
	}
}

// TestInvalidStatusIsFailure guards against a status that net/http accepts from a
// server but refuses to send: the handler panicked, the request was not recorded,
// and its attempt was taken for a stalled one for good.
func TestInvalidStatusIsFailure(t *testing.T) {
	odd := func(w http.ResponseWriter, _ *http.Request) {
		connection, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = buffer.WriteString("HTTP/1.1 099 Odd\r\nId: mine\r\nSignature: x\r\nContent-Length: 0\r\n\r\n")
		_ = buffer.Flush()
		_ = connection.Close()
	}
	a := newFixture(t, 10, newServer(t, odd)).call(t, http.MethodPost, "/once/x")
	if a.status != http.StatusBadGateway || a.result.Outcome != ingress.OutcomeFailed {
		t.Errorf("answer %+v, want status 502, outcome failed", a)
	}
}

// TestHeadResponseKeepsLength guards against a length of 0 in the response to a
// HEAD request, which states that of the body that a GET request would get.
func TestHeadResponseKeepsLength(t *testing.T) {
	f := newFixture(t, 10, newServer(t, success))
	response, err := http.DefaultClient.Do(f.request(t, http.MethodHead, "/safe/x"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK || response.ContentLength != int64(len("good")) {
		t.Errorf("status %d, length %d; want 200, %d", response.StatusCode, response.ContentLength, len("good"))
	}
	<-f.results
}

// TestAnswersWithoutLengthOrChunks guards against answers that end with their connection
// and are taken for complete though their server has ended, or the connection was reset, or
// a stream ended inside an event; and against complete ones that are cut off.
func TestAnswersWithoutLengthOrChunks(t *testing.T) {
	const event = "id: 1\ndata: piece\n\n"
	tests := []struct {
		name, path, body string
		reset            bool
		check            quarantine.CheckResult
		// complete is set if the caller gets a complete answer, answered if it acquits.
		complete, answered bool
	}{
		{"plain, server lives", "/once/x", "good", false, quarantine.CheckLives, true, true},
		{"plain, not known whether the server lives", "/once/x", "good", false, quarantine.CheckUnknown, true, false},
		{"plain, server answers no more", "/once/x", "good", false, quarantine.CheckNoAnswer, false, false},
		{"plain, server ended", "/once/x", "good", false, quarantine.CheckRefused, false, false},
		{"plain, server restarted", "/once/x", "good", false, quarantine.CheckRestarted, false, false},
		{"plain, reset", "/once/x", "good", true, quarantine.CheckLives, false, false},
		{"plain, empty, server ended", "/once/x", "", false, quarantine.CheckRefused, false, false},
		{"stream, server lives", "/stream/x", event, false, quarantine.CheckLives, true, true},
		{"stream, not known whether the server lives", "/stream/x", event, false, quarantine.CheckUnknown, true, false},
		{"stream, server ended", "/stream/x", event, false, quarantine.CheckRefused, false, false},
		{"stream, reset", "/stream/x", event, true, quarantine.CheckLives, false, false},
		{"stream ends inside an event", "/stream/x", event + "id: 2\nda", false, quarantine.CheckLives, false, false},
		{"stream ends before any event, server ended", "/stream/x", "", false, quarantine.CheckRefused, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\n\r\n%s", r.Header.Get("Id"), tt.body)
				if tt.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			})
			f := newFixture(t, 0, s)
			f.check = tt.check
			a := f.call(t, http.MethodPost, tt.path)
			if complete := a.status == http.StatusOK && !a.broken; complete != tt.complete {
				t.Errorf("answer %+v, want a complete one: %v", a, tt.complete)
			}
			if f.answered.Load() != tt.answered {
				t.Errorf("counts as answered: %v, want %v", f.answered.Load(), tt.answered)
			}
		})
	}
}
