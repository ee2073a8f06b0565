package caller

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection is used for.
type phase int

const (
	// phaseHead means that the head of a request is awaited or received.
	phaseHead phase = iota
	// phaseBody means that the body of a request is received, or what is left of it after an
	// answer. Nothing of the request was passed on.
	phaseBody
	// phaseHandled means that a request is handled. Its connection is not closed for others.
	phaseHandled
	// phaseIdle means that the connection is kept after an answer.
	phaseIdle
)

const (
	// freeHead is the size in bytes of a head that ConnectionBytes covers.
	freeHead = 4 << 10
	// headFactor is the memory of a head per byte received: that of its text, of the strings
	// that are parsed from it, and of a line that is checked.
	headFactor = 3
	// maxWrite is the number of bytes that are written at once, so that the progress of a
	// long answer shows.
	maxWrite = 64 << 10
)

// Conn is a connection that a Listener has accepted.
type Conn struct {
	net.Conn
	listener *Listener
	// charged is the number of bytes that the connection was charged for. The mutex of the
	// listener guards it.
	charged int64

	// moved grows with each byte that is read or written, and when a write begins.
	moved atomic.Int64
	// writing is set during a call of Write.
	writing atomic.Bool

	mu    sync.Mutex
	phase phase
	// since is when the phase began, progressAt when bytes were last received.
	since, progressAt time.Time
	// head is the number of bytes received in phaseHead.
	head int64
	// swept is the value of moved at the last sweep, still the number of sweeps in a row at
	// which it had not changed.
	swept int64
	still int
	// aborted is set if the read of a body was ended.
	aborted bool
	// scanner checks what is received; malformed is its error, after which nothing is.
	scanner   requestScanner
	malformed error
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	if err := c.check(p[:n]); err != nil {
		return 0, err
	}
	if !c.received(int64(n)) {
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// check checks bytes that were received. While a request is handled, they are of one behind
// it, and an error must not end the request: Malformed reports it.
func (c *Conn) check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.malformed == nil {
		c.malformed = c.scanner.scan(p)
	}
	if c.phase == phaseHandled {
		return nil
	}
	return c.malformed
}

// Malformed returns the error of what the caller sent, at or before the present request. It
// is nil for a nil Conn.
func (c *Conn) Malformed() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.malformed
}

// received records bytes that were received. It reports false if there is no room for them.
func (c *Conn) received(n int64) bool {
	c.moved.Add(n)
	c.mu.Lock()
	now := c.listener.config.Clock.Now()
	c.progressAt = now
	if c.phase == phaseIdle {
		c.setPhase(phaseHead, now)
	}
	need := int64(0)
	if c.phase == phaseHead {
		before := max(c.head, freeHead)
		c.head += n
		need = headFactor * max(c.head-before, 0)
	}
	c.mu.Unlock()
	return need == 0 || c.listener.chargeHead(c, need)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	// An answer that begins has not stood still.
	c.moved.Add(1)
	c.writing.Store(true)
	defer c.writing.Store(false)
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+maxWrite)])
		written += n
		c.moved.Add(int64(n))
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.forget(c)
	return c.Conn.Close()
}

// SetLinger sets what Close does with data that was not sent, as that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// BeginBody records that the body of a request is about to be read. A nil Conn ignores it.
func (c *Conn) BeginBody() {
	if c != nil {
		c.enter(phaseBody)
	}
}

// EndBody records that the body of a request is no longer read and the request is handled.
func (c *Conn) EndBody() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()

	c.setPhase(phaseHandled, c.listener.config.Clock.Now())
	if c.aborted {
		c.aborted = false
		// net/http goes on to read, to learn when the caller leaves.
		_ = c.SetReadDeadline(time.Time{})
	}
}

// WidenBuffer widens the receive buffer for a long body. Its caller has reserved
// WideBufferBytes.
func (c *Conn) WidenBuffer() { c.setReceiveBuffer(wideReceiveBuffer) }

// NarrowBuffer takes back WidenBuffer.
func (c *Conn) NarrowBuffer() { c.setReceiveBuffer(receiveBuffer) }

func (c *Conn) setReceiveBuffer(size int) {
	if c == nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// If it can't be set, the connection has failed already.
		_ = tcp.SetReadBuffer(size)
	}
}

func (c *Conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.setPhase(p, c.listener.config.Clock.Now())
}

// setPhase begins a phase. c.mu must be held.
func (c *Conn) setPhase(p phase, now time.Time) {
	c.phase, c.since, c.progressAt = p, now, now
	c.head, c.still = 0, 0
}

// rank orders connections by how well their place can be taken.
type rank struct {
	class int
	// at is when the connection last made progress, or when its phase began.
	at time.Time
}

// before reports whether a connection of this rank is closed rather than one of another.
func (r rank) before(other rank) bool {
	return r.class < other.class || r.class == other.class && r.at.Before(other.at)
}

// rank returns the rank of the connection. It reports false if it must not be closed: a
// request on it was passed on, or is about to be.
func (c *Conn) rank(now time.Time) (rank, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	switch {
	case c.phase == phaseHandled:
		return rank{}, false
	case c.phase == phaseIdle:
		return rank{class: 1, at: c.progressAt}, true
	case now.Sub(c.progressAt) >= freshTime:
		return rank{class: 0, at: c.progressAt}, true
	default:
		return rank{class: 2, at: c.since}, true
	}
}

// sweep counts a sweep. It reports whether it has given up a body or an answer.
func (c *Conn) sweep() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	moved := c.moved.Load()
	if moved == c.swept {
		c.still++
	} else {
		c.still = 0
	}
	c.swept = moved
	body := c.phase == phaseBody && c.still == bodySweeps
	if body {
		c.abortLocked()
	}
	answer := c.writing.Load() && c.still == answerSweeps
	if answer {
		c.abortAnswer()
	}
	return body || answer
}

// stillSweeps returns the numbers of sweeps in a row at which a body had made no progress,
// or an answer; zero if none is under way.
func (c *Conn) stillSweeps() (body, answer int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.phase == phaseBody {
		body = c.still
	}
	if c.writing.Load() {
		answer = c.still
	}
	return body, answer
}

// abortBody ends the read of a body if one is still received, and reports whether it did.
func (c *Conn) abortBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.phase != phaseBody {
		return false
	}
	c.abortLocked()
	return true
}

// abortAnswer ends the write of an answer.
func (c *Conn) abortAnswer() {
	// If it can't be set, the connection has failed already.
	_ = c.SetWriteDeadline(past)
}

// abortLocked ends the read of a body. c.mu must be held.
func (c *Conn) abortLocked() {
	c.aborted = true
	// If it can't be set, the connection has failed already.
	_ = c.SetReadDeadline(past)
}

// past is a deadline that ends calls at once.
var past = time.Unix(1, 0)
