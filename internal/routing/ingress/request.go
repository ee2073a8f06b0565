package ingress

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/backend"
	"almondbay.example/internal/routing/balance"
	"almondbay.example/internal/routing/exchange"
	"almondbay.example/internal/routing/routes"
)

// Try is one offer of a request to a head.
type Try struct {
	Head string
	// InFlight is the number of requests believed to be there.
	InFlight int
	Took     time.Duration
	End      TryEnd
	// Cause is empty when the try gave the answer.
	Cause string
}

// TryEnd is how a try ended.
type TryEnd string

// Ends of tries.
const (
	// TryAnswered means that the answer came from this try.
	TryAnswered TryEnd = "answered"
	// TryNotSent means that no byte of the request was sent.
	TryNotSent TryEnd = "notSent"
	// TryNotRun means that the head refused the request before it ran.
	TryNotRun TryEnd = "notRun"
	// TryFailed means that the request may have run.
	TryFailed TryEnd = "failed"
)

// Result is what became of a request.
type Result struct {
	ID      string
	Route   string
	Service string
	Model   string
	// Version is the configuration that was in force.
	Version uint64
	Outcome Outcome
	Status  int
	// Cause tells why a request was not answered.
	Cause      string
	Tries      []Try
	RetryAfter time.Duration
	// FirstByte is the time to the first byte of the answer; zero without one.
	FirstByte time.Duration
	Duration  time.Duration
	// MaxGap is the longest pause between two events.
	MaxGap time.Duration
	Events int
}

// request is one request of a caller while it is served.
type request struct {
	handler   *Handler
	writer    http.ResponseWriter
	http      *http.Request
	call      exchange.Call
	started   time.Time
	until     time.Time
	route     *routes.Route
	workspace string
	service   string
	body      []byte
	result    Result

	// ran is the number of tries that may have run.
	ran int
	// exclude lists the heads that the request must not go to again.
	exclude []string
	// headSent is set once the answer's head has gone to the caller.
	headSent bool
	// lastEvent is the ID of the last event that has gone to the caller.
	lastEvent string
	// movedAt is when the last event came.
	movedAt time.Time
	// paid is set once another try was paid for.
	paid atomic.Bool
	// abort is set when the connection must be cut.
	abort bool
	// spent holds an answer with an error status that is returned when no other
	// try gives a better one.
	spent *held
}

// run offers the request to heads until it is answered or nothing is left to
// try.
func (q *request) run(ctx context.Context) {
	c := q.handler.config
	c.Budget.RecordRequest(q.service, q.started)
	for len(q.result.Tries) < c.MaxTries {
		pool := c.Board.Pool(balance.Key{Service: q.service, Model: q.call.Model})
		if pool == nil {
			q.giveUp(ctx, "no backend server known", noServerRetryAfter)
			return
		}
		now := c.Clock.Now()
		choice := pool.Choose(balance.Request{
			Objective: q.route.Objective,
			Late:      q.patient(now),
			Failed:    q.ran > 0,
			Exclude:   q.exclude,
		}, now)
		if !choice.OK {
			q.giveUp(ctx, refusal(choice), choice.RetryAfter)
			return
		}
		end := q.try(ctx, pool, choice)
		if end == TryAnswered {
			return
		}
		if !q.mayTryAgain(ctx, end) {
			break
		}
	}
	q.giveUp(ctx, q.lastCause(), noServerRetryAfter)
}

// noServerRetryAfter is when to come back while no server is known: about the
// time in which a backend server registers or a group opens.
const noServerRetryAfter = time.Second

func refusal(c balance.Choice) string {
	switch {
	case c.Known == 0:
		return "no backend server known"
	case c.Usable == 0:
		return "no backend server usable"
	default:
		return "no room"
	}
}

// patient reports whether the request can't meet its objective any more, so
// that it may as well wait.
func (q *request) patient(now time.Time) bool {
	if q.headSent || now.Sub(q.started) > q.route.Objective {
		return true
	}
	// A caller that was refused comes back with less time than the route gives.
	return q.call.Deadline > 0 && q.route.Timeout > 0 && q.call.Deadline < q.route.Timeout*returnShare/100
}

// returnShare is the part of a route's timeout, in hundredths, below which a
// deadline shows that the caller has tried before.
const returnShare = 95

// mayTryAgain reports whether another try is allowed after one that ended so.
func (q *request) mayTryAgain(ctx context.Context, end TryEnd) bool {
	if ctx.Err() != nil {
		return false
	}
	now := q.handler.config.Clock.Now()
	switch end {
	case TryNotSent:
		return true
	case TryNotRun:
		return q.handler.config.Budget.Acquire(q.service, now)
	default:
		return q.route.Repeatable() && q.ran < q.route.MaxAttempts &&
			(q.paid.Swap(false) || q.handler.config.Budget.Acquire(q.service, now))
	}
}

// payAhead takes the budget for another try before this one is broken off.
func (q *request) payAhead() bool {
	if q.paid.Load() {
		return true
	}
	taken := q.handler.config.Budget.Acquire(q.service, q.handler.config.Clock.Now())
	if taken {
		q.paid.Store(true)
	}
	return taken
}

func (q *request) lastCause() string {
	if n := len(q.result.Tries); n > 0 {
		return q.result.Tries[n-1].Cause
	}
	return "nothing tried"
}

