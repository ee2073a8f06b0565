// Package backend speaks to backend servers: it makes exactly one attempt at a
// request on exactly one connection, and tells whether any of it was sent.
package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Config configures a Client.
type Config struct {
	Clock clockwork.Clock
	// ConnectTimeout bounds the making of a connection.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; below the idle timeout
	// of the backend servers, which close theirs.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections to one backend server.
	MaxIdle int
	// Dial makes a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client makes attempts. It is safe for use by several goroutines.
type Client struct {
	transport *http.Transport
	clock     clockwork.Clock
	timeout   time.Duration
}

// NewClient returns a client.
func NewClient(c Config) *Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := c.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
	return &Client{
		clock:   c.Clock,
		timeout: c.ConnectTimeout,
		transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: c.MaxIdle,
			IdleConnTimeout:     c.IdleTimeout,
			// A body that was decoded is not the backend server's.
			DisableCompression: true,
		},
	}
}

// countedConn counts the writes of a connection.
type countedConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// Request is one attempt.
type Request struct {
	Address string
	Method  string
	// Target is the request target as the caller sent it: path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// NotSentError reports an attempt of which no byte was sent.
type NotSentError struct {
	Address string
	Err     error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("backend server %s: nothing sent: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// SentError reports an attempt that may have run.
type SentError struct {
	Address string
	Err     error
}

func (e *SentError) Error() string {
	return fmt.Sprintf("backend server %s: may have run: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *SentError) Unwrap() error { return e.Err }

// Attempt sends r once and returns the head of the answer. The body must be
// closed; closing it before its end breaks the attempt off.
func (c *Client) Attempt(ctx context.Context, r Request) (*http.Response, error) {
	var tracked sending
	connect, connected := context.WithCancelCause(ctx)
	timer := c.clock.AfterFunc(c.timeout, func() {
		if !tracked.got.Load() {
			connected(errConnectTimeout)
		}
	})
	defer timer.Stop()
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		timer.Stop()
		tracked.begin(i.Conn)
	}}
	request, err := newRequest(httptrace.WithClientTrace(connect, trace), r)
	if err != nil {
		connected(nil)
		return nil, &NotSentError{Address: r.Address, Err: err}
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		cause := context.Cause(connect)
		connected(nil)
		if cause != nil {
			err = cause
		}
		if tracked.sent() {
			return nil, &SentError{Address: r.Address, Err: err}
		}
		return nil, &NotSentError{Address: r.Address, Err: err}
	}
	response.Body = &body{ReadCloser: response.Body, done: connected}
	return response, nil
}

var errConnectTimeout = errors.New("connect timeout")

// sending tells whether a request has begun to be written.
type sending struct {
	got    atomic.Bool
	conn   atomic.Pointer[countedConn]
	before atomic.Int64
}

func (s *sending) begin(conn net.Conn) {
	if c, ok := conn.(*countedConn); ok {
		s.before.Store(c.writes.Load())
		s.conn.Store(c)
	}
	s.got.Store(true)
}

func (s *sending) sent() bool {
	if !s.got.Load() {
		return false
	}
	c := s.conn.Load()
	return c == nil || c.writes.Load() != s.before.Load()
}

// body releases the attempt's context when it is closed.
type body struct {
	io.ReadCloser
	done context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.done(nil)
	return err
}

// newRequest builds a request that net/http never sends twice by itself: a
// body that it can't rewind makes it give up instead.
func newRequest(ctx context.Context, r Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(r.Target)
	if err != nil {
		return nil, err
	}
	target.Scheme = "http"
	target.Host = r.Address
	if len(r.Target) < 2 || r.Target[1] != '/' {
		// Keeps the path exactly as the caller wrote it.
		target = &url.URL{Scheme: "http", Host: r.Address, Opaque: r.Target}
	}
	var content io.ReadCloser = &onceBody{rest: r.Body}
	if len(r.Body) == 0 && !lacksBody(r.Method) {
		content = http.NoBody
	}
	request := &http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          r.Host,
		Header:        r.Header,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Body:          content,
		ContentLength: int64(len(r.Body)),
	}
	return request.WithContext(ctx), nil
}

// lacksBody reports whether net/http sends requests of a method again by
// itself when they have no body.
func lacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// onceBody can be read once and not rewound.
type onceBody struct {
	rest []byte
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *onceBody) Close() error { return nil }
