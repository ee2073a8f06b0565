package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"almondbay.example/internal/routing/ingress"
	"almondbay.example/internal/routing/stream"
	"almondbay.example/serving/bounded/boundedtest"
)

// flooding returns a backend server that floods its clients.
func flooding(t *testing.T, c boundedtest.Case) (*boundedtest.Server, *server) {
	t.Helper()
	s := boundedtest.NewServer(t, c)
	return s, &server{Server: &httptest.Server{URL: "http://" + s.Address}}
}

// responseHead begins a response that is valid but for its missing end.
const responseHead = "HTTP/1.1 200 OK\r\nId: " + boundedtest.IDMark + "\r\nSignature: x\r\n"

// chunked begins a response with a chunked body.
const chunked = responseHead + "Transfer-Encoding: chunked\r\n\r\n"

// TestResponseWithoutEndIsNotReturned guards against responses without end, which
// were read and held in memory until the backend server stopped, and against
// their return to the caller.
func TestResponseWithoutEndIsNotReturned(t *testing.T) {
	tests := []struct {
		name, begin, repeat string
		cause               string
	}{
		{"head line", responseHead + "A: ", "x", "headers exceeded"},
		{"head lines", responseHead, "A: b\r\n", "headers exceeded"},
		{"early hints", "", "HTTP/1.1 103 Early Hints\r\n\r\n", "headers exceeded"},
		{"switched protocol", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\nId: " + boundedtest.IDMark + "\r\nSignature: x\r\n\r\n", "x", "switches protocols"},
		{"chunked body", chunked, "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", "response body too large"},
		{"small chunks", chunked, "10\r\n0123456789abcdef\r\n", "response body too large"},
		{"size of a chunk", chunked, "0", "line too long"},
		{"extension of a chunk", chunked + "1;", "x", "line too long"},
		{"extensions of chunks", chunked, "1;" + strings.Repeat("x", 1<<10) + "\r\nx\r\n", "too much non-data"},
		{"trailer line", chunked + "4\r\ngood\r\n0\r\nA: ", "x", "long trailer"},
		{"trailer lines", chunked + "4\r\ngood\r\n0\r\n", "A: b\r\n", "long trailer"},
		{"body without length", responseHead + "Connection: close\r\n\r\n", "x", "response body too large"},
		{"body of great length", responseHead + "Content-Length: 1099511627776\r\n\r\n", "x", "response body too large"},
		{"body of an error", "HTTP/1.1 500 Internal Server Error\r\nId: " + boundedtest.IDMark + "\r\nSignature: x\r\n\r\n", "x", "response body too large"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			flood, first := flooding(t, boundedtest.Case{Start: tt.begin, Repeat: tt.repeat})
			second := newServer(t, success)
			a := newFixture(t, 10, first, second).call(t, http.MethodPost, "/once/x")
			if a.status != http.StatusBadGateway || a.broken || a.result.Outcome != ingress.OutcomeFailed || !strings.Contains(a.result.Cause, tt.cause) {
				t.Errorf("not retried: answer %+v, want status 502, outcome failed, cause %q", a, tt.cause)
			}
			flood.RequireClosed(t)
			if n := second.requests(); n != 0 {
				t.Errorf("%d requests at the second server, want none", n)
			}

			a = newFixture(t, 10, first, second).call(t, http.MethodPost, "/safe/x")
			if a.status != http.StatusOK || a.broken || a.body != "good" {
				t.Errorf("retried: answer %+v, want status 200, body good", a)
			}
			flood.RequireClosed(t)
			if n, m := len(flood.IDs()), second.requests(); n != 2 || m != 1 {
				t.Errorf("%d requests at the first server, %d at the second; want 2 and 1", n, m)
			}
		})
	}
}

// TestLargeResponsesAreReturned guards against a total of the buffered responses
// that does not fall when requests end.
func TestLargeResponsesAreReturned(t *testing.T) {
	want := strings.Repeat("x", ingress.MaxBufferedBody-1)
	s := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signature", "x")
		_, _ = io.WriteString(w, want)
	})
	r := newFixture(t, 10, s)
	for range 2 * ingress.DefaultMemory / ingress.MaxBufferedBody {
		if a := r.call(t, http.MethodPost, "/safe/x"); a.status != http.StatusOK || a.body != want {
			t.Fatalf("status %d, body of %d bytes, cause %q; want status 200, %d bytes", a.status, len(a.body), a.result.Cause, len(want))
		}
		r.clock.Advance(time.Second)
	}
}

// event is a complete event with the ID 1.
const event = "id: 1\ndata: piece\n\n"

