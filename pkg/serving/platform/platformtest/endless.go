// Package platformtest provides stand-in servers for tests of clients.
package platformtest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

const (
	// maxSentBytes is the number of bytes after which a response ends although the
	// client has not closed the connection.
	maxSentBytes = 80 << 20
	// pieceBytes is the approximate size of one write.
	pieceBytes = 32 << 10
	// readAhead is the number of bytes by which a client may exceed its bound,
	// because it reads into a buffer.
	readAhead = 64 << 10
)

// Endless is a server whose responses end only when the client closes the
// connection.
type Endless struct {
	t        testing.TB
	listener net.Listener
	start    string
	piece    string
	received atomic.Int64
	// closed receives, for each connection, whether the client closed it.
	closed chan bool
}

// NewEndless starts a server that answers each request with start followed by
// repetitions of next. The server stops at the end of the test.
func NewEndless(t testing.TB, start, next string) *Endless {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &Endless{
		t:        t,
		listener: listener,
		start:    start,
		piece:    strings.Repeat(next, pieceBytes/len(next)+1),
		closed:   make(chan bool, 1),
	}
	var group sync.WaitGroup
	group.Go(e.serve)
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return e
}

// Address returns the server's host and port.
func (e *Endless) Address() string {
	return e.listener.Addr().String()
}

// Port returns the server's port.
func (e *Endless) Port() int {
	return e.listener.Addr().(*net.TCPAddr).Port
}

// Dial opens a connection that counts the received bytes.
func (e *Endless) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, received: &e.received}, nil
}

// CheckClosed waits for the end of the first connection. It reports an error if
// the client did not close it, or received more than maxBytes through Dial.
func (e *Endless) CheckClosed(maxBytes int64) {
	e.t.Helper()
	if !<-e.closed {
		e.t.Errorf("client did not close the connection within %d bytes", maxSentBytes)
	}
	if n := e.received.Load(); n > maxBytes+readAhead {
		e.t.Errorf("client received %d bytes, want at most %d and a buffer", n, maxBytes)
	}
}

// serve answers one connection after another until the listener is closed.
func (e *Endless) serve() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.answer(conn)
		_ = conn.Close()
	}
}

// answer answers one request and records whether the client closed the
// connection.
func (e *Endless) answer(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		// A client may open a connection that it does not need.
		return
	}
	_ = request.Body.Close()
	_, err = io.WriteString(conn, e.start)
	for sent := 0; err == nil && sent < maxSentBytes; sent += len(e.piece) {
		_, err = io.WriteString(conn, e.piece)
	}
	select {
	case e.closed <- err != nil:
	default:
	}
}

// countingConn counts the received bytes.
type countingConn struct {
	net.Conn
	received *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}
