package attempt

import "time"

// ID numbers the attempts of one request from one.
type ID uint32

// Target is the replica group or plain service that an attempt is sent to.
type Target struct {
	Group string
	Epoch uint64
	// Version is the version of the model; empty for a plain service.
	Version string
}

// Spec is what a request asks for, as far as its attempts are concerned.
type Spec struct {
	Workspace string
	// Idempotent allows more than one attempt.
	Idempotent bool
	// Resumable is set when a stream can be continued at an offset by another
	// attempt on the same version.
	Resumable bool
	// Deadline is zero when the request has none.
	Deadline time.Time
	// MaxAttempts bounds the attempts; at least one.
	MaxAttempts int
}

// Frame is one piece of the answer to an attempt.
type Frame struct {
	Attempt ID
	// Offset is the index, in the whole answer, of the first token in the
	// frame.
	Offset int
	Tokens int
	// Indexed is set when the backend server stated Offset. A stream with
	// other frames cannot be resumed.
	Indexed bool
	// End is set on the end marker, which proves that the answer is complete.
	End bool
}

// Disposition tells what to do with a frame.
type Disposition uint8

// Dispositions of a frame.
const (
	// Forward passes the frame to the caller.
	Forward Disposition = iota
	// Drop discards the frame: it belongs to another attempt or repeats tokens
	// that were forwarded before.
	Drop
	// Gap ends the attempt as broken: tokens are missing before the frame.
	Gap
)

// Decision tells what to do after an attempt has failed.
type Decision struct {
	// Retry is set when another attempt is to be made; the fields below it
	// describe that attempt. All are zero otherwise.
	Retry bool
	// Offset is the number of tokens to skip at the start of the answer.
	Offset int
	// Version is the only version that may continue the answer; empty when any
	// version may answer.
	Version string
	// Avoid lists the groups that have failed the request.
	Avoid []string
	// Denied is set when the retry budget forbade an attempt that would
	// otherwise have been made.
	Denied bool
}

type try struct {
	target Target
	// mayRun is set once a byte of the attempt was written and not revoked by
	// a refusal.
	mayRun bool
	ended  bool
}

// Request is the state of one request over its attempts. It is driven by one
// goroutine.
//
// At most one attempt is current at any time; events of other attempts have
// no effect but for a refusal, which is believed at any time.
type Request struct {
	spec  Spec
	tries []try
	// proved is set once a backend server of the right identity has answered.
	proved bool
	// forwarded is the number of tokens passed to the caller.
	forwarded int
	// version is the version that produced the forwarded tokens.
	version  string
	complete bool
}

// NewRequest returns the state of a request without attempts.
func NewRequest(s Spec) *Request {
	return &Request{spec: s}
}

// Begin starts an attempt and returns its ID. The previous attempt must have
// failed and its decision must have been to retry.
func (r *Request) Begin(t Target) ID {
	r.tries = append(r.tries, try{target: t})
	return ID(len(r.tries))
}

// Written notes that a byte of the attempt may have reached a backend
// connection. It must be called before the write.
func (r *Request) Written(id ID) {
	if t := r.current(id); t != nil {
		t.mayRun = true
	}
}

// Answered notes that the head of a successful answer with the expected
// identity has arrived.
func (r *Request) Answered(id ID) {
	if r.current(id) != nil {
		r.proved = true
	}
}

// Accept decides about one frame and counts the tokens of a forwarded one.
func (r *Request) Accept(f Frame) Disposition {
	t := r.current(f.Attempt)
	if t == nil || r.complete {
		return Drop
	}
	if f.Offset > r.forwarded {
		return Gap
	}
	if f.Tokens > 0 && f.Offset < r.forwarded {
		return Drop
	}
	r.proved = true
	r.complete = f.End
	if f.Tokens > 0 {
		r.forwarded += f.Tokens
		r.version = t.target.Version
		r.spec.Resumable = r.spec.Resumable && f.Indexed
	}
	return Forward
}

// Fail ends an attempt and decides what follows. A retry takes from the
// budget of the workspace.
func (r *Request) Fail(id ID, k FailureKind, b *Budgets, now time.Time) Decision {
	if id == 0 || int(id) > len(r.tries) {
		return Decision{}
	}
	if k.neverStarted() {
		r.tries[id-1].mayRun = false
	}
	t := r.current(id)
	if t == nil {
		return Decision{}
	}
	t.ended = true
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

func (r *Request) mayRetry(k FailureKind, now time.Time) bool {
	if r.complete || !r.spec.Idempotent || !k.retryable() {
		return false
	}
	if len(r.tries) >= r.spec.MaxAttempts {
		return false
	}
	if !r.spec.Deadline.IsZero() && !now.Before(r.spec.Deadline) {
		return false
	}
	return r.forwarded == 0 || r.spec.Resumable
}

// Outcome returns what the caller may be told at this moment.
func (r *Request) Outcome() Outcome {
	if r.proved {
		return Ran
	}
	for _, t := range r.tries {
		if t.mayRun {
			return Unknown
		}
	}
	return NotRun
}

// Complete reports whether the end marker was forwarded.
func (r *Request) Complete() bool {
	return r.complete
}

// Forwarded returns the number of tokens passed to the caller.
func (r *Request) Forwarded() int {
	return r.forwarded
}

// Attempts returns the number of attempts begun.
func (r *Request) Attempts() int {
	return len(r.tries)
}

// current returns the state of attempt id, or nil unless it is the last one
// and still under way.
func (r *Request) current(id ID) *try {
	if id == 0 || int(id) != len(r.tries) {
		return nil
	}
	t := &r.tries[id-1]
	if t.ended {
		return nil
	}
	return t
}

func (r *Request) groups() []string {
	groups := make([]string, 0, len(r.tries))
	for _, t := range r.tries {
		groups = append(groups, t.target.Group)
	}
	return groups
}
