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
	Body        []byte
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

// Kinds of reply.
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
	l := &BookingCoordinator{config: c}
	return l, l.claim(0)
}

// Write returns the write to commit at StepWrite.
func (l *BookingCoordinator) Write() BookingWrite {
	return l.write
}

// Reply returns the reply to the caller. It is valid at StepReply.
func (l *BookingCoordinator) Reply() Reply {
	return l.reply
}

// WriteApplied reports that the write was committed.
func (l *BookingCoordinator) WriteApplied() Step {
	switch l.phase {
	case phaseClaiming:
		l.phase = phaseDispatching
		return StepDispatch
	case phaseReleasing:
		l.claimUnresolved = false
		return l.close(Booking{Phase: BookingReleased, Digest: l.config.Digest})
	default:
		return l.done()
	}
}

// WriteConflict reports that the row did not have the expected version.
func (l *BookingCoordinator) WriteConflict() Step {
	return StepRead
}

// WriteUnknown reports that it is unknown whether the write was committed.
func (l *BookingCoordinator) WriteUnknown() Step {
	if l.tries < l.config.MaxTries {
		return l.submit()
	}
	return l.abandon()
}

// WriteRejected reports that this submission was definitely not committed.
func (l *BookingCoordinator) WriteRejected() Step {
	if l.phase == phaseClaiming && l.tries == 1 {
		return l.unavailable()
	}
	return l.WriteUnknown()
}

// ReadFailed reports that the row could not be read.
func (l *BookingCoordinator) ReadFailed() Step {
	return l.WriteUnknown()
}

// RowRead reports the row read after a conflict.
func (l *BookingCoordinator) RowRead(r BookingRow) Step {
	if r.Operation == l.write.Operation {
		return l.WriteApplied()
	}
	if l.phase == phaseClosing {
		return l.unrecorded()
	}
	if l.phase == phaseReleasing {
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

// DispatchEnded reports the outcome of the dispatch. The result is used only
// when o is Ran and complete is set.
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

// ClaimUnresolved reports whether the call was abandoned before the dispatch
// while its claim could still take effect. Until the claim is released, later
// calls with the key get ReplyPending.
func (l *BookingCoordinator) ClaimUnresolved() bool {
	return l.claimUnresolved
}

// ReleaseClaim starts the release of an abandoned claim: it commits the claim,
// unless another call has claimed the row, and then releases it. None of the
// steps that follow is StepDispatch.
func (l *BookingCoordinator) ReleaseClaim() Step {
	l.phase = phaseReleasing
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

// claim submits the write that must be committed before the dispatch.
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

// abandon ends the booking when the submissions of a write are exhausted.
func (l *BookingCoordinator) abandon() Step {
	switch l.phase {
	case phaseClaiming:
		l.claimUnresolved = true
		return l.unavailable()
	case phaseReleasing:
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
