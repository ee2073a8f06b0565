package ingress

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"almondbay.example/internal/routing/backend"
	"almondbay.example/internal/routing/balance"
)

// Causes for which an attempt is canceled.
var (
	errStalled        = errors.New("backend server stands still")
	errAttemptTimeout = errors.New("no response data in time")
	errPartBlamed     = errors.New("a part of the prompt, as other nodes or requests found out, ends the backend servers that run it")
)

// WaitLimits bounds the time that an attempt may receive no data. The zero value
// sets no limit.
type WaitLimits struct {
	// First is the limit until the first event, or the complete response. Like
	// Gap, it applies only if the head has sent no data on its other responses
	// either.
	First time.Duration
	// Gap is the limit between two events.
	Gap time.Duration
	// Attempt is the limit for a single attempt while other responses of the same
	// head make progress.
	Attempt time.Duration
}

// attempt is the state of a request in flight at a head.
type attempt struct {
	pool *balance.Pool
	head string
	// inFlight is the number of other requests in flight at the head when it was
	// selected.
	inFlight int
	sentAt   time.Time
	// objective is the target for the time to the first byte; zero if the request
	// could not meet it any more when it was sent.
	objective time.Duration
	cancel    context.CancelCauseFunc
	// limits is zero for attempts that cannot be retried.
	limits WaitLimits
	// blamed reports whether a part of the request's prompt is to blame for crashes by now;
	// nil for requests that must not be canceled.
	blamed func(now time.Time) bool
	// exclude lists the heads that the request can't be sent to after this attempt.
	exclude []string
	// reserveRetry charges the retry budget; if it reports false, the attempt is
	// not canceled.
	reserveRetry func() bool
	// status is the status of the head's response; zero until it is received.
	status int
	// lost is set if the try ended without a complete response, abrupt if the head
	// ended the connection, abandoned if the node did before the response came.
	lost, abrupt, abandoned bool
	// withdrawn is set if the node canceled the try without any fault of the head.
	withdrawn atomic.Bool

	mu sync.Mutex
	// send describes the connection that the request was sent on.
	send backend.Send
	// progressAt is when the attempt last received data; initially when it was
	// sent.
	progressAt time.Time
	// startedAt is when the first event was received; zero until then.
	startedAt time.Time
	// callerBlocked is set while the stream is blocked by a write to the caller,
	// so that no stall of the head is assumed.
	callerBlocked bool
	// blockedAt is when callerBlocked was last set.
	blockedAt time.Time
}

// recordSend records the connection that the request is about to be sent on.
func (a *attempt) recordSend(s backend.Send) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.send = s
}

// sent returns the connection that the request was sent on.
func (a *attempt) sent() backend.Send {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.send
}

// recordData records that an event or a complete response was received.
func (a *attempt) recordData(now time.Time) {
	a.mu.Lock()
	first := a.startedAt.IsZero()
	a.progressAt = now
	if first {
		a.startedAt = now
	}
	a.mu.Unlock()
	if first {
		a.pool.RecordFirstByte(balance.FirstByte{
			Head: a.head, InFlight: a.inFlight, Took: now.Sub(a.sentAt), Objective: a.objective,
		})
	}
	a.pool.RecordProgress(a.head, now)
}

// lastProgress returns when the attempt last received data, or was sent.
func (a *attempt) lastProgress() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.progressAt
}

// writingSince returns the time since the first event; zero if there was none.
func (a *attempt) writingSince(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.startedAt.IsZero() {
		return 0
	}
	return now.Sub(a.startedAt)
}

// waits reports whether nothing was received yet.
func (a *attempt) waits() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.startedAt.IsZero()
}

// setCallerBlocked records whether the stream is blocked by a write to the
// caller. That time does not count as time without data.
func (a *attempt) setCallerBlocked(callerBlocked bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.callerBlocked = callerBlocked
	if callerBlocked {
		a.blockedAt = now
		return
	}
	a.progressAt = a.progressAt.Add(now.Sub(a.blockedAt))
}

// cancelCause returns the cause to cancel the attempt for, or nil if it is
// within its limits.
func (a *attempt) cancelCause(now time.Time) error {
	a.mu.Lock()
	progressAt, started, callerBlocked := a.progressAt, !a.startedAt.IsZero(), a.callerBlocked
	a.mu.Unlock()
	idle := now.Sub(progressAt)
	limit := a.limits.First
	if started {
		limit = a.limits.Gap
	}
	switch {
	case callerBlocked || limit <= 0 || idle < limit:
		return nil
	case a.pool.SinceProgress(a.head, progressAt, now) >= limit:
		return errStalled
	case idle >= a.limits.Attempt:
		return errAttemptTimeout
	default:
		return nil
	}
}

// watchdog checks the limits of all attempts of a node, so that no attempt needs
// a timer of its own.
type watchdog struct {
	mu       sync.Mutex
	attempts map[*attempt]struct{}
}

func newWatchdog() *watchdog {
	return &watchdog{attempts: map[*attempt]struct{}{}}
}

func (w *watchdog) add(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.attempts[a] = struct{}{}
}

func (w *watchdog) remove(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()

	delete(w.attempts, a)
}

// check cancels the attempts that have exceeded their limits and can be retried.
func (w *watchdog) check(now time.Time) {
	w.mu.Lock()
	all := make([]*attempt, 0, len(w.attempts))
	for a := range w.attempts {
		all = append(all, a)
	}
	w.mu.Unlock()
	for _, a := range all {
		if a.blamed != nil && a.waits() && a.blamed(now) {
			a.withdrawn.Store(true)
			a.cancel(errPartBlamed)
			continue
		}
		cause := a.cancelCause(now)
		if cause == nil {
			continue
		}
		if errors.Is(cause, errStalled) {
			a.pool.RecordStall(a.head, now)
		}
		// A sound head may be silent for a time. With nowhere else to go, waiting for it
		// is the only chance.
		if a.pool.HasUsable(a.exclude, now) && a.reserveRetry() {
			a.cancel(cause)
		}
	}
}
