// Package ingress handles the requests of callers. It matches a request to a
// route, sends it to a backend server, retries it elsewhere where that is safe,
// and returns the server's response. Without one, the status tells the caller
// whether the request may have run.
package ingress

import (
	"context"
	"errors"
	"hash/maphash"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/backend"
	"almondbay.example/internal/routing/balance"
	"almondbay.example/internal/routing/caller"
	"almondbay.example/internal/routing/exchange"
	"almondbay.example/internal/routing/quarantine"
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
	// Configuration returns the current configuration; nil until one is loaded.
	Configuration func() *routes.Configuration
	// Observe is called with the result of each request when it ends.
	Observe func(Result)
	// OnLoss is called for each try that its head left without a complete response.
	OnLoss func(quarantine.Loss)
	// OnLeaving is called when a head states in a response that it is about to shut
	// down, OnPause when it asks with a rejection for a longer pause than was known.
	OnLeaving func(registry.Head)
	OnPause   func(registry.Head, time.Duration)
	// Guard decides which requests may be sent to servers.
	Guard *quarantine.Guard
	// SendsTrial reports whether this node, among all, is the one to send the trial with a
	// key.
	SendsTrial func(key uint64) bool
	// CheckServer asks a head whether it still runs.
	CheckServer func(context.Context, registry.Head) quarantine.CheckResult
	// OnAnswer is called with the content of each request that a server answered, and
	// when it was sent to that server.
	OnAnswer func(c *quarantine.Content, sentAt time.Time)
	// MaxTries is the maximum number of tries for one request, including those
	// that a head rejected.
	MaxTries int
	// StallAfter is how long a head may send no data on any of its responses
	// before its requests are retried elsewhere; a route's objective raises it.
	StallAfter time.Duration
	// AttemptStall is how long a single attempt may receive no data while
	// other responses of the same head make progress.
	AttemptStall time.Duration
	// Memory is the size in bytes of the account of memory for requests in flight, with their
	// bodies and buffered responses; zero for DefaultMemory.
	Memory int64
}

// Handler is the HTTP handler for the requests of callers.
type Handler struct {
	config   Config
	watchdog *watchdog
	seed     maphash.Seed
	account  *account
	room     Room
	// discards is the number of requests whose unread bodies are discarded.
	discards atomic.Int64
}

// NewHandler returns a handler. Check must be called regularly for it to detect
// stalled attempts.
func NewHandler(c Config) *Handler {
	return &Handler{
		config: c, watchdog: newWatchdog(), seed: maphash.MakeSeed(), account: newAccount(c.Clock, c.Memory), room: noRoom{},
	}
}

// Room gives up requests of callers that stand still, so that there is room for others. Its
// methods return at once; the room is there soon after.
type Room interface {
	// AbortBody gives up a body, and with it memory.
	AbortBody()
	// AbortAnswer gives up an answer that is not read, and with it a slot of a head.
	AbortAnswer()
}

// noRoom gives up nothing.
type noRoom struct{}

func (noRoom) AbortBody() {}

func (noRoom) AbortAnswer() {}

// SetRoom sets what gives up requests when there is no room for another. It must be called
// before the handler is used.
func (h *Handler) SetRoom(r Room) { h.room = r }

// Account returns the state of the account of memory.
func (h *Handler) Account() AccountState {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()

	return h.account.state()
}

// ReserveConnection reserves n bytes of the account for a connection, and reports whether
// they fit.
func (h *Handler) ReserveConnection(n int64) bool { return h.account.reserveConnection(n) }

// ReleaseConnection returns n bytes that were reserved by ReserveConnection.
func (h *Handler) ReleaseConnection(n int64) { h.account.releaseConnection(n) }

// Check cancels attempts that have received no data for too long. It is meant to
// be called many times a second.
func (h *Handler) Check(now time.Time) {
	h.watchdog.check(now)
}

