package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/backend"
	"almondbay.example/internal/routing/balance"
	"almondbay.example/internal/routing/exchange"
	"almondbay.example/internal/routing/quarantine"
	"almondbay.example/internal/routing/routes"
)

// Try records one attempt to send a request to a head.
type Try struct {
	Head string
	// InFlight is the estimated number of other requests in flight at the head.
	InFlight int
	Took     time.Duration
	End      TryEnd
	// Status is the status of the head's response; zero if there was none.
	Status int
	// Events is the number of events of the head's response that were sent to the
	// caller.
	Events int
	// Cause is the reason why the try failed; empty for TryAnswered.
	Cause string
	// Send describes the connection that the request was sent on.
	Send backend.Send
}

// TryEnd is the outcome of a try.
type TryEnd string

// Outcomes of tries.
const (
	// TryAnswered means that the response of this try went to the caller.
	TryAnswered TryEnd = "answered"
	// TryNotSent means that no byte of the request was sent.
	TryNotSent TryEnd = "notSent"
	// TryNotRun means that the head rejected the request and did not run it.
	TryNotRun TryEnd = "notRun"
	// TryFailed means that the request may have run.
	TryFailed TryEnd = "failed"
)

// Result describes a request that has ended, for logs and metrics.
type Result struct {
	ID      string
	Route   string
	Service string
	Model   string
	// Marks is what the request has in common with others, beginning with its content.
	// It is set only if a try was lost or there is evidence against the request.
	Marks []quarantine.Mark
	// Trial is set if the request was sent to a server although a part of its prompt is
	// blamed for the ends of others, since its answer would acquit the part.
	Trial bool
	// Version is the version of the configuration that the request was handled
	// under.
	Version uint64
	Outcome Outcome
	Status  int
	// Cause is the reason why the request got no response of a backend server.
	Cause      string
	Tries      []Try
	RetryAfter time.Duration
	// Load is that of the usable heads at the last choice of a head, as a fraction of
	// their slots; zero if there was none.
	Load float64
	// FirstByte is the time to the first byte of the response; zero if there was
	// none.
	FirstByte time.Duration
	Duration  time.Duration
	// MaxGap is the longest time between two events of a stream.
	MaxGap time.Duration
	Events int
	// Memory is the number of bytes in use in the account of memory when the request was
	// refused for want of it.
	Memory int64
	// CutOff is set if the caller's connection was closed in place of the end of
	// the response.
	CutOff bool
}

// request is the state of a request of a caller while it is handled.
type request struct {
	handler   *Handler
	response  callerResponse
	http      *http.Request
	call      exchange.Call
	started   time.Time
	until     time.Time
	route     *routes.Route
	workspace string
	service   string
	body      [][]byte
	result    Result
	// holding is the memory that is held until the request ends.
	holding holding
	// bodyLimit is the maximum size in bytes of the body, and bodyRead is set once it was
	// read to its end.
	bodyLimit int64
	bodyRead  bool

	// possibleRuns is the number of tries that may have run at a backend server.
	possibleRuns int
	// content identifies the request and its repeats.
	content *quarantine.Content
	// lostHeads lists the heads that ended the connection of a try.
	lostHeads []registry.Head
	// exclude lists the heads that were tried and are not to be tried again.
	exclude []string
	// lastEvent is the highest ID of the events that were written to the caller.
	lastEvent string
	// unresumable is set once an event without an ID was written to the caller:
	// no server can tell what follows it.
	unresumable atomic.Bool
	// lastEventAt is when the last event was received.
	lastEventAt time.Time
	// retryReserved is set while a retry is charged to the budget but not used.
	retryReserved atomic.Bool
	// errorResponse is a response with an error status that is returned if the
	// retries get no other response.
	errorResponse *bufferedResponse
}

