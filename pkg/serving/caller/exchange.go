package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"almondbay.example/core/attempt"
)

const (
	// maxAttempts bounds the attempts at one request.
	maxAttempts = 4
	// trialInterval is the time between two tries of a suspect to find a group
	// of its own.
	trialInterval = 20 * time.Millisecond
	// maxTrialWait bounds the time that a suspect waits for that.
	maxTrialWait = 30 * time.Second
)

// wish describes where the next attempt may go.
type wish struct {
	avoid   []string
	sites   []string
	version string
}

// place is where an attempt goes.
type place struct {
	target   attempt.Target
	crash    attempt.Crash
	address  string
	expected Choice
	slot     Slot
}

// sending is one attempt.
type sending struct {
	id      attempt.ID
	offset  int
	timeout time.Duration
	written func()
}

// answer is the head of an answer and its body.
type answer struct {
	status int
	header http.Header
	// stream is set for server-sent events.
	stream bool
	body   io.ReadCloser
}

// failureError is the end of an attempt that did not complete its request.
type failureError struct {
	kind attempt.FailureKind
	// rejection is the answer that rejected the request; nil for other kinds.
	rejection *answer
	cause     error
}

func (e *failureError) Error() string {
	if e.cause == nil {
		return e.kind.String()
	}
	return e.kind.String() + ": " + e.cause.Error()
}

func fail(k attempt.FailureKind, cause error) *failureError {
	return &failureError{kind: k, cause: cause}
}

// backend is the backend servers that can run a request.
type backend interface {
	// pick chooses where the next attempt goes.
	pick(ctx context.Context, w wish) (place, error)
	// send starts an attempt and checks the head of its answer.
	send(ctx context.Context, p place, s sending) (answer, *failureError)
	// final reports whether an error status is the answer itself, and not a
	// failure of the backend server.
	final(a answer) bool
	// crashed reports whether a member at the place has gone.
	crashed(ctx context.Context, p place) bool
}

// sink is where an answer goes. Its errors mean that the caller has gone.
type sink interface {
	// head starts the answer.
	head(a answer) error
	// write passes on a piece of the body.
	write(b []byte) error
}

// exchange runs one request over its attempts.
type exchange struct {
	gateway *Gateway
	backend backend
	call    *call
	sink    sink
	request *attempt.Request
	wish    wish
	offset  int
	// last is the end of the last attempt; nil before that.
	last *failureError
	// started is set once the head of the answer has gone to the sink.
	started bool
}

func (g *Gateway) exchange(b backend, c *call, s sink, resumable bool) *exchange {
	return &exchange{
		gateway: g,
		backend: b,
		call:    c,
		sink:    s,
		request: attempt.NewRequest(attempt.Spec{
			Workspace:   c.workspace.Name,
			Idempotent:  c.idempotent,
			Resumable:   resumable,
			Deadline:    c.deadline,
			MaxAttempts: maxAttempts,
		}),
	}
}

// run makes attempts until one completes the request. It returns nil then,
// and what to tell the caller otherwise.
func (x *exchange) run(ctx context.Context) *problem {
	for {
		p, leave, refusal := x.enter(ctx)
		if refusal != nil {
			return refusal
		}
		id := x.request.Begin(p.target)
		failure := x.attempt(ctx, p, id)
		p.slot.Release()
		leave()
		if failure == nil {
			x.completed()
			return nil
		}
		x.last = failure
		if failure.kind == attempt.FailureCrashed {
			g := x.gateway
			g.suspects.strike(ctx, x.call.print, p.crash, g.clock.Now())
		}
		d := x.request.Fail(id, failure.kind, x.gateway.budgets, x.gateway.clock.Now())
		if !d.Retry {
			return x.ended(failure, d)
		}
		x.wish.avoid, x.wish.version, x.offset = d.Avoid, d.Version, d.Offset
	}
}

func (x *exchange) completed() {
	g := x.gateway
	g.budgets.Deposit(x.call.workspace.Name, g.clock.Now())
	g.suspects.quarantine.Clear(x.call.print)
}

