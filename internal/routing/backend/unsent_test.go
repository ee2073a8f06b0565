package backend_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/internal/routing/backend"
)

// rawServer answers each request on a connection with the bytes that answer returns.
func rawServer(t *testing.T, answer func(conn net.Conn, r *http.Request) string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var connections sync.WaitGroup
	connections.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			connections.Go(func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					if _, err := io.WriteString(conn, answer(conn, r)); err != nil {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// rejection is a rejection of the request with an ID.
func rejection(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
}

// sentTokens records the values of the header Token that were written to connections.
type sentTokens struct {
	mu   sync.Mutex
	sent map[string]bool
}

// dial opens a connection whose writes are recorded.
func (s *sentTokens) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &tokenConn{Conn: conn, tokens: s}, nil
}

// has reports whether a token was written to a connection.
func (s *sentTokens) has(token string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.sent[token]
}

type tokenConn struct {
	net.Conn
	tokens *sentTokens
}

// Write implements net.Conn.
func (c *tokenConn) Write(p []byte) (int, error) {
	if _, rest, ok := bytes.Cut(p, []byte("\r\nToken: ")); ok {
		token, _, _ := strings.Cut(string(rest), "\r\n")
		c.tokens.mu.Lock()
		c.tokens.sent[token] = true
		c.tokens.mu.Unlock()
	}
	return c.Conn.Write(p)
}

var errForeign = errors.New("response of another request")

// TestUnsentRequestGetsNoResponse guards against a response that is taken for the answer to a request of which nothing was sent.
func TestUnsentRequestGetsNoResponse(t *testing.T) {
	ids := map[string]func(caller, call int) string{
		"same ID":   func(int, int) string { return "x" },
		"other IDs": func(caller, call int) string { return fmt.Sprint(caller, "-", call) },
	}
	for name, id := range ids {
		for _, body := range []string{"body", ""} {
			t.Run(fmt.Sprintf("%s, body %q", name, body), func(t *testing.T) {
				address := rawServer(t, func(_ net.Conn, r *http.Request) string {
					return strings.Repeat(rejection(r.Header.Get("Id")), 2)
				})
				tokens := &sentTokens{sent: map[string]bool{}}
				client := backend.NewClient(backend.Config{
					Clock: clockwork.NewFakeClock(), ConnectTimeout: time.Hour, IdleTimeout: time.Minute, MaxIdle: 64, Dial: tokens.dial,
				})
				var group sync.WaitGroup
				for caller := range 32 {
					group.Go(func() {
						for call := range 1000 {
							token, own := fmt.Sprint(caller, ".", call), id(caller, call)
							response, err := client.Attempt(t.Context(), backend.Request{
								ID: own, Address: address, Method: http.MethodPost, Target: "/x", Host: "h",
								Header: http.Header{"Id": {own}, "Token": {token}}, Body: [][]byte{[]byte(body)},
								Accept: func(_ int, h http.Header) (bool, error) {
									if h.Get("Id") != own {
										return false, errForeign
									}
									return true, nil
								},
							})
							if err == nil {
								_ = response.Body.Close()
							}
							var sent *backend.SentError
							if (err == nil || errors.As(err, &sent)) && !tokens.has(token) {
								t.Errorf("request %s: error %v, want a NotSentError or a response on another connection: nothing was sent", token, err)
							}
						}
					})
				}
				group.Wait()
			})
		}
	}
}

// TestCopyJustBeforeRequestFailsNoRequest guards against a sound server that counts as failed: a copy came on the kept connection before anything of the request.
func TestCopyJustBeforeRequestFailsNoRequest(t *testing.T) {
	for _, body := range []string{"body", ""} {
		for _, moment := range []string{"copy", "end of the connection"} {
			t.Run(fmt.Sprintf("%s, body %q", moment, body), func(t *testing.T) {
				var mu sync.Mutex
				var last net.Conn
				address := rawServer(t, func(conn net.Conn, r *http.Request) string {
					mu.Lock()
					defer mu.Unlock()
					last = conn
					return rejection(r.Header.Get("Id"))
				})
				ended := make(chan struct{}, 8)
				client := backend.NewClient(backend.Config{
					Clock: clockwork.NewFakeClock(), ConnectTimeout: time.Hour, IdleTimeout: time.Minute, MaxIdle: 4,
					Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
						conn, err := new(net.Dialer).DialContext(ctx, network, address)
						if err != nil {
							return nil, err
						}
						return &endConn{Conn: conn, ended: ended}, nil
					},
				})
				sends := 0
				attempt := func(id string, before func()) error {
					response, err := client.Attempt(t.Context(), backend.Request{
						ID: id, Address: address, Method: http.MethodPost, Target: "/x", Host: "h",
						Header: http.Header{"Id": {id}}, Body: [][]byte{[]byte(body)}, Accept: rejectAll,
						OnSend: func(backend.Send) {
							sends++
							before()
						},
					})
					if err == nil {
						_ = response.Body.Close()
					}
					return err
				}
				if err := attempt("x", func() {}); err != nil {
					t.Fatal(err)
				}
				sends = 0
				err := attempt("y", func() {
					if sends > 1 {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					if moment == "copy" {
						_, _ = io.WriteString(last, rejection("x"))
					} else {
						_ = last.Close()
					}
					<-ended
				})
				if err != nil {
					t.Errorf("error %v, want the response on a new connection", err)
				}
			})
		}
	}
}

// endConn tells when it was closed.
type endConn struct {
	net.Conn
	ended chan<- struct{}
	once  sync.Once
}

// Close implements net.Conn.
func (c *endConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.ended <- struct{}{} })
	return err
}

// TestConnectTimeoutAfterPassedOverConnection guards against a request that waits without a limit for a connection: the kept one before was passed over.
func TestConnectTimeoutAfterPassedOverConnection(t *testing.T) {
	for _, body := range []string{"body", ""} {
		t.Run(fmt.Sprintf("body %q", body), func(t *testing.T) {
			address := rawServer(t, func(_ net.Conn, r *http.Request) string { return rejection(r.Header.Get("Id")) })
			clock := clockwork.NewFakeClock()
			dials, dialing := 0, make(chan struct{})
			client := backend.NewClient(backend.Config{
				Clock: clock, ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4,
				Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
					if dials++; dials == 1 {
						return new(net.Dialer).DialContext(ctx, network, address)
					}
					close(dialing)
					<-ctx.Done()
					return nil, ctx.Err()
				},
			})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			var group sync.WaitGroup
			defer group.Wait()
			group.Go(func() {
				select {
				case <-dialing:
					clock.Advance(time.Second)
				case <-ctx.Done():
				}
			})
			for i := range 2 {
				response, err := client.Attempt(ctx, backend.Request{
					ID: "x", Address: address, Method: http.MethodPost, Target: "/x", Host: "h",
					Header: http.Header{"Id": {"x"}}, Body: [][]byte{[]byte(body)}, Accept: rejectAll,
				})
				if err == nil {
					_ = response.Body.Close()
				}
				if i == 1 && !errors.Is(err, backend.ErrConnectTimeout) {
					t.Errorf("error %v, want ErrConnectTimeout", err)
				}
			}
		})
	}
}
