package schedule

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the error class of this package.
var Error = errs.Class("schedule")

// Request describes one request to be scheduled.
type Request struct {
	Workspace string
	Model     string
	// Kind groups requests of similar length, such as those of one route; may
	// be empty.
	Kind string
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens is the caller's limit on generated tokens; zero when unset.
	MaxTokens int
	// Prefix is a hash of the part of the prompt that is shared with other
	// requests; zero when there is none.
	Prefix uint64
	// FirstTokenBy is the deadline of the first token; zero means the
	// configured objective, counted from Submit.
	FirstTokenBy time.Time
	// Avoid lists groups that must not run the request, for example because an
	// attempt failed there.
	Avoid []string
	// Notify receives the decision exactly once unless the ticket is cancelled
	// first. It is called with the lock of the shard held: it must not block
	// and must not call the scheduler.
	Notify func(Decision)
}

// Decision is the result of scheduling a ticket: either a group or a refusal.
type Decision struct {
	Ticket *Ticket
	// Group is the group to send the request to; empty when refused.
	Group string
	// Long is set when the request is predicted to run long; the engine may
	// then run it at a lower priority.
	Long bool
	// Refusal is nil unless the request was refused, in which case it was not
	// run.
	Refusal *Refusal
}

// Reason is why a request was refused.
type Reason string

// Refusal reasons.
const (
	// ReasonNoGroup means that no replica group serves the model.
	ReasonNoGroup Reason = "noGroup"
	// ReasonQueueFull means that the workspace's queue is full.
	ReasonQueueFull Reason = "queueFull"
	// ReasonLate means that the first token would miss its deadline.
	ReasonLate Reason = "late"
)

// Refusal is the error of a request that was not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time until a slot is expected for the workspace; above
	// zero.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("schedule: refused (%s), retry after %s", r.Reason, r.RetryAfter)
}

// ticketState is the state of a ticket; it only increases.
type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketDone
)

// Ticket is an admitted request. Its fields are guarded by the lock of its
// shard.
type Ticket struct {
	request Request
	shard   *shard
	queue   *workspaceQueue
	state   ticketState
	class   class
	// predicted is the predicted cost in generated tokens.
	predicted float64
	bucket    int
	// orderKey orders the tickets of one queue: the time of Submit in
	// nanoseconds plus a delay proportional to the predicted cost, so that
	// waiting tickets gain priority with age.
	orderKey   int64
	heapIndex  int
	dispatchBy time.Time
	// infeasible is set when the first token will miss its deadline in any
	// case; feasible requests then go first.
	infeasible bool

	group        *groupState
	dispatchedAt time.Time
	progressAt   time.Time
	tokens       int
	// pendingPrompt is the ticket's part of the pending prompt tokens of its
	// group.
	pendingPrompt int
	// charged is the cost charged to the workspace so far.
	charged float64
}

// Workspace returns the workspace of the ticket.
func (t *Ticket) Workspace() string {
	return t.request.Workspace
}
