package ingress

import (
	"context"
	"errors"
	"sync"
	"time"

	"almondbay.example/internal/routing/balance"
)

// Causes for which an attempt is broken off.
var (
	errStalled  = errors.New("backend server stands still")
	errNoAnswer = errors.New("no answer in time")
)

// WaitLimits tells how long an attempt is waited for.
type WaitLimits struct {
	// First is how long the first event, or the answer, may take while the head
	// moves no other stream either.
	First time.Duration
	// Gap is the same between two events.
	Gap time.Duration
	// Attempt is how long one attempt may stand still while others on the same
	// head move.
	Attempt time.Duration
}

// attempt is one request at one head while it runs.
type attempt struct {
	pool *balance.Pool
	head string
	// inFlight is the number of requests that were believed to be at the head.
	inFlight int
	sentAt   time.Time
	cancel   context.CancelCauseFunc
	// patience is zero for attempts that nothing could replace.
	patience WaitLimits
	// allow pays for another attempt; without it this one is waited for.
	allow func() bool

	mu sync.Mutex
	// movedAt is when the attempt last moved; its sending at first.
	movedAt time.Time
	// begun is set with the first event.
	begun bool
	// deaf is set while the caller, not the head, holds the stream up.
	deaf bool
}

// moved notes an event.
func (a *attempt) moved(now time.Time) {
	a.mu.Lock()
	first := !a.begun
	a.movedAt = now
	a.begun = true
	a.mu.Unlock()
	if first {
		a.pool.RecordFirstByte(a.head, a.inFlight, now.Sub(a.sentAt))
	}
	a.pool.RecordProgress(a.head, now)
}

// setDeaf notes whether the stream waits for its caller.
func (a *attempt) setDeaf(deaf bool, now time.Time) {
	a.mu.Lock()
	a.deaf = deaf
	a.movedAt = now
	a.mu.Unlock()
}

// verdict returns the cause to break the attempt off for, or nil.
func (a *attempt) verdict(now time.Time) error {
	a.mu.Lock()
	movedAt, begun, deaf := a.movedAt, a.begun, a.deaf
	a.mu.Unlock()
	quiet := now.Sub(movedAt)
	limit := a.patience.First
	if begun {
		limit = a.patience.Gap
	}
	switch {
	case deaf || limit <= 0 || quiet < limit:
		return nil
	case a.pool.SinceProgress(a.head, movedAt, now) >= limit:
		return errStalled
	case quiet >= a.patience.Attempt:
		return errNoAnswer
	default:
		return nil
	}
}

// watch looks after all attempts of a node, so that no stream needs a timer of
// its own.
type watch struct {
	mu       sync.Mutex
	attempts map[*attempt]struct{}
}

func newWatch() *watch {
	return &watch{attempts: map[*attempt]struct{}{}}
}

func (w *watch) add(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.attempts[a] = struct{}{}
}

func (w *watch) remove(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()

	delete(w.attempts, a)
}

// check breaks off the attempts that have waited too long.
func (w *watch) check(now time.Time) {
	w.mu.Lock()
	all := make([]*attempt, 0, len(w.attempts))
	for a := range w.attempts {
		all = append(all, a)
	}
	w.mu.Unlock()
	for _, a := range all {
		cause := a.verdict(now)
		if cause == nil {
			continue
		}
		if errors.Is(cause, errStalled) {
			a.pool.RecordStall(a.head, now)
		}
		if a.allow() {
			a.cancel(cause)
		}
	}
}
