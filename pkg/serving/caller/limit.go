package caller

import (
	"errors"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// Limits bounds the resources that callers can use. Zero fields are replaced by
// defaults.
type Limits struct {
	// Connections bounds the open connections that are served.
	Connections int
	// Requests bounds the requests in flight.
	Requests int
	// BodyTimeout bounds the time to receive a request body.
	BodyTimeout time.Duration
	// StallTimeout bounds the time that a caller may accept no byte of an
	// answer.
	StallTimeout time.Duration
	// Linger is how long a stopping node keeps accepting connections; a
	// negative value disables it.
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

// limits tracks the resources that callers use.
type limits struct {
	config   Limits
	requests atomic.Int64
	bodies   *semaphore.Weighted
	answers  *semaphore.Weighted
}

func newLimits(c Limits) *limits {
	return &limits{
		config:  c.withDefaults(),
		bodies:  semaphore.NewWeighted(maxBodiesBytes),
		answers: semaphore.NewWeighted(maxAnswersBytes),
	}
}

// acquire admits a request with a body of the given size, which is negative
// when unknown. It returns a function that releases the resources.
func (l *limits) acquire(bytes int64) (func(), *problem) {
	if bytes > maxBodyBytes {
		return nil, notRunProblem(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the request body is too large")
	}
	if bytes < 0 {
		bytes = maxBodyBytes
	}
	if l.requests.Add(1) > int64(l.config.Requests) {
		l.requests.Add(-1)
		return nil, overloadedProblem("too many requests are in flight")
	}
	if !l.bodies.TryAcquire(bytes) {
		l.requests.Add(-1)
		return nil, overloadedProblem("the bodies of the requests in flight exceed the memory limit")
	}
	return func() {
		l.bodies.Release(bytes)
		l.requests.Add(-1)
	}, nil
}

func overloadedProblem(message string) *problem {
	p := notRunProblem(http.StatusServiceUnavailable, CodeOverloaded, message)
	p.retryAfter = shortRetryAfter
	return p
}

func isTooLarge(err error) bool {
	var e *http.MaxBytesError
	return errors.As(err, &e)
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