// giveUp ends a request that no head has answered.
func (q *request) giveUp(ctx context.Context, cause string, after time.Duration) {
	left := q.http.Context().Err() != nil
	late := errors.Is(context.Cause(ctx), errDeadline)
	switch {
	case q.headSent:
		q.result.Outcome = OutcomeBroken
		q.result.Cause = cause
		if left {
			q.result.Outcome = OutcomeCallerLeft
		}
		q.abort = true
	case left:
		q.result.Outcome = OutcomeCallerLeft
		q.result.Cause = cause
		q.abort = true
	case q.spent != nil:
		q.spent.write(q)
	case q.ran == 0:
		q.refuse(http.StatusServiceUnavailable, cause, after)
	case late:
		q.fail(http.StatusGatewayTimeout, cause)
	default:
		q.fail(http.StatusBadGateway, cause)
	}
}

// try makes one attempt at one head.
func (q *request) try(ctx context.Context, pool *balance.Pool, choice balance.Choice) TryEnd {
	c := q.handler.config
	sentAt := c.Clock.Now()
	defer pool.Done(choice.Head.ID)
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{
		pool: pool, head: choice.Head.ID, inFlight: choice.InFlight, cancel: cancel,
		sentAt: sentAt, movedAt: sentAt, patience: q.patience(), allow: q.payAhead,
	}
	c0 := len(q.result.Tries)
	q.result.Tries = append(q.result.Tries, Try{Head: choice.Head.ID, InFlight: choice.InFlight})
	q.handler.watch.add(a)
	end, cause := q.attempt(ctx, a, choice.Head)
	q.handler.watch.remove(a)
	cancel(nil)
	now := c.Clock.Now()
	t := &q.result.Tries[c0]
	t.Took = now.Sub(sentAt)
	t.Cause = cause
	t.End = end
	if end == TryFailed {
		q.ran++
	}
	if end != TryAnswered {
		q.exclude = append(q.exclude, choice.Head.ID)
	}
	return end
}

// patience returns how long a try is waited for; zero where nothing could take
// its place.
func (q *request) patience() WaitLimits {
	if !q.route.Repeatable() || q.ran+1 >= q.route.MaxAttempts {
		return WaitLimits{}
	}
	c := q.handler.config
	return WaitLimits{
		First:   max(c.StallAfter, q.route.Objective),
		Gap:     max(c.StallAfter, q.route.GapObjective),
		Attempt: c.AttemptStallAfter,
	}
}

// attempt sends the request to a head and handles its answer. It returns the
// cause of anything but a good answer.
func (q *request) attempt(ctx context.Context, a *attempt, head registry.Head) (TryEnd, string) {
	c := q.handler.config
	response, err := c.Backend.Attempt(ctx, backend.Request{
		Address: head.Address,
		Method:  q.http.Method,
		Target:  q.http.RequestURI,
		Host:    q.http.Host,
		Header:  q.forward(head),
		Body:    q.body,
	})
	if err != nil {
		return q.unanswered(ctx, a, err)
	}
	defer func() { _ = response.Body.Close() }()
	answer := c.Dialect.Answer(response.StatusCode, response.Header)
	now := c.Clock.Now()
	switch {
	case answer.NotExecuted:
		q.refusedBy(a, answer, response.StatusCode, now)
		return TryNotRun, "refused by backend server: " + http.StatusText(response.StatusCode)
	case answer.ID != q.call.ID:
		a.pool.RecordError(a.head)
		return TryFailed, "answer belongs to another request"
	case answer.Encoded || !answer.Signed && success(response.StatusCode):
		a.pool.RecordError(a.head)
		return TryFailed, "answer is not the backend server's own"
	case q.route.Kind == routes.KindStreaming && success(response.StatusCode):
		return q.relayStream(ctx, a, response)
	default:
		return q.relayWhole(ctx, a, response, answer)
	}
}

func success(status int) bool {
	return status >= 200 && status < 300
}

// forward returns the headers for a head.
func (q *request) forward(head registry.Head) http.Header {
	f := exchange.Forward{Server: head.ID, Workspace: q.workspace, ResumeAfter: q.lastEvent}
	if !q.until.IsZero() {
		f.Deadline = max(q.until.Sub(q.handler.config.Clock.Now()), time.Millisecond)
	}
	if q.call.Deadline == 0 {
		f.Deadline = 0
	}
	if q.patient(q.handler.config.Clock.Now()) {
		f.Priority, f.HasPriority = latePriority, true
	}
	return q.handler.config.Dialect.Forward(q.http.Header, f)
}

// latePriority is the priority at a head of requests that can't meet their
// objective any more: behind those without one, which have 5.
const latePriority = 8

// refusedBy notes that a head refused the request before it ran.
func (q *request) refusedBy(a *attempt, answer exchange.Answer, status int, now time.Time) {
	switch {
	case status == http.StatusMisdirectedRequest || answer.FaultyMember != "":
		a.pool.RecordFailure(a.head, now)
	default:
		a.pool.RecordFull(a.head, now)
	}
}

// unanswered handles a try without an answer.
func (q *request) unanswered(ctx context.Context, a *attempt, err error) (TryEnd, string) {
	now := q.handler.config.Clock.Now()
	cause := context.Cause(ctx)
	var notSent *backend.NotSentError
	if errors.As(err, &notSent) {
		if cause == nil {
			a.pool.RecordFailure(a.head, now)
		}
		return TryNotSent, err.Error()
	}
	if cause == nil {
		a.pool.RecordFailure(a.head, now)
		return TryFailed, err.Error()
	}
	return TryFailed, cause.Error()
}
