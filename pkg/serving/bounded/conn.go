package bounded

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// UnfinishedRequestError reports a response that ended with its connection before the request
// was written whole. The connection may have been reset: a failed write takes the error of
// the socket, and a read then sees a plain end.
type UnfinishedRequestError struct {
	// Err is the error of the write; nil if there was none and a part was not written yet.
	Err error
}

func (e *UnfinishedRequestError) Error() string {
	if e.Err == nil {
		return "connection ended before the request was written whole"
	}
	return fmt.Sprintf("connection ended after a failed write: %v", e.Err)
}

// Unwrap returns the cause. It is not the end of a body.
func (e *UnfinishedRequestError) Unwrap() error {
	if e.Err == nil {
		return io.ErrUnexpectedEOF
	}
	return e.Err
}

// Conn is a connection of a client. It checks the heads of responses, and tells the end of a
// response from the end of a connection that was reset while the request was written. Its
// user calls Begin before each request.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	scanner headScanner
	// writing is the number of calls of Write that have not returned; written is signaled
	// when one has.
	writing  int
	written  *sync.Cond
	writeErr error
	// finished reports whether all of the request was handed to Write; nil if that is not
	// known.
	finished func() bool
}

// NewConn returns a connection that checks another.
func NewConn(c net.Conn) *Conn {
	checked := &Conn{Conn: c}
	checked.written = sync.NewCond(&checked.mu)
	return checked
}

// Begin expects a response to a request that is about to be written. finished reports
// whether all of the request was handed to the connection; nil if that is not known.
func (c *Conn) Begin(finished func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.scanner.arm()
	c.finished = finished
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()

	if malformed := c.scanner.scan(p[:n]); malformed != nil {
		return 0, malformed
	}
	if errors.Is(err, io.EOF) && c.unfinished() {
		err = &UnfinishedRequestError{Err: c.writeErr}
	}
	return n, err
}

// unfinished reports at the end of the connection whether a request was not written whole.
// c.mu must be held.
func (c *Conn) unfinished() bool {
	if c.writing > 0 {
		// A call that waits for the server ends; one that the system has carried out is not
		// affected. If it can't be set, the connection has failed already.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
	for c.writing > 0 {
		c.written.Wait()
	}
	return c.writeErr != nil || c.finished != nil && !c.finished()
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()

	c.writing--
	c.written.Broadcast()
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// dialChecked returns a function that dials connections that check responses.
func dialChecked(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// checked returns a copy of a request that expects its response on the connection that it
// gets. Its body stays as it is: net/http writes one that it knows together with the head,
// and a server that answers without reading it resets the connection otherwise.
func checked(r *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*Conn); ok {
			c.Begin(nil)
		}
	}}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
}
