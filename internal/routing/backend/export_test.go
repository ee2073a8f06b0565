package backend

import (
	"context"
	"net"

	"almondbay.example/serving/bounded"
)

// CountedConn exposes the connection of the client to its tests.
type CountedConn struct {
	conn *countedConn
	use  *connUse
}

// NewCountedConn returns a connection that is about to take a request.
func NewCountedConn(conn net.Conn) *CountedConn {
	c := &countedConn{Conn: bounded.NewConn(conn), distrusted: func(DistrustCause) {}}
	return &CountedConn{conn: c, use: c.begin(context.Background(), "request")}
}

// Conn returns the connection that the transport uses.
func (c *CountedConn) Conn() net.Conn { return c.conn }

// Sent reports whether any of the request counts as sent.
func (c *CountedConn) Sent() bool { return c.conn.written(c.use.before) }
