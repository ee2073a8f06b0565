package attempt

import (
	"fmt"
	"net/url"
)

// MaxKeyLength is the maximum length of an idempotency key in bytes.
const MaxKeyLength = 255

// BookingPhase is the state of a booking row in the table service.
type BookingPhase uint8

// Phases of a booking row.
const (
	// BookingPending means that the writer of the row may dispatch the request
	// or has already dispatched it.
	BookingPending BookingPhase = iota
	// BookingRecorded means that the request has run and its result is stored
	// in the row.
	BookingRecorded
	// BookingReleased means that the request is known not to have run; the
	// next call with the same key may claim the row.
	BookingReleased
)

// Result is the response of a backend server to a non-idempotent request.
type Result struct {
	Status      int
	ContentType string
	// ContentEncoding is empty if the body is not encoded.
	ContentEncoding string
	Body            []byte
	// Omitted is set when the request ran but its body was too large to store.
	Omitted bool
}

// Booking is the content of the row that tracks one idempotency key of a
// non-idempotent request.
type Booking struct {
	Phase BookingPhase
	// Digest identifies the call and its body. A later call with the same key
	// must have the same digest.
	Digest Fingerprint
	// Result is set when Phase is BookingRecorded.
	Result Result
}

// BookingRow is a booking row as stored in the table service.
type BookingRow struct {
	// Version is zero when the row is absent. Rows are never deleted, so a
	// version number is never reused.
	Version uint64
	// Operation is the ID of the transaction that wrote this version.
	Operation string
	Booking   Booking
}

// BookingKey returns the table key of the booking row for an idempotency key.
func BookingKey(workspace, key string) string {
	return fmt.Sprintf("booking/%s/%s", url.PathEscape(workspace), url.PathEscape(key))
}

// Step is the action that the owner of a BookingCoordinator must perform next.
type Step uint8

// Steps of a booking. After each step except StepReply the owner calls one of
// the methods listed and gets the next step.
const (
	// StepWrite commits BookingCoordinator.Write, then calls WriteApplied,
	// WriteConflict, WriteRejected or WriteUnknown.
	StepWrite Step = iota
	// StepRead reads the row, then calls RowRead or ReadFailed.
	StepRead
	// StepDispatch dispatches the request once, then calls DispatchEnded.
	StepDispatch
	// StepReply ends the booking: BookingCoordinator.Reply is returned to the
	// caller.
	StepReply
)

// BookingWrite is a conditional write (compare-and-swap) of a booking row.
type BookingWrite struct {
	// Operation is the operation ID; retries of the same write reuse it.
	Operation string
	// Version is the version that the row must have; zero when it must be
	// absent.
	Version uint64
	Booking Booking
}

// ReplyKind is the kind of reply that a caller of a booking receives.
type ReplyKind uint8

// Kinds of replies.
const (
	// ReplyResult returns the stored or new result.
	ReplyResult ReplyKind = iota
	// ReplyOmitted says that the request ran but its result was not stored.
	ReplyOmitted
	// ReplyPending says that another call with the same key may have run or may
	// be running; its outcome is unknown.
	ReplyPending
	// ReplyMismatch rejects a reused key whose call or body differs from that
	// of the first call.
	ReplyMismatch
	// ReplyUnavailable says that the table service was unavailable and nothing
	// was dispatched.
	ReplyUnavailable
	// ReplyFailed says that the dispatch failed; Reply.Outcome says whether the
	// request may have run.
	ReplyFailed
)

// Reply is the result of a booking.
type Reply struct {
	Kind ReplyKind
	// Outcome is the outcome of this call, or that of the earlier call when the
	// key is reused.
	Outcome Outcome
	// Result is set for ReplyResult.
	Result Result
	// Repeated is set when the result belongs to an earlier call.
	Repeated bool
	// Unrecorded is set when the request has ended but its row could not be
	// updated: later calls with the key get ReplyPending.
	Unrecorded bool
}

// coordinatorPhase is the current phase of a BookingCoordinator.
type coordinatorPhase uint8

const (
	phaseClaiming coordinatorPhase = iota
	phaseDispatching
	phaseClosing
	phaseDone
	phaseReleasing
)

// BookingConfig configures the BookingCoordinator of one call.
type BookingConfig struct {
	Digest Fingerprint
	// ClaimOperation and CloseOperation are the operation IDs of the writes
	// that claim and close the row; they are globally unique.
	ClaimOperation string
	CloseOperation string
	// MaxTries is the maximum number of submissions of each write; at least 1.
	MaxTries int
}

// BookingCoordinator is the state machine that runs one non-idempotent call at
// most once. It claims the booking row before the dispatch and records the
// result in the row afterwards.
//
// The request is dispatched only after the table service has confirmed that
// the claim of this call is committed. A claim whose response was lost is
// resubmitted under the same operation ID, so that it cannot take effect later
// unnoticed. After a version conflict, the operation ID in the row shows
// whether the claim of this call was the one committed.
type BookingCoordinator struct {
	config BookingConfig
	phase  coordinatorPhase
	// claimUnresolved is set when the call was abandoned while its claim could
	// still take effect.
	claimUnresolved bool
	write           BookingWrite
	// tries is the number of submissions of write.
	tries int
	reply Reply
}

// NewBookingCoordinator returns the coordinator of a call and its first step.
func NewBookingCoordinator(c BookingConfig) (*BookingCoordinator, Step) {
	bc := &BookingCoordinator{config: c}
	return bc, bc.claim(0)
}

// Write returns the write to commit at StepWrite.
func (bc *BookingCoordinator) Write() BookingWrite {
	return bc.write
}

// Reply returns the reply to the caller. It is valid at StepReply.
func (bc *BookingCoordinator) Reply() Reply {
	return bc.reply
}

