package attempt

import (
	"fmt"
	"net/url"
)

// MaxKeyLength is the most bytes of an idempotency key.
const MaxKeyLength = 255

// BookingPhase is the state of a booking's row.
type BookingPhase uint8

// Phases of a booking's row.
const (
	// BookingPending means that the writer of the row may dispatch the request
	// or has done so.
	BookingPending BookingPhase = iota
	// BookingRecorded means that the request has run and its result is kept.
	BookingRecorded
	// BookingReleased means that the request was certainly not run; the next
	// caller with the key may take the row over.
	BookingReleased
)

// Result is the answer of a backend server to a non-idempotent request.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
	// Omitted is set when the body was too large to keep. The request has run
	// all the same.
	Omitted bool
}

// Booking is the content of the row of a non-idempotent request.
type Booking struct {
	Phase BookingPhase
	// Digest identifies the call and its body; a repeat of the key must have
	// the same.
	Digest Fingerprint
	// Result is set when Phase is BookingRecorded.
	Result Result
}

// BookingRow is a row as the table service holds it.
type BookingRow struct {
	// Version is zero when the row is absent. Rows are never deleted, so that
	// a version is never seen twice.
	Version uint64
	// Operation is the ID of the transaction that wrote this version.
	Operation string
	Booking   Booking
}

// BookingKey returns the key of the row of an idempotency key.
func BookingKey(workspace, key string) string {
	return fmt.Sprintf("booking/%s/%s", url.PathEscape(workspace), url.PathEscape(key))
}

// Step is what the owner of a BookingCoordinator has to do next.
type Step uint8

// Steps of a booking.
const (
	// StepWrite commits BookingCoordinator.Write and feeds back one of Applied, Conflict,
	// Refused or Lost.
	StepWrite Step = iota
	// StepRead reads the row and feeds back Row or Unreadable.
	StepRead
	// StepDispatch dispatches the request once and feeds back Dispatched.
	StepDispatch
	// StepReply ends the booking: the caller gets BookingCoordinator.Reply.
	StepReply
)

// BookingWrite is a conditional write of a booking's row.
type BookingWrite struct {
	// Operation is the same each time that the same write is submitted.
	Operation string
	// Version is the version that the row must have; zero when absent.
	Version uint64
	Booking Booking
}

// ReplyKind tells what the caller of a booking is told.
type ReplyKind uint8

// Verdicts of a booking.
const (
	// ReplyResult returns the result.
	ReplyResult ReplyKind = iota
	// ReplyOmitted says that the request ran and that its result is not kept.
	ReplyOmitted
	// ReplyPending says that another call with the key may have run or may
	// be running; the outcome is unknown.
	ReplyPending
	// ReplyMismatch refuses a repeat whose call or body differs.
	ReplyMismatch
	// ReplyUnavailable says that the table service could not be used and
	// that nothing was dispatched.
	ReplyUnavailable
	// ReplyFailed says that the dispatch failed; Reply.Outcome tells how.
	ReplyFailed
)

// Reply is the end of a booking.
type Reply struct {
	Kind ReplyKind
	// Outcome is that of this call, or that of the key for a repeat.
	Outcome Outcome
	// Result is set for ReplyResult.
	Result Result
	// Repeated is set when the result is that of an earlier call.
	Repeated bool
	// Unrecorded is set when the request has ended and the row does not say
	// so: repeats are told that the outcome is unknown.
	Unrecorded bool
}

type coordinatorPhase uint8

const (
	phaseClaiming coordinatorPhase = iota
	phaseDispatching
	phaseClosing
	phaseDone
	phaseWithdrawing
)

// BookingConfig sets up the booking of one call.
type BookingConfig struct {
	Digest Fingerprint
	// ClaimOperation and CloseOperation are unique among all operations.
	ClaimOperation string
	CloseOperation string
	// MaxTries bounds the submissions of each write; at least one.
	MaxTries int
}

// BookingCoordinator is the state machine of one call over its booking's row. A claim of
// the row precedes the dispatch and the result is recorded after it.
//
// The request is dispatched only after the table service has confirmed that
// the claim of this call is in force. A claim whose answer was lost is
// submitted again under the same operation, so that it cannot take effect
// later unnoticed; a conflict is resolved by the operation in the row.
type BookingCoordinator struct {
	config BookingConfig
	phase  coordinatorPhase
	// claimUnresolved is set when the call was given up while its claim could still
	// take effect.
	claimUnresolved bool
	write           BookingWrite
	// tries counts the submissions of write.
	tries int
	reply Reply
}

// NewBookingCoordinator returns the state machine of a call and its first step.
func NewBookingCoordinator(c BookingConfig) (*BookingCoordinator, Step) {
	l := &BookingCoordinator{config: c}
	return l, l.claim(0)
}

// Write returns the write to commit at StepWrite.
func (l *BookingCoordinator) Write() BookingWrite {
	return l.write
}

// Reply returns what the caller is told at StepReply.
func (l *BookingCoordinator) Reply() Reply {
	return l.reply
}

