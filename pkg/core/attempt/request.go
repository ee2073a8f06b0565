package attempt

import "time"

// ID is the number of an attempt of a request, starting at 1.
type ID uint32

// Target is the replica group or plain service that an attempt is sent to.
type Target struct {
	Group string
	Epoch uint64
	// Version is the version of the model; empty for a plain service.
	Version string
}

// Spec describes the properties of a request that decide its reattempts.
type Spec struct {
	Workspace string
	// Idempotent is set when the request may be attempted more than once.
	Idempotent bool
	// Resumable is set when another attempt on the same model version can
	// resume the stream at an offset.
	Resumable bool
	// Deadline is zero when the request has none.
	Deadline time.Time
	// MaxAttempts is the maximum number of attempts; at least 1.
	MaxAttempts int
}

// Frame is one piece of the streamed response to an attempt.
type Frame struct {
	Attempt ID
	// Offset is the index of the first token of the frame in the complete
	// response.
	Offset int
	// Tokens is the number of tokens in the frame.
	Tokens int
	// Indexed is set when Offset was sent by the backend server. A stream with
	// frames that are not indexed cannot be resumed.
	Indexed bool
	// End is set on the end marker, which shows that the response is complete.
	End bool
}

// Disposition is the action to take on a frame.
type Disposition uint8

// Dispositions of a frame.
const (
	// Forward passes the frame to the caller.
	Forward Disposition = iota
	// Drop discards the frame: it belongs to another attempt or repeats tokens
	// that were already forwarded.
	Drop
	// Gap fails the attempt as FailureBroken: tokens are missing before the
	// frame, it is not indexed although the attempt resumes the response, or it
	// repeats tokens in part or behind a frame that is not indexed.
	Gap
)

// Decision states what to do after a failed attempt.
type Decision struct {
	// Retry is set when another attempt must be made. Offset, Version and Avoid
	// describe that attempt and are zero otherwise.
	Retry bool
	// Offset is the number of tokens of the response that were already
	// forwarded and must be skipped.
	Offset int
	// Version is the only model version that may resume the response; empty
	// when any version may run the request.
	Version string
	// Avoid lists the groups of the previous attempts.
	Avoid []string
	// Denied is set when another attempt was possible but the retry budget was
	// exhausted.
	Denied bool
}

// attemptState is the state of one attempt.
type attemptState struct {
	target Target
	// mayHaveRun is set before the first byte of the attempt is written, and
	// cleared when the backend server states that it did not start the request.
	mayHaveRun bool
	// resumed is set when tokens were forwarded before the attempt.
	resumed bool
	ended   bool
}

// Request is the state machine of a request and its attempts. It is not safe for
// concurrent use.
//
// At most one attempt is current at any time. Events of other attempts are
// ignored, except for a refusal stating that the attempt was not started, which
// always counts.
type Request struct {
	spec     Spec
	attempts []attemptState
	// confirmed is set once a backend server with the expected identity has
	// responded, which shows that the request ran.
	confirmed bool
	// forwarded is the number of tokens forwarded to the caller.
	forwarded int
	// estimated is set once a frame that is not indexed was forwarded: its tokens
	// were counted without knowing their offset.
	estimated bool
	// version is the model version that generated the forwarded tokens.
	version  string
	complete bool
}

// NewRequest returns a request without attempts.
func NewRequest(s Spec) *Request {
	return &Request{spec: s}
}

// Begin starts an attempt and returns its ID. It must be called only for the
// first attempt or after Fail has returned a decision to retry.
func (r *Request) Begin(t Target) ID {
	r.attempts = append(r.attempts, attemptState{target: t, resumed: r.forwarded > 0})
	return ID(len(r.attempts))
}

// Written records that bytes of the attempt may have been written to the
// connection of the backend server. It must be called before the first write.
func (r *Request) Written(id ID) {
	if a := r.current(id); a != nil {
		a.mayHaveRun = true
	}
}

// Answered records that the headers of a successful response with the expected
// identity have been received.
func (r *Request) Answered(id ID) {
	if r.current(id) != nil {
		r.confirmed = true
	}
}

// Accept returns the action to take on a frame. Tokens of a frame to forward are
// counted as forwarded.
func (r *Request) Accept(f Frame) Disposition {
	a := r.current(f.Attempt)
	if a == nil || r.complete {
		return Drop
	}
	if f.Offset > r.forwarded || f.Tokens > 0 && a.resumed && !f.Indexed {
		return Gap
	}
	if f.Tokens > 0 && f.Offset < r.forwarded {
		if f.Offset+f.Tokens > r.forwarded || r.estimated {
			return Gap
		}
		return Drop
	}
	r.confirmed = true
	r.complete = f.End
	if f.Tokens > 0 {
		r.forwarded += f.Tokens
		r.version = a.target.Version
		r.spec.Resumable = r.spec.Resumable && f.Indexed
		r.estimated = r.estimated || !f.Indexed
	}
	return Forward
}

// Fail ends an attempt and decides whether to retry the request. A retry is
// charged to the retry budget of the workspace.
func (r *Request) Fail(id ID, k FailureKind, b *Budgets, now time.Time) Decision {
	if id == 0 || int(id) > len(r.attempts) {
		return Decision{}
	}
	if k.neverStarted() {
		r.attempts[id-1].mayHaveRun = false
	}
	a := r.current(id)
	if a == nil {
		return Decision{}
	}
	a.ended = true
	if !r.mayRetry(k, now) {
		return Decision{}
	}
	if !b.Withdraw(r.spec.Workspace, now) {
		return Decision{Denied: true}
	}
	d := Decision{Retry: true, Avoid: r.groups()}
	if r.forwarded > 0 {
		d.Offset = r.forwarded
		d.Version = r.version
	}
	return d
}

// mayRetry reports whether another attempt is allowed, apart from the retry
// budget.
func (r *Request) mayRetry(k FailureKind, now time.Time) bool {
	if r.complete || !r.spec.Idempotent || !k.retryable() {
		return false
	}
	if len(r.attempts) >= r.spec.MaxAttempts {
		return false
	}
	if !r.spec.Deadline.IsZero() && !now.Before(r.spec.Deadline) {
		return false
	}
	return r.forwarded == 0 || r.spec.Resumable
}

// Outcome returns the current outcome of the request.
func (r *Request) Outcome() Outcome {
	if r.confirmed {
		return Ran
	}
	for _, a := range r.attempts {
		if a.mayHaveRun {
			return Unknown
		}
	}
	return NotRun
}

// Complete reports whether the end marker was forwarded.
func (r *Request) Complete() bool {
	return r.complete
}

// Forwarded returns the number of tokens forwarded to the caller.
func (r *Request) Forwarded() int {
	return r.forwarded
}

// Attempts returns the number of attempts started.
func (r *Request) Attempts() int {
	return len(r.attempts)
}

// current returns the state of attempt id, or nil unless it is the latest
// attempt and has not ended.
func (r *Request) current(id ID) *attemptState {
	if id == 0 || int(id) != len(r.attempts) {
		return nil
	}
	a := &r.attempts[id-1]
	if a.ended {
		return nil
	}
	return a
}

// groups returns the target group of each attempt.
func (r *Request) groups() []string {
	groups := make([]string, 0, len(r.attempts))
	for _, a := range r.attempts {
		groups = append(groups, a.target.Group)
	}
	return groups
}
