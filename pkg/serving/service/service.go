// Package service speaks to the plain services that stand beside the model
// engines.
package service

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("service")

// HeaderNotStarted is set on an answer that refuses a call before it started.
const HeaderNotStarted = "Almondbay-Not-Started"

// Request is one attempt at a call.
type Request struct {
	Method string
	// Path starts with a slash and may carry a query.
	Path   string
	Header http.Header
	Body   []byte
	// NoRetry is set when the call must not be sent twice. It then goes over a
	// connection of its own, which no library sends it again on.
	NoRetry bool
	// OnWrite is called before the first byte is written to a connection.
	OnWrite func()
}

// Answer is the head of an answer and the stream of its body. The caller
// closes Body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Service is the VMs of plain services, reached at their addresses.
type Service interface {
	// Call makes one attempt at a call. It returns a NotStartedError when the
	// service refused the call before it started, and an UnreachableError when
	// no connection was made.
	Call(ctx context.Context, address string, r Request) (Answer, error)
	// Alive reports whether anything listens at the address.
	Alive(ctx context.Context, address string) bool
}

// NotStartedError reports a call that the service refused before it started.
type NotStartedError struct {
	// Status is the HTTP status of the refusal.
	Status int
}

func (e *NotStartedError) Error() string {
	return fmt.Sprintf("service: call not started: status %d", e.Status)
}

// UnreachableError reports a call of which no byte was written.
type UnreachableError struct {
	Reason string
}

func (e *UnreachableError) Error() string {
	return "service: no connection: " + e.Reason
}

const (
	dialTimeout = 2 * time.Second
	// maxIdleConnections bounds the idle connections to one VM.
	maxIdleConnections = 64
	idleTimeout        = 30 * time.Second
)

// Client implements Service over HTTP.
type Client struct {
	dialer *net.Dialer
	http   *http.Client
	// once uses each connection for one call. A library that may send a call
	// again does so only on a connection used before.
	once *http.Client
}

var _ Service = (*Client)(nil)

// NewClient returns a client.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	once := transport.Clone()
	once.DisableKeepAlives = true
	return &Client{
		dialer: dialer,
		http:   client(transport),
		once:   client(once),
	}
}

// client returns a client that leaves redirects to the caller.
func client(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Call implements Service.
func (c *Client) Call(ctx context.Context, address string, r Request) (Answer, error) {
	written := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			written = true
			if r.OnWrite != nil {
				r.OnWrite()
			}
		},
	})
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, &UnreachableError{Reason: err.Error()}
	}
	request.Header = r.Header.Clone()
	client := c.http
	if r.NoRetry {
		client = c.once
	}
	response, err := client.Do(request)
	if err != nil && !written {
		return Answer{}, &UnreachableError{Reason: err.Error()}
	}
	if err != nil {
		return Answer{}, Error.Wrap(err)
	}
	if response.Header.Get(HeaderNotStarted) != "" {
		_ = response.Body.Close()
		return Answer{}, &NotStartedError{Status: response.StatusCode}
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: response.Body}, nil
}

// Alive implements Service.
func (c *Client) Alive(ctx context.Context, address string) bool {
	connection, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}