// run sends the request to one head after another until one responds or no
// further try is possible.
func (q *request) run(ctx context.Context) {
	c := q.handler.config
	c.Budget.RecordRequest(q.service, q.started)
	for len(q.result.Tries) < c.MaxTries {
		pool := c.Board.Pool(balance.Key{Service: q.service, Model: q.call.Model})
		if pool == nil {
			q.endWithoutResponse(ctx, "no backend server registered", noServerRetryAfter)
			return
		}
		now := c.Clock.Now()
		if cause := q.quarantined(now); cause != "" {
			q.endWithoutResponse(ctx, cause, 0)
			return
		}
		choice := pool.Choose(balance.Request{
			Rank:      q.route.Rank,
			Objective: q.route.Objective,
			Late:      q.late(now),
			Failed:    q.possibleRuns > 0,
			Exclude:   q.exclude,
		}, now)
		q.result.Load = choice.Load
		if !choice.OK {
			q.handler.room.AbortAnswer()
			q.endWithoutResponse(ctx, refusal(choice), choice.RetryAfter)
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
	q.endWithoutResponse(ctx, q.lastCause(), noServerRetryAfter)
}

// noServerRetryAfter is the retry delay while no backend server is registered:
// about the time until one registers or a replica group opens.
const noServerRetryAfter = time.Second

// refusal returns the cause of a rejection by the pool.
func refusal(c balance.Choice) string {
	switch {
	case c.Known == 0:
		return "no backend server registered"
	case c.Usable == 0 && c.Paused > 0:
		return fmt.Sprintf("no backend server usable, %d of %d asked for a pause", c.Paused, c.Known)
	case c.Usable == 0:
		return "all backend servers excluded, suspended, full or stalled"
	default:
		return "no room"
	}
}

// late reports whether the request can no longer meet its objective. Requests
// that still can take precedence over it.
func (q *request) late(now time.Time) bool {
	if q.response.begun() || now.Sub(q.started) > q.route.Objective {
		return true
	}
	// A caller that retries after a rejection sends a deadline shorter than the
	// route's timeout.
	return q.call.Deadline > 0 && q.route.Timeout > 0 && q.call.Deadline < q.route.Timeout*callerRetryPercent/100
}

// callerRetryPercent is the percentage of a route's timeout: a caller whose
// deadline is below it is taken to be retrying.
const callerRetryPercent = 95

// mayTryAgain reports whether another try is allowed after one with the given
// end. It charges the retry budget, unless nothing was sent or a retry is
// reserved.
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
		return q.route.Repeatable() && !q.unresumable.Load() && q.possibleRuns < q.route.MaxAttempts &&
			q.handler.config.Guard.MayTryAgain(q.content, q.lostHeads, now) &&
			(q.retryReserved.Swap(false) || q.handler.config.Budget.Acquire(q.service, now))
	}
}

// reserveRetry charges the budget for a retry before the running try is
// canceled, and reports whether the budget and the events sent so far allow one.
func (q *request) reserveRetry() bool {
	switch {
	case q.unresumable.Load():
		return false
	case q.retryReserved.Load():
		return true
	}
	acquired := q.handler.config.Budget.Acquire(q.service, q.handler.config.Clock.Now())
	if acquired {
		q.retryReserved.Store(true)
	}
	return acquired
}

// lastCause returns the cause of the last try.
func (q *request) lastCause() string {
	if n := len(q.result.Tries); n > 0 {
		return q.result.Tries[n-1].Cause
	}
	return "no try made"
}

// endWithoutResponse ends a request that got no complete response. The status
// depends on whether the request may have run.
func (q *request) endWithoutResponse(ctx context.Context, cause string, after time.Duration) {
	callerLeft := q.http.Context().Err() != nil
	timedOut := errors.Is(context.Cause(ctx), errDeadlineExceeded)
	switch {
	case q.response.begun():
		q.result.Outcome = OutcomeBroken
		q.result.Cause = cause
		if callerLeft {
			q.result.Outcome = OutcomeCallerLeft
		}
	case callerLeft:
		q.result.Outcome = OutcomeCallerLeft
		q.result.Cause = cause
	case q.errorResponse != nil:
		q.errorResponse.write(q)
	case q.possibleRuns == 0:
		q.refuse(http.StatusServiceUnavailable, cause, after)
	case timedOut:
		q.fail(http.StatusGatewayTimeout, cause)
	default:
		q.fail(http.StatusBadGateway, cause)
	}
}

// try sends the request to one head and records the result.
func (q *request) try(ctx context.Context, pool *balance.Pool, choice balance.Choice) TryEnd {
	c := q.handler.config
	sentAt := c.Clock.Now()
	defer pool.Done(choice.Head.ID)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{
		pool: pool, head: choice.Head.ID, inFlight: choice.InFlight, cancel: cancel,
		sentAt: sentAt, progressAt: sentAt, limits: q.waitLimits(), reserveRetry: q.reserveRetry,
		exclude: append(slices.Clone(q.exclude), choice.Head.ID),
	}
	if q.route.Repeatable() && len(q.content.Parts) > 0 && !q.result.Trial {
		a.blamed = func(now time.Time) bool {
			_, ok := c.Guard.CulpritPart(q.content, now)
			return ok
		}
	}
	if !q.late(sentAt) {
		a.objective = q.route.Objective
	}
	index := len(q.result.Tries)
	eventsBefore := q.result.Events
	q.result.Tries = append(q.result.Tries, Try{Head: choice.Head.ID, InFlight: choice.InFlight})
	end, cause := q.watchedAttempt(ctx, a, choice.Head)
	now := c.Clock.Now()
	t := &q.result.Tries[index]
	t.Took = now.Sub(sentAt)
	t.Cause = cause
	t.End = end
	t.Status = a.status
	t.Send = a.sent()
	t.Events = q.result.Events - eventsBefore
	if end == TryFailed {
		q.possibleRuns++
	}
	if a.lost {
		q.recordLoss(a, choice.Head, now)
	}
	if end != TryAnswered {
		q.exclude = append(q.exclude, choice.Head.ID)
	}
	return end
}

// watchedAttempt runs an attempt that the watchdog may cancel.
func (q *request) watchedAttempt(ctx context.Context, a *attempt, head registry.Head) (TryEnd, string) {
	q.handler.watchdog.add(a)
	defer q.handler.watchdog.remove(a)
	return q.attempt(ctx, a, head)
}

