package caller

import (
	"errors"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// Limits bounds what callers can take up. Zero fields take the defaults.
type Limits struct {
	// Connections bounds the open connections that are served.
	Connections int
	// Requests bounds the requests in flight.
	Requests int
	// BodyTimeout bounds the time that a caller takes to send a body.
	BodyTimeout time.Duration
	// StallTimeout bounds the time that a caller takes no byte of an answer.
	StallTimeout time.Duration
	// Linger is how long a stopping node still takes connections; negative for
	// not at all.
	Linger time.Duration
}

const (
	maxConnections = 16384
	maxRequests    = 8192
	// stallTimeout is the default of Limits.StallTimeout.
	stallTimeout = 30 * time.Second
)

func (l Limits) withDefaults() Limits {
	if l.Connections == 0 {
		l.Connections = maxConnections
	}
	if l.Requests == 0 {
		l.Requests = maxRequests
	}
	if l.BodyTimeout == 0 {
		l.BodyTimeout = bodyTimeout
	}
	if l.StallTimeout == 0 {
		l.StallTimeout = stallTimeout
	}
	if l.Linger == 0 {
		l.Linger = lingerTime
	}
	return l
}

// limits counts what callers take up.
type limits struct {
	config   Limits
	requests atomic.Int64
	bodies   *semaphore.Weighted
}

func newLimits(c Limits) *limits {
	return &limits{config: c.withDefaults(), bodies: semaphore.NewWeighted(maxBodiesBytes)}
}

// enter takes the place of a request with a body of that many bytes; negative
// when not known. It returns how to give the place back.
func (l *limits) enter(bytes int64) (func(), *problem) {
	if bytes > maxBodyBytes {
		return nil, notRun(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is too large")
	}
	if bytes < 0 {
		bytes = maxBodyBytes
	}
	if l.requests.Add(1) > int64(l.config.Requests) {
		l.requests.Add(-1)
		return nil, overloaded("too many requests are in flight")
	}
	if !l.bodies.TryAcquire(bytes) {
		l.requests.Add(-1)
		return nil, overloaded("the bodies of requests in flight take up too much memory")
	}
	return func() {
		l.bodies.Release(bytes)
		l.requests.Add(-1)
	}, nil
}

func overloaded(message string) *problem {
	p := notRun(http.StatusServiceUnavailable, CodeOverloaded, message)
	p.retryAfter = retrySoon
	return p
}

func isTooLarge(err error) bool {
	var e *http.MaxBytesError
	return errors.As(err, &e)
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
