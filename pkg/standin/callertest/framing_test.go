package callertest

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/caller"
)

// serveBooking replaces both VMs of the plain service by a server with the
// handler.
func serveBooking(f *fixture, handle http.HandlerFunc) {
	s := httptest.NewServer(handle)
	f.t.Cleanup(s.Close)
	for _, id := range []string{"svc", "svc2"} {
		f.setVM(fleet.VM{ID: id, Address: s.Listener.Addr().String(), Role: fleet.RoleService, Service: "booking", State: fleet.VMLive})
	}
}

// rawAnswer takes over the connection, sends the text and closes the connection:
// by a reset if reset is set.
func rawAnswer(t *testing.T, w http.ResponseWriter, text string, reset bool) {
	connection, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = connection.Close() }()
	_, _ = buffer.WriteString(text)
	_ = buffer.Flush()
	if tcp, ok := connection.(interface{ SetLinger(int) error }); ok && reset {
		_ = tcp.SetLinger(0)
	}
}

// TestCutServiceAnswerIsNotComplete guards against an answer of a plain service
// that was cut off and is passed on as a whole one, however its end is marked. One
// without a length ends with its connection, but not with a reset.
func TestCutServiceAnswerIsNotComplete(t *testing.T) {
	tests := []struct {
		name, answer string
		reset        bool
		body         string
	}{
		{"whole, with length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood", false, "good"},
		{"extra bytes", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodHTTP/1.1 500 Bad\r\n\r\n", false, "good"},
		{"whole, without length", "HTTP/1.1 200 OK\r\n\r\ngood", false, "good"},
		{"reset, without length", "HTTP/1.1 200 OK\r\n\r\ngo", true, ""},
		{"shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngo", false, ""},
		{"chunk missing", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ngo\r\n", false, ""},
		{"no answer in the protocol", "good\r\n\r\n", false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, fixtureConfig{nodes: 1})
			serveBooking(f, func(w http.ResponseWriter, _ *http.Request) { rawAnswer(t, w, tt.answer, tt.reset) })
			got := f.send(0, "/services/booking/quote", "x", nil)
			if tt.body != "" && (got.status != http.StatusOK || got.body != tt.body || got.err != nil) {
				t.Errorf("got %+v, want 200 and body %q", got, tt.body)
			}
			if tt.body == "" && (got.status != http.StatusBadGateway || got.code != caller.CodeBrokenAnswer || got.outcome == "notRun") {
				t.Errorf("got %+v, want 502 brokenAnswer", got)
			}
		})
	}
}

// TestHeadAnswerKeepsLength guards against an answer to a HEAD request that states
// a length of zero, or any length that the plain service did not state.
func TestHeadAnswerKeepsLength(t *testing.T) {
	for _, length := range []string{"42", ""} {
		f := newFixture(t, fixtureConfig{nodes: 1})
		serveBooking(f, func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
		})
		request, err := http.NewRequest(http.MethodHead, f.nodes[0].URL+"/services/booking/x", strings.NewReader(""))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if got := response.Header.Get("Content-Length"); response.StatusCode != http.StatusOK || got != length {
			t.Errorf("status %d, length %q; want 200, %q", response.StatusCode, got, length)
		}
	}
}

// TestBookedAnswerKeepsEncoding guards against the answer to a booked call, first
// or repeated, whose body is encoded but no longer says so.
func TestBookedAnswerKeepsEncoding(t *testing.T) {
	f := newFixture(t, fixtureConfig{nodes: 1})
	serveBooking(f, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, "zipped")
	})
	h := headers{caller.HeaderIdempotencyKey: "k", "Accept-Encoding": "gzip"}
	for _, repeated := range []string{"", "true"} {
		got := f.send(0, bookPath, "seat 7", h)
		if got.status != http.StatusOK || got.body != "zipped" || got.header.Get("Content-Encoding") != "gzip" {
			t.Errorf("got %+v, want 200, the body as it is and its encoding", got)
		}
		if got.header.Get(caller.HeaderRepeated) != repeated {
			t.Errorf("repeated %q, want %q", got.header.Get(caller.HeaderRepeated), repeated)
		}
	}
}