// waitLimits returns how long the next try may receive no data before it is
// canceled; zero, for no limit, if no retry would be allowed.
func (q *request) waitLimits() WaitLimits {
	if !q.route.Repeatable() || q.possibleRuns+1 >= q.route.MaxAttempts {
		return WaitLimits{}
	}
	c := q.handler.config
	return WaitLimits{
		First:   max(c.StallAfter, q.route.Objective),
		Gap:     max(c.StallAfter, q.route.GapObjective),
		Attempt: c.AttemptStall,
	}
}

// attempt sends the request to a head and handles the response. It returns the
// cause of any end other than TryAnswered, and of a write error to the caller.
func (q *request) attempt(ctx context.Context, a *attempt, head registry.Head) (TryEnd, string) {
	c := q.handler.config
	var answer exchange.Answer
	response, err := c.Backend.Attempt(ctx, backend.Request{
		ID:      q.call.ID,
		Address: head.Address,
		Method:  q.http.Method,
		Target:  q.http.RequestURI,
		Host:    q.http.Host,
		Header:  q.forward(head),
		Body:    q.body,
		Accept: func(status int, h http.Header) (rejected bool, err error) {
			answer, err = c.Dialect.Answer(q.call.ID, status, h)
			return answer.NotExecuted, err
		},
		OnSend: a.recordSend,
	})
	if err != nil {
		return q.handleSendError(ctx, a, err)
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	now := c.Clock.Now()
	if answer.Leaving {
		c.OnLeaving(head)
	}
	if answer.RetryAfter > 0 && a.pool.RecordPause(head.ID, answer.RetryAfter, now) {
		c.OnPause(head, answer.RetryAfter)
	}
	switch {
	case response.StatusCode < http.StatusOK:
		a.pool.RecordError(a.head)
		return TryFailed, "response has invalid status " + strconv.Itoa(response.StatusCode)
	case answer.NotExecuted:
		q.recordRefusal(a, answer, response.StatusCode, now)
		return TryNotRun, "rejected by backend server: " + http.StatusText(response.StatusCode)
	case answer.Encoded || !answer.Signed && success(response.StatusCode):
		a.pool.RecordError(a.head)
		return TryFailed, "response is not signed by the backend server or was re-encoded"
	case q.route.Kind == routes.KindStreaming && success(response.StatusCode):
		return q.relayStream(ctx, a, head, response)
	case q.response.begun():
		return q.rejectResumption(a, response.StatusCode)
	default:
		return q.relayBuffered(ctx, a, head, response, answer)
	}
}

func success(status int) bool {
	return status >= 200 && status < 300
}

// forward returns the request headers to send to a head.
func (q *request) forward(head registry.Head) http.Header {
	f := exchange.Forward{Server: head.ID, Workspace: q.workspace, ResumeAfter: q.lastEvent}
	if !q.until.IsZero() {
		f.Deadline = max(q.until.Sub(q.handler.config.Clock.Now()), time.Millisecond)
	}
	if q.call.Deadline == 0 {
		f.Deadline = 0
	}
	if q.late(q.handler.config.Clock.Now()) {
		f.Priority, f.HasPriority = latePriority, true
	}
	return q.handler.config.Dialect.Forward(q.http.Header, f)
}

// latePriority is the priority at a head of requests that can no longer meet
// their objective. It is below the default priority, 5.
const latePriority = 8

// recordRefusal records in the pool that a head rejected the request before it
// ran: as a failure if the head or its group is at fault, otherwise as full, unless the
// head asked for a pause, which is recorded already.
func (q *request) recordRefusal(a *attempt, answer exchange.Answer, status int, now time.Time) {
	switch {
	case status == http.StatusMisdirectedRequest || answer.FaultyMember != "":
		a.pool.RecordFailure(a.head, now)
	case answer.RetryAfter == 0:
		a.pool.RecordFull(a.head, now)
	}
}

// handleSendError handles a try that ended without a response. It records a
// failure of the head unless the try was canceled.
func (q *request) handleSendError(ctx context.Context, a *attempt, err error) (TryEnd, string) {
	now := q.handler.config.Clock.Now()
	cause := context.Cause(ctx)
	var notSent *backend.NotSentError
	if errors.As(err, &notSent) {
		if cause == nil {
			a.pool.RecordFailure(a.head, now)
		}
		if errors.Is(err, backend.ErrConnectTimeout) {
			// Told to the other nodes, which would each wait as long.
			a.pool.RecordStall(a.head, now)
		}
		return TryNotSent, err.Error()
	}
	var other *exchange.OtherRequestError
	if errors.As(err, &other) {
		// The response tells nothing about the head, where the request may run.
		a.lost, a.abandoned = true, true
		return TryFailed, err.Error()
	}
	a.lost = true
	if cause == nil {
		a.abrupt = true
		a.pool.RecordFailure(a.head, now)
		return TryFailed, err.Error()
	}
	return TryFailed, cause.Error()
}
