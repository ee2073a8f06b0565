package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"almondbay.example/core/attempt"
	"almondbay.example/serving/bounded"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// suspectRetryInterval is the delay before a suspect request tries again to
	// acquire a group that no other suspect uses.
	suspectRetryInterval = 20 * time.Millisecond
	// maxSuspectWait bounds the time that a suspect request waits for such a
	// group.
	maxSuspectWait = 30 * time.Second
)

// constraints restrict the destination of the next attempt.
type constraints struct {
	avoid   []string
	sites   []string
	version string
}

// destination is where an attempt is sent.
type destination struct {
	target   attempt.Target
	crash    attempt.Crash
	address  string
	expected Choice
	slot     Slot
}

// attemptParams are the parameters of one attempt.
type attemptParams struct {
	id      attempt.ID
	offset  int
	timeout time.Duration
	written func()
}

// answer is the status and headers of an answer together with its unread body.
type answer struct {
	status int
	header http.Header
	// stream is set for server-sent events.
	stream bool
	// headOnly is set for the answer to a HEAD request: its length is that of a
	// body that is not sent.
	headOnly bool
	body     io.ReadCloser
}

// failureError reports an attempt that did not complete its request.
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

func newFailure(k attempt.FailureKind, cause error) *failureError {
	return &failureError{kind: k, cause: cause}
}

// backend selects and calls the backend servers for one request.
type backend interface {
	// pick chooses the destination of the next attempt.
	pick(ctx context.Context, c constraints) (destination, error)
	// send starts an attempt and verifies the headers of its answer.
	send(ctx context.Context, dest destination, s attemptParams) (answer, *failureError)
	// final reports whether an error status is the result of the request and
	// not a failure of the backend server.
	final(a answer) bool
	// crashed reports whether a member of the destination has crashed.
	crashed(ctx context.Context, dest destination) bool
}

// sink receives the answer. An error means that the caller has disconnected; for
// errAnswerTooBig and errAnswersMemory, that the answer cannot be recorded.
type sink interface {
	// head sends the status and headers.
	head(a answer) error
	// write appends a part of the body.
	write(b []byte) error
}

// exchange runs one request in one or more attempts.
type exchange struct {
	gateway     *Gateway
	backend     backend
	call        *call
	sink        sink
	request     *attempt.Request
	constraints constraints
	offset      int
	// lastFailure is the failure of the previous attempt; nil before the first.
	lastFailure *failureError
	// started is set once the status and headers were passed to the sink.
	started bool
}

