// Package ingress answers callers: it finds the route of a request, sends it to
// a backend server, and returns that server's answer or the truth about what
// became of it.
package ingress

import (
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"almondbay.example/internal/routing/backend"
	"almondbay.example/internal/routing/balance"
	"almondbay.example/internal/routing/exchange"
	"almondbay.example/internal/routing/retry"
	"almondbay.example/internal/routing/routes"
)

// Config configures a Handler.
type Config struct {
	Clock   clockwork.Clock
	Logger  *zap.Logger
	Dialect exchange.Dialect
	Board   *balance.Board
	Backend *backend.Client
	Budget  *retry.Budget
	// Configuration returns what is in force; nil before any is known.
	Configuration func() *routes.Configuration
	// Observe is told of each request that has ended.
	Observe func(Result)
	// MaxTries bounds the heads that one request is offered to, refusals
	// included.
	MaxTries int
	// StallAfter is how long a head may stand still before its streams are taken
	// elsewhere.
	StallAfter time.Duration
	// AttemptStallAfter is the same for one stream among others that move.
	AttemptStallAfter time.Duration
}

// Handler serves callers.
type Handler struct {
	config Config
	watch  *watch
	seed   maphash.Seed
}

// NewHandler returns a handler.
func NewHandler(c Config) *Handler {
	return &Handler{config: c, watch: newWatch(), seed: maphash.MakeSeed()}
}

// Check breaks off attempts that have waited too long. It is called many times
// a second.
func (h *Handler) Check(now time.Time) {
	h.watch.check(now)
}

// Outcome is how a request ended.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeAnswered means that a backend server's answer was returned whole.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused means that the request has not run and was refused.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means that the request may have run and has no answer.
	OutcomeFailed Outcome = "failed"
	// OutcomeBroken means that a stream was broken off midway.
	OutcomeBroken Outcome = "broken"
	// OutcomeCallerLeft means that the caller left.
	OutcomeCallerLeft Outcome = "callerLeft"
	// OutcomeDenied means that the request was not allowed.
	OutcomeDenied Outcome = "denied"
)

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{
		handler: h,
		writer:  w,
		http:    r,
		started: h.config.Clock.Now(),
		call:    h.config.Dialect.Call(r.Header),
	}
	q.serve()
	q.result.Duration = h.config.Clock.Since(q.started)
	q.result.ID = q.call.ID
	h.config.Observe(q.result)
	if q.abort {
		// The answer must not look complete.
		panic(http.ErrAbortHandler)
	}
}

// notReadyRetryAfter is when to come back to a node that knows no configuration
// yet: two calls of the store later.
const notReadyRetryAfter = 500 * time.Millisecond

func (q *request) serve() {
	c := q.handler.config.Configuration()
	if c == nil {
		q.refuse(http.StatusServiceUnavailable, "no configuration known", notReadyRetryAfter)
		return
	}
	q.result.Version = c.Version
	if !q.admit(c) {
		return
	}
	if !q.readBody(c.Limits.MaxBodyBytes) {
		return
	}
	ctx, cancel := q.deadline()
	defer cancel()
	q.run(ctx)
}

// admit finds the route and the workspace.
func (q *request) admit(c *routes.Configuration) bool {
	q.route = c.Match(q.http.Host, q.http.URL.EscapedPath())
	if q.route == nil {
		q.deny(http.StatusNotFound, "no such route")
		return false
	}
	q.result.Route = q.route.Name
	if c.RequireKey && !q.route.Public {
		workspace, ok := c.Workspaces[q.call.Key]
		if !ok {
			q.deny(http.StatusUnauthorized, "unknown key")
			return false
		}
		q.workspace = workspace
	}
	if q.call.ID == "" {
		q.deny(http.StatusBadRequest, "request has no ID")
		return false
	}
	point := float64(maphash.String(q.handler.seed, q.call.ID)>>11) / (1 << 53)
	q.service = q.route.Pick(point)
	q.result.Service = q.service
	q.result.Model = q.call.Model
	return true
}

// defaultMaxBody bounds a body while the configuration doesn't.
const defaultMaxBody = 4 << 20

func (q *request) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.writer, q.http.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		q.deny(http.StatusRequestEntityTooLarge, "body too large")
		return false
	case err != nil:
		q.result.Outcome = OutcomeCallerLeft
		q.result.Cause = "body incomplete"
		q.abort = true
		return false
	}
	q.body = body
	return true
}

// errDeadline is the cause of a context that ended at the request's deadline.
var errDeadline = errors.New("deadline reached")

// deadline returns a context that ends with the request's deadline, with the
// route's timeout and with the caller's connection.
func (q *request) deadline() (context.Context, context.CancelFunc) {
	limit := q.route.Timeout
	if q.call.Deadline > 0 && (limit <= 0 || q.call.Deadline < limit) {
		limit = q.call.Deadline
	}
	ctx, cancel := context.WithCancelCause(q.http.Context())
	if limit <= 0 {
		return ctx, func() { cancel(nil) }
	}
	q.until = q.started.Add(limit)
	timer := q.handler.config.Clock.AfterFunc(limit, func() { cancel(errDeadline) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// deny ends a request that the configuration doesn't allow.
func (q *request) deny(status int, cause string) {
	q.result.Outcome = OutcomeDenied
	q.finish(status, cause, 0)
}

// refuse ends a request that certainly has not run and never will.
func (q *request) refuse(status int, cause string, after time.Duration) {
	q.result.Outcome = OutcomeRefused
	q.finish(status, cause, after)
}

// fail ends a request that may have run.
func (q *request) fail(status int, cause string) {
	q.result.Outcome = OutcomeFailed
	q.finish(status, cause, 0)
}

// finish writes an answer of this node's own.
func (q *request) finish(status int, cause string, after time.Duration) {
	q.result.Status = status
	q.result.Cause = cause
	q.result.RetryAfter = after
	q.handler.config.Dialect.SetRefusal(q.writer.Header(), q.call.ID, after)
	q.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	q.writer.WriteHeader(status)
	// That the caller has left by now changes nothing.
	_, _ = io.WriteString(q.writer, cause+"\n")
}
