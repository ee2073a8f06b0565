// Package backend is the HTTP client for backend servers. It sends a request at
// most once, on a single connection, and its errors state whether any byte of
// the request may have been sent.
package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/serving/bounded"
)

// MaxHeadBytes is the maximum size in bytes of the head of a response, including
// all 1xx responses before it. Heads of backend servers hold about ten short
// headers.
const MaxHeadBytes = 8 << 10

// Config configures a Client.
type Config struct {
	Clock clockwork.Clock
	// ConnectTimeout is the time limit for obtaining a connection.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept. It must be shorter than
	// the idle timeout of the backend servers, so that no request is sent on a
	// connection that the server is closing.
	IdleTimeout time.Duration
	// MaxIdle is the maximum number of idle connections to one backend server.
	MaxIdle int
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnDistrust, unless nil, is called for each connection that is closed because of what
	// came on it.
	OnDistrust func(DistrustCause)
}

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	clock     clockwork.Clock
	timeout   time.Duration
}

// NewClient returns a client that has no connections yet.
func NewClient(c Config) *Client {
	distrusted := c.OnDistrust
	if distrusted == nil {
		distrusted = func(DistrustCause) {}
	}
	var connections atomic.Uint64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := c.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: bounded.NewConn(conn), number: connections.Add(1), distrusted: distrusted}, nil
	}
	return &Client{
		clock:   c.Clock,
		timeout: c.ConnectTimeout,
		transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: c.MaxIdle,
			IdleConnTimeout:     c.IdleTimeout,
			// Callers get the body exactly as the backend server sent it, so the
			// transport must not decode it.
			DisableCompression:     true,
			MaxResponseHeaderBytes: MaxHeadBytes,
		},
	}
}

// Request is a request to one backend server.
type Request struct {
	// ID identifies the request; repeats of it may have the same one.
	ID      string
	Address string
	Method  string
	// Target is the request target as the caller sent it: path and query.
	Target string
	Host   string
	Header http.Header
	// Body is sent in pieces.
	Body [][]byte
	// Accept decides by the status and headers whether the response belongs to the
	// request, and whether it states that the request has not run. If it does not belong to
	// the request, the response is discarded and its connection closed.
	Accept func(status int, h http.Header) (rejected bool, err error)
	// OnSend, unless nil, is called with the connection before the request is written to
	// it.
	OnSend func(Send)
}