// TestEventWithoutEndIsNotReturned guards against events without end, of which
// one megabyte was held for each stream.
func TestEventWithoutEndIsNotReturned(t *testing.T) {
	tests := []struct{ name, begin, repeat string }{
		{"line", "data: ", "x"},
		{"bytes that are no field", "", "x"},
		{"data lines", "", "data: x\n"},
		{"comments", "", ": x\n"},
		{"line endings that end no line", "", "\r"},
		{"zero bytes", "", "\x00"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			head := responseHead + "Connection: close\r\n\r\n"
			flood, s := flooding(t, boundedtest.Case{Start: head + tt.begin, Repeat: tt.repeat})
			a := newFixture(t, 10, s).call(t, http.MethodPost, "/stream/x")
			if a.status != http.StatusBadGateway || a.broken || !strings.Contains(a.result.Tries[0].Cause, stream.ErrTooLong.Error()) {
				t.Errorf("first event: answer %+v, want status 502, cause %q", a, stream.ErrTooLong)
			}
			flood.RequireClosed(t)

			flood, s = flooding(t, boundedtest.Case{Start: head + event + tt.begin, Repeat: tt.repeat})
			a = newFixture(t, 10, s).call(t, http.MethodPost, "/stream/x")
			if !a.broken || a.body != event || a.result.Outcome != ingress.OutcomeBroken {
				t.Errorf("second event: answer %+v, want the first event, cut off", a)
			}
			flood.RequireClosed(t)

			flood, s = flooding(t, boundedtest.Case{Start: head + event + tt.begin, Repeat: tt.repeat})
			a = newFixture(t, 10, s, newServer(t, events(2, nil))).call(t, http.MethodPost, "/stream/x")
			if want := event + "id: 2\ndata: piece\n\n"; a.broken || a.body != want || a.result.Outcome != ingress.OutcomeAnswered {
				t.Errorf("resumed: answer %+v, want body %q", a, want)
			}
			flood.RequireClosed(t)
		})
	}
}

// TestPaddingWithoutEndIsCutOff guards against streams of blank lines and the
// like, which kept a request alive until its deadline.
func TestPaddingWithoutEndIsCutOff(t *testing.T) {
	for _, padding := range []string{"\n", "\r\n", ": comment\n\n", "no field\n\n"} {
		t.Run(padding, func(t *testing.T) {
			c := boundedtest.Case{Start: responseHead + "Connection: close\r\n\r\n" + event, Repeat: padding}
			flood, s := flooding(t, c)
			a := newFixture(t, 10, s).call(t, http.MethodPost, "/stream/x")
			if !a.broken || a.result.Outcome != ingress.OutcomeBroken || a.result.Tries[0].Cause != "reading response: "+stream.ErrTooMuchPadding.Error() {
				t.Errorf("%d bytes, broken %t, result %+v; want a stream cut off since %v", len(a.body), a.broken, a.result, stream.ErrTooMuchPadding)
			}
			flood.RequireClosed(t)

			flood, s = flooding(t, c)
			a = newFixture(t, 10, s, newServer(t, events(2, nil))).call(t, http.MethodPost, "/stream/x")
			if want := "id: 2\ndata: piece\n\n"; a.broken || !strings.HasPrefix(a.body, event) || !strings.HasSuffix(a.body, want) {
				t.Errorf("%d bytes, broken %t, result %+v; want a stream resumed after the event", len(a.body), a.broken, a.result)
			}
			flood.RequireClosed(t)
		})
	}
}

// TestTrailerWithoutEndCutsStreamOff guards against a stream that is returned as
// complete although its chunked body has no end.
func TestTrailerWithoutEndCutsStreamOff(t *testing.T) {
	for _, repeat := range []string{"x", "A: b\r\n"} {
		t.Run(repeat, func(t *testing.T) {
			flood, s := flooding(t, boundedtest.Case{Start: chunked + "13\r\n" + event + "\r\n0\r\n", Repeat: repeat})
			a := newFixture(t, 10, s).call(t, http.MethodPost, "/stream/x")
			if !a.broken || a.body != event || a.result.Outcome != ingress.OutcomeBroken {
				t.Errorf("answer %+v, want the event, cut off", a)
			}
			flood.RequireClosed(t)
		})
	}
}

