package bounded_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"almondbay.example/serving/bounded"
	"almondbay.example/serving/bounded/boundedtest"
)

// get sends a request to a server without end and reads the body of the response.
func get(t *testing.T, s *boundedtest.Server) error {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Address, nil)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: bounded.NewTransport(nil), CheckRedirect: bounded.RefuseRedirects}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = bounded.ReadBody(response, 1<<10)
	return err
}

// TestHeadWithoutEnd guards against heads of up to 10 MB, the default of net/http.
func TestHeadWithoutEnd(t *testing.T) {
	for _, c := range boundedtest.HeadCases() {
		t.Run(c.Name, func(t *testing.T) {
			s := boundedtest.NewServer(t, c)
			err := get(t, s)
			boundedtest.RequireTooLarge(t, err, bounded.PartHead, s.Address)
			s.RequireClosed(t)
		})
	}
}

// TestBodyWithoutEnd guards against a body that is cut at the limit and then read
// as if it were whole.
func TestBodyWithoutEnd(t *testing.T) {
	s := boundedtest.NewServer(t, boundedtest.Case{Start: boundedtest.HeadBody, Repeat: " "})
	err := get(t, s)
	boundedtest.RequireTooLarge(t, err, bounded.PartBody, s.Address)
	s.RequireClosed(t)
}

// TestUpgradeUnasked guards against a response with status 101, whose body reads
// past the deadline of its request.
func TestUpgradeUnasked(t *testing.T) {
	s := boundedtest.NewServer(t, boundedtest.Case{Start: boundedtest.HeadUpgrade})
	boundedtest.RequireUpgradeRefused(t, get(t, s), s.Address)
	s.RequireClosed(t)
}

// TestHandshakeWithoutEnd guards against a connection that stays open after its
// request when the server does not respond to the TLS handshake.
func TestHandshakeWithoutEnd(t *testing.T) {
	t.Parallel()
	s := boundedtest.NewServer(t, boundedtest.Case{Unread: true})
	ctx, cancel := context.WithCancel(t.Context())
	client := &http.Client{Transport: bounded.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			defer cancel()
			return new(net.Dialer).DialContext(ctx, network, address)
		},
	})}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+s.Address, nil)
	if err != nil {
		t.Fatal(err)
	}
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
		t.Error("got a response from a silent server")
	}
	s.RequireClosed(t)
}

// TestBodyAtTheLimit guards against a limit that is one byte too low.
func TestBodyAtTheLimit(t *testing.T) {
	response := &http.Response{Body: http.NoBody}
	if body, err := bounded.ReadBody(response, 0); err != nil || len(body) > 0 {
		t.Errorf("empty body: got %q, error %v", body, err)
	}
	s := strings.Repeat("x", 1<<10)
	response.Body = io.NopCloser(strings.NewReader(s))
	if body, err := bounded.ReadBody(response, 1<<10); err != nil || string(body) != s {
		t.Errorf("body at the limit: got %d bytes, error %v", len(body), err)
	}
}

// TestTransportRefusesMalformedHeads guards against answers of servers in trouble that pass
// for answers at any client: of servers, the store, other nodes or an operator's command.
func TestTransportRefusesMalformedHeads(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":                  "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"blank inside a name":         "HTTP/1.1 200 OK\r\nX Note: a\r\nContent-Length: 0\r\n\r\n",
		"blank before a colon":        "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
		"control byte in a name":      "HTTP/1.1 200 OK\r\nX\x01Note: a\r\nContent-Length: 0\r\n\r\n",
		"coding in HTTP/1.0":          "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"length and coding":           "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"malformed head of hints":     "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"malformed second on the way": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, head)
				_ = conn.Close()
			}))
			defer server.Close()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			response, err := bounded.NewTransport(&http.Transport{}).RoundTrip(request)
			if err == nil {
				_ = response.Body.Close()
			}
			var malformed *bounded.MalformedHeadError
			if !errors.As(err, &malformed) {
				t.Errorf("error %v, want a %T", err, malformed)
			}
		})
	}
}

// countingConn counts the calls of Write.
type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// TestTransportWritesShortRequestAtOnce guards against a body that is sent apart from its head:
// a server that answers without reading it, and closes, resets the connection then, and its
// answer is lost.
func TestTransportWritesShortRequestAtOnce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	var writes atomic.Int64
	transport := bounded.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{Conn: conn, writes: &writes}, err
		},
	})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if n := writes.Load(); n != 1 {
		t.Errorf("request written by %d calls, want 1", n)
	}
}
