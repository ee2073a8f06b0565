// Package caller accepts connections from outside. It bounds their number, the memory that
// they hold before a request is handled, and how long they may stand still, so that clients
// that ignore the limits do not take the place of others.
package caller

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// ConnectionBytes is the memory of a connection in bytes: the stack and the buffers of
	// net/http, and what the kernel receives before it is read.
	ConnectionBytes = 48 << 10
	// receiveBuffer is the size in bytes of the receive buffer of a connection, of which
	// the kernel takes twice as much. Without a bound it grows to megabytes.
	receiveBuffer = 8 << 10
	// wideReceiveBuffer is the size in bytes of the receive buffer while a long body is read.
	wideReceiveBuffer = 64 << 10
	// WideBufferBytes is the number of bytes that the kernel takes for a wide buffer.
	WideBufferBytes = 128 << 10
	// sendBuffer is the size in bytes of the send buffer of a connection, of which the
	// kernel takes twice as much.
	sendBuffer = 64 << 10
	// freshTime is how long a connection is spared before others when room is made.
	freshTime = time.Second
)

// Memory is an account that connections are charged to.
type Memory interface {
	// ReserveConnection reserves n bytes and reports whether they fit.
	ReserveConnection(n int64) bool
	ReleaseConnection(n int64)
}

// Closing is why a listener closed a connection.
type Closing string

// Causes of closed connections.
const (
	// ClosingMakesRoom means that a connection that had stood still was closed for another.
	ClosingMakesRoom Closing = "makesRoom"
	// ClosingNoRoom means that all connections had requests under way.
	ClosingNoRoom Closing = "noRoom"
	// ClosingStandsStill means that a body or an answer made no progress.
	ClosingStandsStill Closing = "standsStill"
)

// Config configures a Listener.
type Config struct {
	Clock clockwork.Clock
	// MaxConnections is the number of connections that may be open at the same time.
	MaxConnections int
	// Memory is charged for connections and heads; nil if nothing is charged.
	Memory Memory
	// OnClosing, unless nil, is called for each connection that is closed for want of room
	// or because it stood still.
	OnClosing func(Closing)
}

// Listener is a listener whose connections are bounded in number and memory. At the bound,
// a new connection takes the place of the one that has stood still longest and whose request
// has not been passed on. It is safe for concurrent use.
type Listener struct {
	net.Listener
	config Config

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Listen listens on a TCP address.
func Listen(ctx context.Context, address string, c Config) (*Listener, error) {
	listen := net.ListenConfig{Control: boundBuffers}
	l, err := listen.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return NewListener(l, c), nil
}

// NewListener returns a listener that accepts the connections of another.
func NewListener(l net.Listener, c Config) *Listener {
	if c.OnClosing == nil {
		c.OnClosing = func(Closing) {}
	}
	return &Listener{Listener: l, config: c, conns: map[*Conn]struct{}{}}
}

// boundBuffers sets the sizes of the buffers, which accepted connections inherit.
func boundBuffers(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer),
		)
	})
	return errors.Join(err, optionErr)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := l.config.Clock.Now()
		c := &Conn{Conn: raw, listener: l, phase: phaseHead, since: now, progressAt: now}
		if l.admit(c, now) {
			return c, nil
		}
		l.config.OnClosing(ClosingNoRoom)
		_ = raw.Close()
	}
}

// admit adds a connection, in place of others if need be. It reports false if there is no
// room.
func (l *Listener) admit(c *Conn, now time.Time) bool {
	l.mu.Lock()
	var victims []*Conn
	fits := true
	for fits && len(l.conns) >= l.config.MaxConnections {
		victims, fits = l.dropOne(victims, now)
	}
	if fits {
		l.conns[c] = struct{}{}
		if victims, fits = l.charge(c, ConnectionBytes, victims, now); !fits {
			delete(l.conns, c)
		}
	}
	l.mu.Unlock()
	l.close(victims)
	return fits
}

// chargeHead charges a connection for the bytes of a head, and closes others if need be. It
// reports false if there is no room.
func (l *Listener) chargeHead(c *Conn, n int64) bool {
	l.mu.Lock()
	victims, ok := l.charge(c, n, nil, l.config.Clock.Now())
	l.mu.Unlock()
	l.close(victims)
	return ok
}