// Applied feeds back that the write took effect.
func (l *BookingCoordinator) WriteApplied() Step {
	switch l.phase {
	case phaseClaiming:
		l.phase = phaseDispatching
		return StepDispatch
	case phaseWithdrawing:
		l.claimUnresolved = false
		return l.close(Booking{Phase: BookingReleased, Digest: l.config.Digest})
	default:
		return l.done()
	}
}

// Conflict feeds back that the row was not at the expected version.
func (l *BookingCoordinator) WriteConflict() Step {
	return StepRead
}

// Lost feeds back that it is not known whether the write took effect.
func (l *BookingCoordinator) WriteUnknown() Step {
	if l.tries < l.config.MaxTries {
		return l.submit()
	}
	return l.abandon()
}

// Refused feeds back that the write was certainly not applied.
func (l *BookingCoordinator) WriteRejected() Step {
	if l.phase == phaseClaiming && l.tries == 1 {
		return l.unavailable()
	}
	return l.WriteUnknown()
}

// Unreadable feeds back that the row could not be read.
func (l *BookingCoordinator) ReadFailed() Step {
	return l.WriteUnknown()
}

// Row feeds back the row read after a conflict.
func (l *BookingCoordinator) RowRead(r BookingRow) Step {
	if r.Operation == l.write.Operation {
		return l.WriteApplied()
	}
	if l.phase == phaseClosing {
		return l.unrecorded()
	}
	if l.phase == phaseWithdrawing {
		l.claimUnresolved = false
		return l.done()
	}
	if r.Version == 0 {
		return l.claim(0)
	}
	if r.Booking.Digest != l.config.Digest {
		return l.end(Reply{Kind: ReplyMismatch, Outcome: NotRun})
	}
	switch r.Booking.Phase {
	case BookingReleased:
		return l.claim(r.Version)
	case BookingRecorded:
		return l.repeat(r.Booking.Result)
	default:
		return l.end(Reply{Kind: ReplyPending, Outcome: Unknown})
	}
}

// Dispatched feeds back the end of the dispatch. Result is used only when o is
// Ran and complete is set.
func (l *BookingCoordinator) DispatchEnded(o Outcome, complete bool, r Result) Step {
	b := Booking{Digest: l.config.Digest}
	switch {
	case o == NotRun:
		b.Phase = BookingReleased
		l.reply = Reply{Kind: ReplyFailed, Outcome: NotRun}
	case o == Ran && complete:
		b.Phase = BookingRecorded
		b.Result = r
		l.reply = Reply{Kind: ReplyResult, Outcome: Ran, Result: r}
		if r.Omitted {
			b.Result.Body = nil
		}
	default:
		l.reply = Reply{Kind: ReplyFailed, Outcome: o, Unrecorded: true}
		return l.end(l.reply)
	}
	return l.close(b)
}

// ClaimUnresolved reports whether the call was given up, without a dispatch, while
// its claim could still take effect. Until it is withdrawn, repeats of the key
// are told that the outcome is unknown.
func (l *BookingCoordinator) ClaimUnresolved() bool {
	return l.claimUnresolved
}

// Withdraw starts to settle a claim that was given up: it is brought into
// force, if no other call has taken the row, and then released. The steps that
// follow are never StepDispatch.
func (l *BookingCoordinator) ReleaseClaim() Step {
	l.phase = phaseWithdrawing
	l.tries = 0
	return l.submit()
}

func (l *BookingCoordinator) close(b Booking) Step {
	l.phase = phaseClosing
	l.write = BookingWrite{
		Operation: l.config.CloseOperation,
		Version:   l.write.Version + 1,
		Booking:   b,
	}
	l.tries = 0
	return l.submit()
}

// claim submits the write that must precede the dispatch.
func (l *BookingCoordinator) claim(version uint64) Step {
	if version != l.write.Version {
		l.tries = 0
	}
	if l.tries >= l.config.MaxTries {
		return l.abandon()
	}
	l.write = BookingWrite{
		Operation: l.config.ClaimOperation,
		Version:   version,
		Booking:   Booking{Phase: BookingPending, Digest: l.config.Digest},
	}
	return l.submit()
}

func (l *BookingCoordinator) submit() Step {
	l.tries++
	return StepWrite
}

// abandon ends the booking after the last try of a write.
func (l *BookingCoordinator) abandon() Step {
	switch l.phase {
	case phaseClaiming:
		l.claimUnresolved = true
		return l.unavailable()
	case phaseWithdrawing:
		return l.done()
	default:
		return l.unrecorded()
	}
}

func (l *BookingCoordinator) unavailable() Step {
	return l.end(Reply{Kind: ReplyUnavailable, Outcome: NotRun})
}

func (l *BookingCoordinator) unrecorded() Step {
	l.reply.Unrecorded = true
	return l.done()
}

func (l *BookingCoordinator) repeat(r Result) Step {
	if r.Omitted {
		return l.end(Reply{Kind: ReplyOmitted, Outcome: Ran, Repeated: true})
	}
	return l.end(Reply{Kind: ReplyResult, Outcome: Ran, Result: r, Repeated: true})
}

func (l *BookingCoordinator) end(r Reply) Step {
	l.reply = r
	return l.done()
}

func (l *BookingCoordinator) done() Step {
	l.phase = phaseDone
	return StepReply
}
