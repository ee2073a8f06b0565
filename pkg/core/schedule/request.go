package schedule

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("schedule")

// Request describes one request to be scheduled.
type Request struct {
	Workspace string
	Model     string
	// Kind groups requests that resemble each other, such as the route they
	// came in by; may be empty.
	Kind string
	// PromptTokens is an estimate of the length of the prompt.
	PromptTokens int
	// MaxTokens is the caller's bound on generated tokens; zero when unset.
	MaxTokens int
	// Prefix is a hash of the part of the prompt that other requests share;
	// zero when there is none.
	Prefix uint64
	// FirstTokenBy is when the first token is due; zero means the configured
	// objective, counted from Submit.
	FirstTokenBy time.Time
	// Avoid lists groups that must not run the request, as after a failed
	// attempt.
	Avoid []string
	// Notify receives the decision exactly once unless the ticket is cancelled
	// first. It is called with a lock held: it must not block and must not call
	// the scheduler.
	Notify func(Decision)
}

// Decision ends the wait of a ticket: either a group or a refusal.
type Decision struct {
	Ticket *Ticket
	// Group is the group to send the request to; empty when refused.
	Group string
	// Long tells that the request is predicted to run long, so that the engine
	// may be given a lower priority for it.
	Long bool
	// Refusal is nil unless the request was refused; it was then not run.
	Refusal *Refusal
}

// Reason tells why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	// ReasonNoGroup means that no replica group serves the model.
	ReasonNoGroup Reason = "noGroup"
	// ReasonQueueFull means that the workspace's queue has no room.
	ReasonQueueFull Reason = "queueFull"
	// ReasonLate means that the first token would come after its deadline.
	ReasonLate Reason = "late"
)

// Refusal is the error of a request that was not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is when a slot is expected for the workspace; above zero.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("schedule: refused (%s), retry after %s", r.Reason, r.RetryAfter)
}

// ticketState is the progress of a ticket; it only grows.
type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketDone
)

// Ticket is one admitted request. Its fields belong to the shard of its model.
type Ticket struct {
	request Request
	shard   *shard
	queue   *workspaceQueue
	state   ticketState
	class   class
	// predicted is the predicted cost in tokens of decoding.
	predicted float64
	bucket    int
	// order sorts the tickets of one queue: the time of Submit in nanoseconds
	// plus a delay in proportion to the predicted cost, so that waiting work ages.
	order      int64
	index      int
	dispatchBy time.Time
	// hopeless is set when the first token will be late whatever is done; other
	// work then goes first.
	hopeless bool

	group        *groupState
	dispatchedAt time.Time
	progressAt   time.Time
	tokens       int
	// prompting is the part of the group's prompting that is due to the ticket.
	prompting int
	// charged is the cost that the workspace has been charged so far.
	charged float64
}

// Workspace returns the workspace that the ticket belongs to.
func (t *Ticket) Workspace() string {
	return t.request.Workspace
}
