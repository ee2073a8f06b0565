package boundedtest

import (
	"context"
	"net"
	"sync/atomic"
)

// Dialer opens connections, and counts them and the bytes received on them. The
// zero value is ready to use.
type Dialer struct {
	dials    atomic.Int64
	received atomic.Int64
}

// Dial opens a connection.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.dials.Add(1)
	connection, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: connection, received: &d.received}, nil
}

// Dials returns the number of calls of Dial.
func (d *Dialer) Dials() int64 { return d.dials.Load() }

// Received returns the number of bytes received on all connections.
func (d *Dialer) Received() int64 { return d.received.Load() }

// countedConn counts the received bytes.
type countedConn struct {
	net.Conn
	received *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}