// TestDeadlineEndsStreamWithoutEnd guards against streams that backend servers
// keep alive beyond the route's timeout with events that give the caller nothing
// new.
func TestDeadlineEndsStreamWithoutEnd(t *testing.T) {
	tests := []struct {
		name, repeat string
		resumed      bool
	}{
		{"events without ID", "data: x\n\n", false},
		{"events already received", event, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := boundedtest.Case{Start: responseHead + "Connection: close\r\n\r\n" + event, Repeat: tt.repeat}
			flood, flooded := flooding(t, c)
			servers := []*server{flooded}
			if tt.resumed {
				first := newServer(t, events(1, func() { panic(http.ErrAbortHandler) }))
				servers = []*server{first, flooded}
			}
			r := newFixture(t, 10, servers...)
			received := r.stream(t)
			expect(t, received, event)
			<-flood.Started()
			r.clock.Advance(time.Hour)
			size, err := io.Copy(io.Discard, received)
			if result := <-r.results; err == nil || result.Outcome != ingress.OutcomeBroken || result.Cause != "deadline exceeded" {
				t.Errorf("%d bytes after the first event, error %v, outcome %q, cause %q; want a stream cut off at the deadline", size, err, result.Outcome, result.Cause)
			}
			flood.RequireClosed(t)
		})
	}
}

// TestPaddingDoesNotHideStall guards against a stalled backend server that counts
// as making progress since it sends comments or blank lines.
func TestPaddingDoesNotHideStall(t *testing.T) {
	for _, padding := range []string{": comment\n\n", "\n"} {
		t.Run(padding, func(t *testing.T) {
			first := newStallingServer(t, padding)
			r := newFixture(t, 10, first.server, newServer(t, events(2, nil)))
			received := r.stream(t)
			expect(t, received, event)
			first.advanceUntilCanceled(t, r, received)
			expect(t, received, "id: 2\ndata: piece\n\n")
		})
	}
}

// stallingServer is a backend server that sends an event and then only padding.
type stallingServer struct {
	*server
	padding string
	// send makes the server send padding once.
	send chan struct{}
	// gone is closed when the request has been canceled.
	gone chan struct{}
}

func newStallingServer(t *testing.T, padding string) *stallingServer {
	t.Helper()
	s := &stallingServer{padding: padding, send: make(chan struct{}), gone: make(chan struct{})}
	s.server = newServer(t, func(w http.ResponseWriter, r *http.Request) {
		defer close(s.gone)

		w.Header().Set("Signature", "x")
		_, _ = io.WriteString(w, event)
		for {
			_ = http.NewResponseController(w).Flush()
			select {
			case <-s.send:
				_, _ = io.WriteString(w, padding)
			case <-r.Context().Done():
				return
			}
		}
	})
	return s
}

// advanceUntilCanceled advances the clock until the node cancels the request. The
// padding, which the caller receives, keeps the node's handling of the stream in
// step with the clock.
func (s *stallingServer) advanceUntilCanceled(t *testing.T, f *fixture, received *bufio.Reader) {
	t.Helper()
	const (
		// step is below the fixture's time to a stall.
		step = 300 * time.Millisecond
		// steps stay below the route's timeout and the bound on padding. Many are
		// needed: a step that passes while the node still flushes the padding counts as
		// blocked by the caller.
		steps = 5_000
	)
	for range steps {
		runtime.Gosched()
		f.clock.Advance(step)
		f.handler.Check(f.clock.Now())
		select {
		case s.send <- struct{}{}:
		case <-s.gone:
			return
		}
		next, err := received.Peek(1)
		if err != nil || next[0] == event[0] {
			// The stream ended or went on without the padding.
			<-s.gone
			return
		}
		expect(t, received, s.padding)
	}
	t.Fatalf("request not canceled after %v without an event", steps*step)
}

// stream sends a request for a stream and returns the body of its response, which
// the test reads as it arrives.
func (f *fixture) stream(t *testing.T) *bufio.Reader {
	t.Helper()
	ctx, disconnect := context.WithCancel(t.Context())
	request := f.request(t, http.MethodPost, "/stream/x").WithContext(ctx)
	reader, writer := io.Pipe()
	var group sync.WaitGroup
	group.Go(func() { _ = writer.CloseWithError(copyBody(writer, request)) })
	t.Cleanup(func() {
		disconnect()
		_ = reader.Close()
		group.Wait()
	})
	return bufio.NewReader(reader)
}

// copyBody sends the request and copies the body of its response to w.
func copyBody(w io.Writer, request *http.Request) error {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()

	_, err = io.Copy(w, response.Body)
	return err
}

// expect checks that the next bytes of r are want.
func expect(t *testing.T, r io.Reader, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(r, got); err != nil || string(got) != want {
		t.Fatalf("received %q, error %v; want %q", got, err, want)
	}
}