// ended returns what to tell the caller after the last attempt.
func (x *exchange) ended(f *failureError, d attempt.Decision) *problem {
	g := x.gateway
	if g.suspects.standing(x.call.print, g.clock.Now()) == attempt.StatusQuarantined {
		return quarantined(x.request.Outcome())
	}
	p := failed(f.kind, x.request.Outcome(), d.Denied)
	if f.rejection != nil {
		p.status = f.rejection.status
	}
	return p
}

// enter finds the place of the next attempt. A suspect waits until it can have
// a group without other suspects.
func (x *exchange) enter(ctx context.Context) (place, func(), *problem) {
	g := x.gateway
	giveUp := g.clock.Now().Add(maxTrialWait)
	var busy []string
	for {
		now := g.clock.Now()
		standing := g.suspects.standing(x.call.print, now)
		if standing == attempt.StatusQuarantined {
			return place{}, nil, quarantined(x.request.Outcome())
		}
		p, err := x.pick(ctx, standing, busy)
		if err == nil {
			if leave := g.suspects.enter(ctx, p.target.Group, x.call.print, now); leave != nil {
				return p, leave, nil
			}
			p.slot.Release()
			busy = append(busy, p.target.Group)
			continue
		}
		if ctx.Err() != nil {
			return place{}, nil, failed(contextFailure(ctx), x.request.Outcome(), false)
		}
		if len(busy) == 0 || now.After(giveUp) {
			return place{}, nil, x.unavailable(err)
		}
		busy = nil
		g.pause(ctx, trialInterval)
	}
}

// unavailable returns what to tell the caller when there is no place for
// another attempt: why the last one failed, if there was one.
func (x *exchange) unavailable(err error) *problem {
	if x.last != nil {
		return x.ended(x.last, attempt.Decision{})
	}
	return unavailable(err, x.request.Outcome())
}

// pick chooses a place, for a suspect away from where it may have caused a
// crash.
func (x *exchange) pick(ctx context.Context, s attempt.QuarantineStatus, busy []string) (place, error) {
	w := x.wish
	w.avoid = append(busy[:len(busy):len(busy)], w.avoid...)
	if s != attempt.StatusSuspect {
		return x.backend.pick(ctx, w)
	}
	g := x.gateway
	groups, sites := g.suspects.quarantine.Groups(x.call.print, g.clock.Now())
	w.sites = sites
	w.avoid = append(w.avoid, groups...)
	p, err := x.backend.pick(ctx, w)
	if err == nil || len(busy) > 0 {
		return p, err
	}
	// No other group is there: run alone on one that has crashed before.
	w.avoid = x.wish.avoid
	return x.backend.pick(ctx, w)
}

// attempt makes one attempt and relays its answer. It returns nil once the
// request is complete.
func (x *exchange) attempt(ctx context.Context, p place, id attempt.ID) *failureError {
	g := x.gateway
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer g.inFlight.add(p.target, cancel)()

	a, failure := x.backend.send(ctx, p, sending{
		id:      id,
		offset:  x.offset,
		timeout: x.call.deadline.Sub(g.clock.Now()),
		written: func() { x.request.Written(id) },
	})
	if failure == nil {
		if a.status < http.StatusMultipleChoices {
			x.request.Answered(id)
		}
		failure = x.relay(a, p, id)
		_ = a.body.Close()
	}
	if failure == nil {
		return nil
	}
	return x.classify(ctx, p, failure)
}

// classify finds the cause behind the way in which an attempt has failed.
func (x *exchange) classify(ctx context.Context, p place, f *failureError) *failureError {
	switch {
	case errors.Is(context.Cause(ctx), errGroupLost):
		f.kind = attempt.FailureCrashed
	case errors.Is(context.Cause(ctx), errGroupChanged):
		f.kind = attempt.FailureBroken
	case ctx.Err() != nil:
		f.kind = contextFailure(ctx)
	case f.kind == attempt.FailureBroken && x.backend.crashed(ctx, p):
		f.kind = attempt.FailureCrashed
	}
	return f
}

func contextFailure(ctx context.Context) attempt.FailureKind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return attempt.FailureDeadline
	}
	return attempt.FailureCanceled
}

// pause waits for a time or until ctx is done.
func (g *Gateway) pause(ctx context.Context, d time.Duration) {
	timer := g.clock.NewTimer(d)
	defer timer.Stop()

	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}
