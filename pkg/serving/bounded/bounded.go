// Package bounded bounds what HTTP clients read from servers, so that a server
// that sends bytes without end costs neither memory nor a call that never ends.
package bounded

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// MaxHeadBytes bounds the head of a response together with the 1xx responses
// before it.
const MaxHeadBytes = 16 << 10

// HandshakeTimeout bounds a TLS handshake. The deadline of a request does not:
// net/http goes on to connect after the request has ended.
const HandshakeTimeout = 5 * time.Second

// Part is a part of a response.
type Part string

// Parts of a response.
const (
	PartHead  Part = "head"
	PartBody  Part = "body"
	PartEvent Part = "event"
	// PartSkipped is the part of a stream of events that has no new tokens.
	PartSkipped Part = "part without new tokens"
)

// TooLargeError reports a part of a response that exceeds its limit.
type TooLargeError struct {
	Part Part
	// Server is the address or the name of the server.
	Server string
	// Limit is the limit in bytes.
	Limit int64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s of the response of %s exceeds %d bytes", e.Part, e.Server, e.Limit)
}

// UpgradeError reports a response that switches the connection to another
// protocol, which no client requests.
type UpgradeError struct {
	// Server is the address of the server.
	Server string
}

func (e *UpgradeError) Error() string {
	return fmt.Sprintf("%s switched to another protocol unasked", e.Server)
}

// Transport sends requests and bounds the heads of the responses.
type Transport struct {
	base http.RoundTripper
}

// NewTransport returns a transport that sends requests with base, or with
// http.DefaultTransport if base is nil. It copies an *http.Transport to set its
// limits; a base of another type must bound heads itself.
func NewTransport(base http.RoundTripper) *Transport {
	if base == nil {
		base = http.DefaultTransport
	}
	if t, ok := base.(*http.Transport); ok {
		limited := t.Clone()
		limited.MaxResponseHeaderBytes = MaxHeadBytes
		limited.TLSHandshakeTimeout = HandshakeTimeout
		if limited.DialContext == nil {
			limited.DialContext = (&net.Dialer{}).DialContext
		}
		limited.DialContext = dialChecked(limited.DialContext)
		if limited.DialTLSContext != nil {
			limited.DialTLSContext = dialChecked(limited.DialTLSContext)
		}
		base = limited
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper. It returns a TooLargeError if the head
// is too large, a MalformedHeadError if it is malformed, and an UpgradeError for a response with status 101: its body is
// the connection, whose reads end neither at a deadline nor on cancellation.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(checked(r))
	if err != nil && isHeadTooLarge(err) {
		return nil, &TooLargeError{Part: PartHead, Server: r.URL.Host, Limit: MaxHeadBytes}
	}
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		_ = response.Body.Close()
		return nil, &UpgradeError{Server: r.URL.Host}
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the base, also those that become idle
// later.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// isHeadTooLarge reports whether net/http aborted a response whose head is too
// large. net/http has no type for this error.
func isHeadTooLarge(err error) bool {
	return strings.Contains(err.Error(), "server response headers exceeded")
}

// RefuseRedirects is a CheckRedirect function of an http.Client: the client
// returns a redirect as the response. Following it would send the request, and
// the key of a client that adds one, to another server.
func RefuseRedirects(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// ReadBody reads the complete body of a response. It returns a TooLargeError if
// the body exceeds maxBytes.
func ReadBody(response *http.Response, maxBytes int64) ([]byte, error) {
	tooLarge := &TooLargeError{Part: PartBody, Server: serverOf(response), Limit: maxBytes}
	if response.ContentLength > maxBytes {
		return nil, tooLarge
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > maxBytes {
		return nil, tooLarge
	}
	return body, nil
}

// maxExcerptBytes bounds what is read of a body that only explains a status.
const maxExcerptBytes = 512

// ReadExcerpt reads the start of a body that only explains an error status. It
// ignores a failure to read, since the status suffices.
func ReadExcerpt(response *http.Response) []byte {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxExcerptBytes))
	return body
}

// serverOf returns the address of the server that sent a response.
func serverOf(response *http.Response) string {
	if response.Request == nil || response.Request.URL == nil {
		return "unknown server"
	}
	return response.Request.URL.Host
}
