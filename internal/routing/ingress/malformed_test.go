package ingress_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// rawAnswer returns a handler that sends an answer as it is, with ID for the request's ID,
// and closes the connection.
func rawAnswer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		_ = conn.Close()
	}
}

const (
	rawOK      = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: x\r\n"
	rawRefused = "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nNot-Run: 1\r\n"
)

// malformedAnswers are answers that a server in trouble sends.
var malformedAnswers = []struct{ name, text string }{
	{"status 000", "HTTP/1.1 000 OK\r\nId: ID\r\nSignature: x\r\nContent-Length: 3\r\n\r\nbad"},
	{"status 099", "HTTP/1.1 099 OK\r\nId: ID\r\nSignature: x\r\nContent-Length: 3\r\n\r\nbad"},
	{"status 600", "HTTP/1.1 600 OK\r\nId: ID\r\nSignature: x\r\nContent-Length: 3\r\n\r\nbad"},
	{"status with a plus", "HTTP/1.1 +20 OK\r\nId: ID\r\nSignature: x\r\nContent-Length: 3\r\n\r\nbad"},
	{"status with a minus", "HTTP/1.1 -00 OK\r\nId: ID\r\nSignature: x\r\nContent-Length: 3\r\n\r\nbad"},
	{"status of two digits", "HTTP/1.1 20 OK\r\nId: ID\r\nSignature: x\r\nContent-Length: 3\r\n\r\nbad"},
	{"two blanks before the status", "HTTP/1.1  200 OK\r\nId: ID\r\nSignature: x\r\nContent-Length: 3\r\n\r\nbad"},
	{"blank inside a name", rawOK + "X Note: a\r\nContent-Length: 3\r\n\r\nbad"},
	{"blank before a colon", rawOK + "X-Note : a\r\nContent-Length: 3\r\n\r\nbad"},
	{"blank before the colon of a length", rawOK + "Content-Length : 2\r\n\r\nbad"},
	{"blank before the colon of a coding", rawOK + "Transfer-Encoding : chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
	{"tab inside a name", rawOK + "X\tNote: a\r\nContent-Length: 3\r\n\r\nbad"},
	{"tab before a colon", rawOK + "X-Note\t: a\r\nContent-Length: 3\r\n\r\nbad"},
	{"control byte in a name", rawOK + "X\x01Note: a\r\nContent-Length: 3\r\n\r\nbad"},
	{"DEL in a name", rawOK + "X\x7fNote: a\r\nContent-Length: 3\r\n\r\nbad"},
	{"byte over 127 in a name", rawOK + "X\xe4Note: a\r\nContent-Length: 3\r\n\r\nbad"},
	{"no name", rawOK + ": a\r\nContent-Length: 3\r\n\r\nbad"},
	{"no colon", rawOK + "X-Note\r\nContent-Length: 3\r\n\r\nbad"},
	{"control byte in a value", rawOK + "X-Note: a\x01b\r\nContent-Length: 3\r\n\r\nbad"},
	{"NUL in a value", rawOK + "X-Note: a\x00b\r\nContent-Length: 3\r\n\r\nbad"},
	{"CR in a value", rawOK + "X-Note: a\rb\r\nContent-Length: 3\r\n\r\nbad"},
	{"folded line", rawOK + "X-Note: a\r\n b\r\nContent-Length: 3\r\n\r\nbad"},
	{"bare LF", rawOK + "X-Note: a\nContent-Length: 3\r\n\r\nbad"},
	{"length and coding", rawOK + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
	{"two lengths", rawOK + "Content-Length: 3\r\nContent-Length: 2\r\n\r\nbad"},
	{"length with a plus", rawOK + "Content-Length: +3\r\n\r\nbad"},
	{"coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nId: ID\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
	{"blank inside a name of early hints", "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n" + rawOK + "Content-Length: 3\r\n\r\nbad"},
	{"blank inside a name of a trailer", rawOK + "Transfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\nX Note: a\r\n\r\n"},
	{"rejection with a blank inside a name", rawRefused + "X Note: a\r\nContent-Length: 0\r\n\r\n"},
	{"rejection with a blank before a colon", rawRefused + "X-Note : a\r\nContent-Length: 0\r\n\r\n"},
	{"rejection of HTTP/1.0 with a coding", "HTTP/1.0 503 Service Unavailable\r\nId: ID\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
}

// TestMalformedHeadIsNoAnswer guards against answers of servers in trouble that reached the
// caller: a status of 000, lines whose names held blanks, bodies with the chunks in them. A
// rejection in such a head is no promise.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for _, tt := range malformedAnswers {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t, rawAnswer(tt.text))
			a := newFixture(t, 10, s).call(t, http.MethodPost, "/once/x")
			if a.status != http.StatusBadGateway {
				t.Errorf("answer %+v, want status 502 and nothing of the server", a)
			}
			if a := newFixture(t, 10, s, newServer(t, success)).call(t, http.MethodPost, "/safe/x"); a.status != http.StatusOK || a.body != "good" {
				t.Errorf("with another server: answer %+v, want that of the other one", a)
			}
		})
	}
}

// TestMalformedHeadIsNoStream guards against the same answers on routes of streams.
func TestMalformedHeadIsNoStream(t *testing.T) {
	for _, tt := range malformedAnswers {
		if strings.Contains(tt.name, "trailer") {
			// The events are complete and were sent when it comes.
			continue
		}
		t.Run(tt.name, func(t *testing.T) {
			text := strings.ReplaceAll(strings.Replace(tt.text, "Content-Length: 3\r\n", "", 1), "bad", "id: 1\ndata: bad\n\n")
			a := newFixture(t, 10, newServer(t, rawAnswer(text))).call(t, http.MethodPost, "/stream/x")
			if a.status == http.StatusOK || a.status == http.StatusServiceUnavailable {
				t.Errorf("answer %+v, want neither a stream nor a promise", a)
			}
		})
	}
}