// Outcome is how a request ended.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeAnswered means that a backend server's response was returned in full.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused means that the request was rejected and has not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means that the request may have run but got no response.
	OutcomeFailed Outcome = "failed"
	// OutcomeBroken means that a response was cut off after its status
	// and headers were sent.
	OutcomeBroken Outcome = "broken"
	// OutcomeCallerLeft means that the caller disconnected.
	OutcomeCallerLeft Outcome = "callerLeft"
	// OutcomeDenied means that the request was invalid, unauthorized or had no
	// route.
	OutcomeDenied Outcome = "denied"
)

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{
		handler:  h,
		response: callerResponse{writer: w},
		http:     r,
		started:  h.config.Clock.Now(),
		call:     h.config.Dialect.Call(r.Header),
		holding:  holding{account: h.account},
	}
	defer q.holding.releaseAll()
	q.serve()
	q.result.Duration = h.config.Clock.Since(q.started)
	q.result.ID = q.call.ID
	q.result.CutOff = q.response.cutOff()
	h.config.Observe(q.result)
	q.discardBody()
	if q.result.CutOff {
		if q.response.begun() && !r.ProtoAtLeast(1, 1) {
			q.response.reset()
		}
		// Closes the connection, so that the response does not look complete.
		panic(http.ErrAbortHandler)
	}
}

// notReadyRetryAfter is the retry delay while the node has no configuration: the
// time of two calls to the store.
const notReadyRetryAfter = 500 * time.Millisecond

func (q *request) serve() {
	c := q.handler.config.Configuration()
	q.bodyLimit = defaultMaxBody
	if c != nil && c.Limits.MaxBodyBytes > 0 {
		q.bodyLimit = c.Limits.MaxBodyBytes
	}
	if err := caller.FromContext(q.http.Context()).Malformed(); err != nil {
		q.denyMalformed(err)
		return
	}
	if c == nil {
		q.refuse(http.StatusServiceUnavailable, "no configuration known", notReadyRetryAfter)
		return
	}
	q.result.Version = c.Version
	if !q.admit(c) {
		return
	}
	q.holding.workspace = q.workspace
	ctx, cancel := q.deadline()
	defer cancel()
	if !q.readBody(ctx) {
		return
	}
	q.content = &quarantine.Content{
		Workspace: q.workspace, Path: q.http.URL.EscapedPath(), Body: q.body, Parts: quarantine.NewParts(q.call.SharedParts),
	}
	q.run(ctx)
}

// admit matches the request to a route, authenticates its workspace and picks
// its service. It reports false after it has denied the request.
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

// defaultMaxBody is the maximum body size in bytes when the configuration sets
// none.
const defaultMaxBody = 4 << 20

// errDeadlineExceeded is the cancellation cause when the request's deadline has
// passed.
var errDeadlineExceeded = errors.New("deadline exceeded")

// deadline returns a context that is canceled when the request's deadline or the
// route's timeout passes, whichever is earlier, or when the caller disconnects.
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
	timer := q.handler.config.Clock.AfterFunc(limit, func() { cancel(errDeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// deny ends a request that is not allowed or not valid.
func (q *request) deny(status int, cause string) {
	q.result.Outcome = OutcomeDenied
	q.finish(status, cause, 0)
}

// denyMalformed ends a request that is malformed, or that follows one on its connection,
// which is closed.
func (q *request) denyMalformed(err error) {
	q.response.header().Set("Connection", "close")
	q.deny(http.StatusBadRequest, err.Error())
}

// refuse rejects a request that certainly has not run and will not run. after is
// the retry delay for the caller.
func (q *request) refuse(status int, cause string, after time.Duration) {
	q.result.Outcome = OutcomeRefused
	q.finish(status, cause, after)
}

// fail ends a request that may have run and got no response.
func (q *request) fail(status int, cause string) {
	q.result.Outcome = OutcomeFailed
	q.finish(status, cause, 0)
}

// finish writes a response of the node itself.
func (q *request) finish(status int, cause string, after time.Duration) {
	q.result.Cause = cause
	q.result.RetryAfter = after
	header := q.response.header()
	q.handler.config.Dialect.SetRefusal(header, q.call.ID, after)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if !q.bodyRead && q.http.ContentLength != 0 {
		q.prepareUnread()
	}
	q.sendWhole(status, []byte(cause+"\n"))
}