// NotSentError reports a request of which no byte was sent. Sending it again is
// always safe.
type NotSentError struct {
	Address string
	Err     error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("backend server %s: nothing sent: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// SentError reports a request that was sent at least in part, so that it may
// have run.
type SentError struct {
	Address string
	Err     error
}

func (e *SentError) Error() string {
	return fmt.Sprintf("backend server %s: may have run: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *SentError) Unwrap() error { return e.Err }

// Attempt sends r once and returns the response as soon as its headers have
// arrived and were accepted. The caller must close the body; closing it before its end
// cancels the request. Errors are of type *NotSentError or *SentError; the latter wraps
// that of Accept.
func (c *Client) Attempt(ctx context.Context, r Request) (*http.Response, error) {
	for passedOver := 0; ; passedOver++ {
		response, err := c.attempt(ctx, r, passedOver)
		if !errors.Is(err, errPassedOver) {
			return response, err
		}
	}
}

// errPassedOver reports a kept connection that was closed before anything of the request
// was sent. That says nothing of the server now; the next connection does.
var errPassedOver = errors.New("idle connection was closed by the server, or because of what had come on it")

// attempt sends r on one connection, after others were passed over. The error is
// errPassedOver in a NotSentError if this one is passed over as well.
func (c *Client) attempt(ctx context.Context, r Request, passedOver int) (*http.Response, error) {
	content := newOnceBody(r.Body)
	tracker := writeTracker{content: content, passedOver: passedOver}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	timer := c.clock.AfterFunc(c.timeout, func() {
		if !tracker.connected.Load() || tracker.lost.Load() {
			cancel(ErrConnectTimeout)
		}
	})
	defer timer.Stop()
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		tracker.begin(attemptCtx, i, r)
		if !tracker.lost.Load() {
			timer.Stop()
		}
	}}
	request, err := newRequest(httptrace.WithClientTrace(attemptCtx, trace), r, content)
	if err != nil {
		cancel(nil)
		return nil, &NotSentError{Address: r.Address, Err: err}
	}
	response, err := c.transport.RoundTrip(request)
	if err == nil && !tracker.sent() {
		// Nothing asked for the response: it was there before the request.
		_ = response.Body.Close()
		err = errUnsolicited
	}
	result := verdictOther
	var foreign error
	switch {
	case errors.Is(err, errUnsolicited):
		result = verdictForeign
	case err == nil && response.StatusCode >= http.StatusOK:
		result, foreign = judge(r, response)
	}
	tracker.settle(result)
	if foreign != nil {
		_ = response.Body.Close()
		cancel(nil)
		return nil, &SentError{Address: r.Address, Err: foreign}
	}
	if err != nil {
		cause := context.Cause(attemptCtx)
		cancel(nil)
		if cause != nil {
			err = cause
		}
		if tracker.sent() {
			return nil, &SentError{Address: r.Address, Err: err}
		}
		if cause == nil && tracker.reused.Load() {
			err = errPassedOver
		}
		return nil, &NotSentError{Address: r.Address, Err: err}
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		// The body is the connection itself, which the end of ctx does not close.
		_ = response.Body.Close()
		cancel(nil)
		return nil, &SentError{Address: r.Address, Err: errSwitched}
	}
	response.Body = &body{ReadCloser: response.Body, cancel: cancel, early: !content.sent.Load()}
	return response, nil
}

// AnsweredEarly reports whether a response that Attempt returned had come before the whole
// body of its request was handed to the connection.
func AnsweredEarly(response *http.Response) bool {
	b, ok := response.Body.(*body)
	return ok && b.early
}

// errMergedHead reports a response whose head has a second status line in it.
var errMergedHead = errors.New("head of the response has the beginning of another response in it")

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// checkHead returns an error if the head is malformed, and errMergedHead if a response was cut off in its head and another one
// follows it, which net/http reads as one.
func checkHead(response *http.Response) error {
	if err := bounded.CheckHead(response); err != nil {
		return err
	}
	if statusLine.MatchString(response.Status) {
		return errMergedHead
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return errMergedHead
		}
	}
	return nil
}

// judge returns what the response shows about the request, and why it belongs to another
// one if it does.
func judge(r Request, response *http.Response) (verdict, error) {
	if err := checkHead(response); err != nil {
		return verdictForeign, err
	}
	rejected, err := r.Accept(response.StatusCode, response.Header)
	switch {
	case err != nil:
		return verdictForeign, err
	case rejected:
		return verdictRejected, nil
	default:
		return verdictOther, nil
	}
}

// errSwitched reports a response that switches protocols, which no request asks
// for.
var errSwitched = errors.New("response with status 101 switches protocols")

// ErrConnectTimeout is the cause of a NotSentError when no connection was obtained
// within the connect timeout: the VM of the backend server may be down.
var ErrConnectTimeout = errors.New("connect timeout")

// writeTracker detects whether any byte of a request was written.
type writeTracker struct {
	// content is the body of the request.
	content   *onceBody
	connected atomic.Bool
	use       atomic.Pointer[connUse]
	// reused is set if the connection is a kept one, lost if it was closed before the
	// request as well.
	reused, lost atomic.Bool
	// passedOver is the number of such connections before this one.
	passedOver int
}

// begin records the connection that the request is about to be written to.
func (t *writeTracker) begin(ctx context.Context, i httptrace.GotConnInfo, r Request) {
	if c, ok := i.Conn.(*countedConn); ok {
		t.settle(verdictOther)
		u := c.begin(ctx, r.ID)
		c.Begin(t.content.sent.Load)
		t.use.Store(u)
		if t.lost.Load() {
			// net/http chose another connection by itself.
			t.passedOver++
		}
		admitted := u.admit()
		t.reused.Store(i.Reused)
		t.lost.Store(i.Reused && (!admitted || !c.awaitRead(ctx)))
		if r.OnSend != nil {
			s := u.send()
			s.PassedOver = t.passedOver
			r.OnSend(s)
		}
	}
	t.connected.Store(true)
}

// settle settles the use of the connection, if the request got one.
func (t *writeTracker) settle(v verdict) {
	if u := t.use.Load(); u != nil {
		u.settle(v)
	}
}

// sent reports whether anything may have been written to the connection.
func (t *writeTracker) sent() bool {
	if !t.connected.Load() {
		return false
	}
	u := t.use.Load()
	return u == nil || u.conn.written(u.before)
}

// body is a response body that cancels the context of its attempt when closed.
type body struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
	// early is set if the response came before the whole body of the request was sent.
	early bool
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// newRequest builds a request that net/http does not retry by itself: the body
// cannot be rewound, so the transport returns an error instead.
func newRequest(ctx context.Context, r Request, once *onceBody) (*http.Request, error) {
	target, err := url.ParseRequestURI(r.Target)
	if err != nil {
		return nil, err
	}
	target.Scheme = "http"
	target.Host = r.Address
	if len(r.Target) < 2 || r.Target[1] != '/' {
		// An opaque URL keeps the path exactly as the caller sent it. With two
		// leading slashes net/http would send it as an absolute URL.
		target = &url.URL{Scheme: "http", Host: r.Address, Opaque: r.Target}
	}
	length := once.left
	var content io.ReadCloser = once
	if length == 0 && !retriedByTransport(r.Method) {
		content = http.NoBody
	}
	request := &http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          r.Host,
		Header:        withoutReplayMarks(r.Header),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Body:          content,
		ContentLength: length,
	}
	if content != http.NoBody && length == 0 {
		// Keeps net/http from sending an empty chunked body with methods for which it
		// does not look whether there is one.
		request.TransferEncoding = []string{"identity"}
	}
	return request.WithContext(ctx), nil
}