// WriteApplied reports that the write was committed.
func (bc *BookingCoordinator) WriteApplied() Step {
	switch bc.phase {
	case phaseClaiming:
		bc.phase = phaseDispatching
		return StepDispatch
	case phaseReleasing:
		bc.claimUnresolved = false
		return bc.close(Booking{Phase: BookingReleased, Digest: bc.config.Digest})
	default:
		return bc.done()
	}
}

// WriteConflict reports that the row did not have the expected version.
func (bc *BookingCoordinator) WriteConflict() Step {
	return StepRead
}

// WriteUnknown reports that it is unknown whether the write was committed.
func (bc *BookingCoordinator) WriteUnknown() Step {
	if bc.tries < bc.config.MaxTries {
		return bc.submit()
	}
	return bc.abandon()
}

// WriteRejected reports that this submission was definitely not committed. An
// earlier submission of the same write may still be committed.
func (bc *BookingCoordinator) WriteRejected() Step {
	if bc.phase == phaseClaiming && bc.tries == 1 {
		return bc.unavailable()
	}
	return bc.WriteUnknown()
}

// ReadFailed reports that the row could not be read.
func (bc *BookingCoordinator) ReadFailed() Step {
	return bc.WriteUnknown()
}

// RowRead reports the row read after a conflict.
func (bc *BookingCoordinator) RowRead(r BookingRow) Step {
	if r.Operation == bc.write.Operation {
		return bc.WriteApplied()
	}
	if bc.phase == phaseClosing {
		return bc.unrecorded()
	}
	if bc.phase == phaseReleasing {
		bc.claimUnresolved = false
		return bc.done()
	}
	if r.Version == 0 {
		return bc.claim(0)
	}
	if r.Booking.Digest != bc.config.Digest {
		return bc.end(Reply{Kind: ReplyMismatch, Outcome: NotRun})
	}
	switch r.Booking.Phase {
	case BookingReleased:
		return bc.claim(r.Version)
	case BookingRecorded:
		return bc.repeat(r.Booking.Result)
	default:
		return bc.end(Reply{Kind: ReplyPending, Outcome: Unknown})
	}
}

// DispatchEnded reports the outcome of the dispatch. The result is used only
// when o is Ran and complete is set.
func (bc *BookingCoordinator) DispatchEnded(o Outcome, complete bool, r Result) Step {
	b := Booking{Digest: bc.config.Digest}
	switch {
	case o == NotRun:
		b.Phase = BookingReleased
		bc.reply = Reply{Kind: ReplyFailed, Outcome: NotRun}
	case o == Ran && complete:
		b.Phase = BookingRecorded
		b.Result = r
		bc.reply = Reply{Kind: ReplyResult, Outcome: Ran, Result: r}
		if r.Omitted {
			b.Result.Body = nil
		}
	default:
		bc.reply = Reply{Kind: ReplyFailed, Outcome: o, Unrecorded: true}
		return bc.end(bc.reply)
	}
	return bc.close(b)
}

// ClaimUnresolved reports whether the call was abandoned before the dispatch
// while its claim could still take effect. Until the claim is released, later
// calls with the key get ReplyPending.
func (bc *BookingCoordinator) ClaimUnresolved() bool {
	return bc.claimUnresolved
}

// ReleaseClaim starts the release of an abandoned claim: it commits the claim,
// unless another call has claimed the row, and then releases it. None of the
// steps that follow is StepDispatch.
func (bc *BookingCoordinator) ReleaseClaim() Step {
	bc.phase = phaseReleasing
	bc.tries = 0
	return bc.submit()
}

// close submits the write that records the result or releases the row.
func (bc *BookingCoordinator) close(b Booking) Step {
	bc.phase = phaseClosing
	bc.write = BookingWrite{
		Operation: bc.config.CloseOperation,
		Version:   bc.write.Version + 1,
		Booking:   b,
	}
	bc.tries = 0
	return bc.submit()
}

// claim submits the write that must be committed before the dispatch.
func (bc *BookingCoordinator) claim(version uint64) Step {
	if version != bc.write.Version {
		bc.tries = 0
	}
	if bc.tries >= bc.config.MaxTries {
		return bc.abandon()
	}
	bc.write = BookingWrite{
		Operation: bc.config.ClaimOperation,
		Version:   version,
		Booking:   Booking{Phase: BookingPending, Digest: bc.config.Digest},
	}
	return bc.submit()
}

func (bc *BookingCoordinator) submit() Step {
	bc.tries++
	return StepWrite
}

// abandon ends the booking when the submissions of a write are exhausted.
func (bc *BookingCoordinator) abandon() Step {
	switch bc.phase {
	case phaseClaiming:
		bc.claimUnresolved = true
		return bc.unavailable()
	case phaseReleasing:
		return bc.done()
	default:
		return bc.unrecorded()
	}
}

func (bc *BookingCoordinator) unavailable() Step {
	return bc.end(Reply{Kind: ReplyUnavailable, Outcome: NotRun})
}

func (bc *BookingCoordinator) unrecorded() Step {
	bc.reply.Unrecorded = true
	return bc.done()
}

// repeat ends the booking with the stored result of an earlier call.
func (bc *BookingCoordinator) repeat(r Result) Step {
	if r.Omitted {
		return bc.end(Reply{Kind: ReplyOmitted, Outcome: Ran, Repeated: true})
	}
	return bc.end(Reply{Kind: ReplyResult, Outcome: Ran, Result: r, Repeated: true})
}

func (bc *BookingCoordinator) end(r Reply) Step {
	bc.reply = r
	return bc.done()
}

func (bc *BookingCoordinator) done() Step {
	bc.phase = phaseDone
	return StepReply
}
