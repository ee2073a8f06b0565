package backend

import (
	"context"
	"errors"
	"net"
	"sync"

	"almondbay.example/serving/bounded"
)

// countedConn counts the calls of Write on a connection, so that an attempt can
// tell whether any of its request was written. It also keeps bytes that arrive
// before a request from being taken for its response, which the transport does
// if they arrive just before the request.
type countedConn struct {
	*bounded.Conn
	// number is unique among the connections of a client, and at least 1.
	number uint64
	// distrusted is called when the connection is closed because of what came on it.
	distrusted func(DistrustCause)

	mu sync.Mutex
	// history is what the connection has carried; it changes when a use is settled.
	history history
	// writes is the number of calls of Write that reached Conn. It is final once
	// refusal is set.
	writes int64
	// before is the number of writes before the current request.
	before int64
	// refusal is the error of further calls of Write; nil while they reach Conn.
	refusal error
	// reading is set during a call of Read.
	reading bool
	closed  bool
	// wake is closed at the next call of Read or Close; nil if nothing waits.
	wake chan struct{}
	// settled is that of the last use; nil before the first. The transport offers the
	// connection to the next request before if the response has no body.
	settled chan struct{}
}

// Errors of connections that cannot take a request.
var (
	errUnsolicited = errors.New("connection holds bytes that no request asked for")
	errSpoiled     = errors.New("connection had a response that belongs to another request")
)

// Write implements net.Conn. It writes nothing to a connection that the transport
// has closed: its loop for requests may still take one then, which would count as
// sent.
func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.countWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// countWrite counts a write unless the connection takes no more.
func (c *countedConn) countWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.refusal != nil {
		return c.refusal
	}
	c.writes++
	return nil
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.wakeLocked()
	c.mu.Unlock()

	n, err := c.Conn.Read(p)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 && c.writes == c.before {
		if c.refusal == nil {
			c.distrusted(DistrustUnsolicited)
		}
		c.refusal = errUnsolicited
		return 0, errUnsolicited
	}
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	if c.refusal == nil {
		c.refusal = net.ErrClosed
	}
	c.wakeLocked()
	c.mu.Unlock()
	return c.Conn.Close()
}

// wakeLocked wakes awaitRead.
func (c *countedConn) wakeLocked() {
	if c.wake != nil {
		close(c.wake)
		c.wake = nil
	}
}

// connUse is the use of a connection for one request.
type connUse struct {
	conn *countedConn
	// id is the ID of the request.
	id string
	// before is the number of writes on the connection before the request.
	before int64
	// settled is closed once it is known whether the response belongs to the request.
	settled chan struct{}
}

// begin starts the use of the connection for the request with an ID, once the one before
// it is settled. If ctx ends before, the connection is closed, as its history may lack a
// rejection. The caller must settle the use.
func (c *countedConn) begin(ctx context.Context, id string) *connUse {
	u := &connUse{conn: c, id: id, settled: make(chan struct{})}
	c.mu.Lock()
	previous := c.settled
	c.settled = u.settled
	c.mu.Unlock()
	if previous != nil {
		select {
		case <-previous:
		case <-ctx.Done():
			_ = c.Close()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()

	c.before = c.writes
	u.before = c.before
	return u
}

// admit reports whether the request may be sent on the connection, which it closes
// otherwise.
func (u *connUse) admit() bool {
	u.conn.mu.Lock()
	proves := u.conn.history.proves(u.id)
	u.conn.mu.Unlock()
	if !proves {
		u.conn.distrust(errRejectedBefore, DistrustRejectedBefore)
	}
	return proves
}

// send describes the connection before the request.
func (u *connUse) send() Send {
	c := u.conn
	c.mu.Lock()
	defer c.mu.Unlock()

	return Send{Connection: c.number, Requests: c.history.requests, Rejections: len(c.history.rejected)}
}

// settle ends the use: no further response is read for the request. Unless the response was
// its own, or there was none, the connection is closed: its next response may be the one
// that is still due.
func (u *connUse) settle(v verdict) {
	switch v {
	case verdictForeign:
		u.conn.distrust(errSpoiled, DistrustOtherRequest)
	case verdictRejected:
		if !u.conn.recordRejection(u.id) {
			u.conn.distrust(errManyRejections, DistrustManyRejections)
		}
	case verdictOther:
	}
	u.conn.countRequest()
	close(u.settled)
}

// countRequest counts a request that the connection has carried.
func (c *countedConn) countRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.history.requests++
}

// recordRejection records that the server rejected the request with an ID, and reports
// whether the connection may take further requests.
func (c *countedConn) recordRejection(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.history.reject(id)
}

// distrust closes the connection, which takes no further request.
func (c *countedConn) distrust(err error, cause DistrustCause) {
	c.mu.Lock()
	c.refusal = err
	c.mu.Unlock()
	c.distrusted(cause)
	_ = c.Close()
}

// written reports whether anything was written since a call of begin that
// returned before.
func (c *countedConn) written(before int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.writes != before
}

// awaitRead waits until the transport reads from the connection, which it does
// on an idle one once it holds no more bytes, or has closed it. It reports
// whether the connection is still open.
func (c *countedConn) awaitRead(ctx context.Context) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.reading && !c.closed {
		wake := make(chan struct{})
		c.wake = wake
		c.mu.Unlock()
		select {
		case <-wake:
		case <-ctx.Done():
		}
		c.mu.Lock()
	}
	return !c.closed
}