// replayMarks are the headers for which net/http sends a request without a body again by
// itself, whatever its method.
var replayMarks = []string{"Idempotency-Key", "X-Idempotency-Key"}

// withoutReplayMarks returns headers that net/http does not take for replay marks, which it
// looks up by their canonical names. On the wire, case does not matter.
func withoutReplayMarks(h http.Header) http.Header {
	var changed http.Header
	for _, name := range replayMarks {
		values, ok := h[name]
		if !ok {
			continue
		}
		if changed == nil {
			changed = maps.Clone(h)
		}
		delete(changed, name)
		changed[strings.ToLower(name)] = values
	}
	if changed == nil {
		return h
	}
	return changed
}

// retriedByTransport reports whether net/http retries requests of the method by
// itself when they have no body.
func retriedByTransport(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// onceBody is a request body that can be read once and cannot be rewound.
type onceBody struct {
	// pieces are those that are not read yet, begun the number of bytes of the first one
	// that were.
	pieces [][]byte
	begun  int
	// left is the number of bytes that are not read yet.
	left int64
	// sent is set once all of it was read.
	sent atomic.Bool
}

func newOnceBody(pieces [][]byte) *onceBody {
	b := &onceBody{pieces: pieces}
	for _, piece := range pieces {
		b.left += int64(len(piece))
	}
	b.sent.Store(b.left == 0)
	return b
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	for len(b.pieces) > 0 && b.begun == len(b.pieces[0]) {
		b.pieces, b.begun = b.pieces[1:], 0
	}
	if len(b.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.pieces[0][b.begun:])
	b.begun += n
	b.left -= int64(n)
	if b.left == 0 {
		b.sent.Store(true)
	}
	return n, nil
}

// Close implements io.Closer.
func (b *onceBody) Close() error { return nil }
