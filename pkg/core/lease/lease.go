// Package lease is the state machine by which nodes agree who controls a
// fabric domain.
//
// A fabric domain has one lease row. No clock is shared between nodes. The
// holder counts its lease from before it sent the write that the row shows,
// less a margin for the drift between two clocks. Another node takes over only
// after it has itself seen the row unchanged for the row's whole duration, by
// its own monotonic clock. The term grows by one with each take-over and is
// the fencing number of every order given under the lease.
//
// A Candidate is pure: it is told what was read and written and at what time,
// and tells what to do next. It is not safe for concurrent use.
package lease

import "time"

// Row is the lease row of one fabric domain. The zero value but for
// FabricDomain stands for a lease that was never held.
type Row struct {
	FabricDomain string
	// Holder is unique to one start of one node's process; empty when the last
	// holder has handed the lease on.
	Holder string
	// Term grows by one with each take-over.
	Term uint64
	// Sequence grows by one with each write of the row.
	Sequence uint64
	// Duration is how long the lease lasts from the holder's point of view,
	// before its margin.
	Duration time.Duration
}

// Versioned is a row together with the version and the operation that the
// table service keeps for it. Version is zero when the row is absent.
type Versioned struct {
	Row
	Version   uint64
	Operation string
}

// Config configures a Candidate.
type Config struct {
	FabricDomain string
	// Holder is unique to this start of this node's process.
	Holder string
	// Duration is the length of a lease.
	Duration time.Duration
	// Margin is the most by which two nodes' clocks drift apart within
	// Duration; below Duration.
	Margin time.Duration
	// Interval is the time between two renewals, and between two reads of a
	// node that waits.
	Interval time.Duration
	// Jitter returns a random duration in [0, limit). It spreads the nodes
	// after an outage of the platform.
	Jitter func(limit time.Duration) time.Duration
}

// Outcome is what is known of a write.
type Outcome int

// Outcomes of a write.
const (
	// OutcomeApplied means that the write took effect.
	OutcomeApplied Outcome = iota + 1
	// OutcomeConflict means that the condition did not hold. If the same
	// operation was sent before, that earlier sending may have taken effect.
	OutcomeConflict
	// OutcomeRejected means that this sending certainly did not take effect.
	OutcomeRejected
	// OutcomeUnknown means that the write may have taken effect, or may still.
	OutcomeUnknown
)

// Action is what a candidate asks for.
type Action int

// Actions of a candidate.
const (
	// ActionWait asks to call Next again at Command.At.
	ActionWait Action = iota + 1
	// ActionRead asks to read the row and call Saw or ReadFailed.
	ActionRead
	// ActionWrite asks to write Command.Row and call Wrote.
	ActionWrite
)

// Command is the next step of a candidate.
type Command struct {
	Action Action
	// At is set for ActionWait.
	At time.Time
	// Row is what to write on condition that the row is at Version.
	Row     Row
	Version uint64
	// Operation identifies the write. It is the same when the write is sent
	// again because its outcome is not known.
	Operation string
	// TakeOver is set when the write begins a new term.
	TakeOver bool
}