func (g *Gateway) newExchange(b backend, c *call, s sink, resumable bool) *exchange {
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

// run makes attempts until one completes the request or no further one is
// allowed. It returns nil or the problem to report to the caller.
func (x *exchange) run(ctx context.Context) *problem {
	for {
		dest, release, refusal := x.acquire(ctx)
		if refusal != nil {
			return refusal
		}
		id := x.request.Begin(dest.target)
		failure := x.attempt(ctx, dest, id)
		dest.slot.Release()
		release()
		if failure == nil {
			x.completed()
			return nil
		}
		x.lastFailure = failure
		if errors.Is(failure.cause, errAnswersMemory) {
			return answersMemoryProblem(x.request.Outcome())
		}
		if failure.kind == attempt.FailureCrashed {
			g := x.gateway
			g.suspects.recordCrash(ctx, x.call.fingerprint, dest.crash, g.clock.Now())
		}
		d := x.request.Fail(id, failure.kind, x.gateway.budgets, x.gateway.clock.Now())
		if !d.Retry {
			return x.finalProblem(failure, d)
		}
		x.constraints.avoid, x.constraints.version, x.offset = d.Avoid, d.Version, d.Offset
	}
}

func (x *exchange) completed() {
	g := x.gateway
	g.budgets.Deposit(x.call.workspace.Name, g.clock.Now())
	g.suspects.quarantine.Clear(x.call.fingerprint)
}

// finalProblem returns the problem to report when the last attempt has failed.
func (x *exchange) finalProblem(f *failureError, d attempt.Decision) *problem {
	g := x.gateway
	if g.suspects.status(x.call.fingerprint, g.clock.Now()) == attempt.StatusQuarantined {
		return quarantinedProblem(x.request.Outcome())
	}
	p := failureProblem(f.kind, x.request.Outcome(), d.Denied)
	if f.rejection != nil {
		p.status = f.rejection.status
	}
	var tooLarge *bounded.TooLargeError
	if p.code == CodeBrokenAnswer && errors.As(f.cause, &tooLarge) {
		p.message += ": " + tooLarge.Error()
	}
	return p
}

// acquire selects the destination of the next attempt and returns it with a
// function that releases it. A suspect request waits for a group that no other
// suspect uses.
func (x *exchange) acquire(ctx context.Context) (destination, func(), *problem) {
	g := x.gateway
	waitUntil := g.clock.Now().Add(maxSuspectWait)
	var busy []string
	for {
		now := g.clock.Now()
		status := g.suspects.status(x.call.fingerprint, now)
		if status == attempt.StatusQuarantined {
			return destination{}, nil, quarantinedProblem(x.request.Outcome())
		}
		dest, err := x.pick(ctx, status, busy)
		if err == nil {
			if release := g.suspects.admit(ctx, dest.target.Group, x.call.fingerprint, now); release != nil {
				return dest, release, nil
			}
			dest.slot.Release()
			busy = append(busy, dest.target.Group)
			continue
		}
		if ctx.Err() != nil {
			return destination{}, nil, failureProblem(contextFailure(ctx), x.request.Outcome(), false)
		}
		if len(busy) == 0 || now.After(waitUntil) {
			return destination{}, nil, x.noDestination(err)
		}
		busy = nil
		g.sleep(ctx, suspectRetryInterval)
	}
}

// noDestination returns the problem to report when no destination is available:
// the failure of the previous attempt, if there was one.
func (x *exchange) noDestination(err error) *problem {
	if x.lastFailure != nil {
		return x.finalProblem(x.lastFailure, attempt.Decision{})
	}
	return unavailableProblem(err, x.request.Outcome())
}

// pick chooses a destination. For a suspect request it avoids groups and crash
// sites where the request may have caused a crash.
func (x *exchange) pick(ctx context.Context, s attempt.QuarantineStatus, busy []string) (destination, error) {
	c := x.constraints
	c.avoid = append(busy[:len(busy):len(busy)], c.avoid...)
	if s != attempt.StatusSuspect {
		return x.backend.pick(ctx, c)
	}
	g := x.gateway
	groups, sites := g.suspects.quarantine.Groups(x.call.fingerprint, g.clock.Now())
	c.sites = sites
	c.avoid = append(c.avoid, groups...)
	dest, err := x.backend.pick(ctx, c)
	if err == nil || len(busy) > 0 {
		return dest, err
	}
	// No other group is available: run on one that has crashed before, as its
	// only suspect.
	c.avoid = x.constraints.avoid
	return x.backend.pick(ctx, c)
}

// attempt makes one attempt and relays its answer. It returns nil once the
// request is complete.
func (x *exchange) attempt(ctx context.Context, dest destination, id attempt.ID) *failureError {
	g := x.gateway
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer g.inFlight.add(dest.target, cancel)()

	a, failure := x.backend.send(ctx, dest, attemptParams{
		id:      id,
		offset:  x.offset,
		timeout: x.call.deadline.Sub(g.clock.Now()),
		written: func() { x.request.Written(id) },
	})
	if failure == nil {
		if a.status < http.StatusMultipleChoices {
			x.request.Answered(id)
		}
		failure = x.relay(a, dest, id, func() { cancel(nil) })
		_ = a.body.Close()
	}
	if failure == nil {
		return nil
	}
	var head *bounded.TooLargeError
	if errors.As(failure.cause, &head) && head.Part == bounded.PartHead {
		failure.cause = tooLarge(bounded.PartHead, dest, head.Limit)
	}
	return x.classify(ctx, dest, failure)
}

// classify determines the kind of a failure from the cause of cancellation and,
// for a broken answer, from the state of the members.
func (x *exchange) classify(ctx context.Context, dest destination, f *failureError) *failureError {
	switch {
	case errors.Is(context.Cause(ctx), errGroupLost):
		f.kind = attempt.FailureCrashed
	case errors.Is(context.Cause(ctx), errGroupChanged):
		f.kind = attempt.FailureBroken
	case ctx.Err() != nil:
		f.kind = contextFailure(ctx)
	case f.kind == attempt.FailureBroken && x.backend.crashed(ctx, dest):
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

// sleep waits for d or until ctx is done.
func (g *Gateway) sleep(ctx context.Context, d time.Duration) {
	timer := g.clock.NewTimer(d)
	defer timer.Stop()

	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}