// charge reserves n bytes for a connection. It drops others while there is no room for them,
// which it appends to victims. l.mu must be held.
func (l *Listener) charge(c *Conn, n int64, victims []*Conn, now time.Time) ([]*Conn, bool) {
	if _, ok := l.conns[c]; !ok {
		return victims, false
	}
	for l.config.Memory != nil && !l.config.Memory.ReserveConnection(n) {
		var dropped bool
		if victims, dropped = l.dropOne(victims, now, c); !dropped {
			return victims, false
		}
	}
	c.charged += n
	return victims, true
}

// refund releases bytes that a connection was charged for. l.mu must be held.
func (l *Listener) refund(c *Conn, n int64) {
	c.charged -= n
	if l.config.Memory != nil {
		l.config.Memory.ReleaseConnection(n)
	}
}

// refundHead releases what a connection was charged for a head.
func (l *Listener) refundHead(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if n := c.charged - ConnectionBytes; n > 0 {
		l.refund(c, n)
	}
}

// forget removes a connection that is closed.
func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.drop(c)
}

// drop removes a connection. l.mu must be held.
func (l *Listener) drop(c *Conn) {
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	l.refund(c, c.charged)
}

// dropOne drops the connection whose place can best be taken, other than the given ones, and
// appends it to victims. It reports false if there is none. l.mu must be held.
func (l *Listener) dropOne(victims []*Conn, now time.Time, but ...*Conn) ([]*Conn, bool) {
	var worst *Conn
	var worstRank rank
	for c := range l.conns {
		r, ok := c.rank(now)
		if ok && !slices.Contains(but, c) && (worst == nil || r.before(worstRank)) {
			worst, worstRank = c, r
		}
	}
	if worst == nil {
		return victims, false
	}
	l.drop(worst)
	return append(victims, worst), true
}

// close closes connections that were dropped.
func (l *Listener) close(victims []*Conn) {
	for _, c := range victims {
		l.config.OnClosing(ClosingMakesRoom)
		_ = c.Conn.Close()
	}
}

// Connections returns the number of open connections.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return len(l.conns)
}

// Track is a hook of http.Server for changes of the state of connections.
func (l *Listener) Track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.enter(phaseHandled)
	case http.StateIdle:
		c.enter(phaseIdle)
		l.refundHead(c)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// WithConn is a hook of http.Server that lets handlers find the connection of a request.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

type connKey struct{}

// FromContext returns the connection of a request, or nil if it came through no Listener.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

const (
	// SweepInterval is the time between two calls of Sweep.
	SweepInterval = time.Second
	// bodySweeps and answerSweeps are the numbers of sweeps in a row after which a body, or
	// an answer that is not read, is given up. Sweeps are counted, and not time, since a
	// process that was suspended must not blame its callers for it.
	bodySweeps   = 15
	answerSweeps = 30
)

// Sweep ends reads of bodies and writes of answers that have made no progress for long. It
// is meant to be called at each SweepInterval.
func (l *Listener) Sweep() {
	for _, c := range l.all() {
		if c.sweep() {
			l.config.OnClosing(ClosingStandsStill)
		}
	}
}

func (l *Listener) all() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()

	return slices.Collect(maps.Keys(l.conns))
}

// minStillSweeps is the number of sweeps in a row at which a body or an answer must have
// made no progress to be given up for others.
const minStillSweeps = 3

// AbortBody ends the read of the body that has stood still longest, if any has for
// minStillSweeps. The memory of its request is released soon after.
func (l *Listener) AbortBody() {
	worst := l.stillLongest(func(c *Conn) int {
		body, _ := c.stillSweeps()
		return body
	})
	if worst != nil && worst.abortBody() {
		l.config.OnClosing(ClosingMakesRoom)
	}
}

// AbortAnswer ends the write of the answer that its caller has not read for longest, if any
// has stood still for minStillSweeps. The slot of its request is free soon after.
func (l *Listener) AbortAnswer() {
	worst := l.stillLongest(func(c *Conn) int {
		_, answer := c.stillSweeps()
		return answer
	})
	if worst != nil {
		l.config.OnClosing(ClosingMakesRoom)
		worst.abortAnswer()
	}
}

// stillLongest returns the connection with the most sweeps, or nil if none has
// minStillSweeps.
func (l *Listener) stillLongest(sweeps func(*Conn) int) *Conn {
	var worst *Conn
	most := minStillSweeps - 1
	for _, c := range l.all() {
		if n := sweeps(c); n > most {
			worst, most = c, n
		}
	}
	return worst
}
