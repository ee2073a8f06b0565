// Package service sends calls to plain services, which run beside the model
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

	"almondbay.example/serving/bounded"
)

// Error is the class of all errors of this package.
var Error = errs.Class("service")

// HeaderNotStarted is set on an answer that rejects a call before the service
// started to run it.
const HeaderNotStarted = "Almondbay-Not-Started"

// Request is one attempt at a call.
type Request struct {
	Method string
	// Path starts with a slash and may include a query.
	Path   string
	Header http.Header
	Body   []byte
	// OnWrite, unless nil, is called when a connection is available, before the
	// first byte is written to it.
	OnWrite func()
}

// Answer is the header of an answer and its body as a stream. The receiver must
// close Body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Service sends calls to plain services at the addresses of their VMs.
type Service interface {
	// Call makes one attempt at a call. It returns a NotStartedError if the
	// service rejected the call before it started to run it, and an
	// UnreachableError if no connection was established.
	Call(ctx context.Context, address string, r Request) (Answer, error)
	// Alive reports whether a TCP connection to the address can be established.
	Alive(ctx context.Context, address string) bool
}

// NotStartedError reports a call that the service rejected before it started to
// run it.
type NotStartedError struct {
	// Status is the HTTP status of the answer.
	Status int
}

func (e *NotStartedError) Error() string {
	return fmt.Sprintf("service: call not started: status %d", e.Status)
}

// UnreachableError reports a call for which no connection was established, so
// that no byte of it was sent.
type UnreachableError struct {
	Reason string
}

func (e *UnreachableError) Error() string {
	return "service: unreachable: " + e.Reason
}

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 2 * time.Second
)

// Client implements Service over HTTP. It sends each call on a connection of its
// own, which proves that a response is that to the call: services need not name the
// call in their responses, and may send copies of earlier ones on a connection. Nor
// does net/http send a call again by itself, as it does only on a connection that was
// used before.
type Client struct {
	dialer *net.Dialer
	http   *http.Client
}

var _ Service = (*Client)(nil)

// NewClient returns a client.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:        dialer.DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return &Client{dialer: dialer, http: newHTTPClient(transport)}
}

// newHTTPClient returns a client that returns redirects instead of following
// them.
func newHTTPClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     bounded.NewTransport(t),
		CheckRedirect: bounded.RefuseRedirects,
	}
}

// Call implements Service.
func (c *Client) Call(ctx context.Context, address string, r Request) (Answer, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connected = true
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
	response, err := c.http.Do(request)
	if err != nil && !connected {
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
