// Package lease implements the lease by which nodes elect the controller of a
// fabric domain.
//
// Each fabric domain has one lease row. Nodes share no clock. The holder
// counts its lease from before it sent the write that the row shows, less a
// margin for the drift between two clocks. Another node acquires the lease
// only after it has observed the row unchanged for the row's whole duration,
// by its own monotonic clock. The term grows by one with each acquisition and
// is the fencing number of every order sent under the lease.
//
// A Candidate performs no I/O and reads no clock: the caller passes in the
// results of reads and writes with the time, and carries out the commands that
// it returns. It is not safe for concurrent use.
package lease

import "time"

// Row is the lease row of one fabric domain. A row with only FabricDomain set
// is a lease that was never held.
type Row struct {
	FabricDomain string
	// Holder identifies one run of one node's process; empty if the last holder
	// has released the lease.
	Holder string
	// Term grows by one with each acquisition.
	Term uint64
	// Sequence grows by one with each write of the row.
	Sequence uint64
	// Duration is how long the lease is valid, before the holder subtracts its
	// margin.
	Duration time.Duration
}

// Versioned is a row with the version and the operation ID that the table
// service stores for it. Version is zero if the row is absent.
type Versioned struct {
	Row
	Version   uint64
	Operation string
}

// Config configures a Candidate.
type Config struct {
	FabricDomain string
	// Holder identifies this run of this node's process.
	Holder string
	// Duration is the length of a lease.
	Duration time.Duration
	// Margin is the maximum drift between the clocks of two nodes within
	// Duration. It must be less than Duration.
	Margin time.Duration
	// Interval is the time between two renewals by the holder, and between two
	// reads by another candidate.
	Interval time.Duration
	// Jitter returns a random duration in [0, limit). It spreads the retries
	// of the nodes after an outage of the platform.
	Jitter func(limit time.Duration) time.Duration
}

// Outcome is the known result of a write.
type Outcome int

// Outcomes of a write.
const (
	// OutcomeApplied means that the write took effect.
	OutcomeApplied Outcome = iota + 1
	// OutcomeConflict means that the condition did not hold. If the same
	// operation was sent before, that earlier transmission may have taken
	// effect.
	OutcomeConflict
	// OutcomeRejected means that this transmission certainly did not take
	// effect.
	OutcomeRejected
	// OutcomeUnknown means that the write may have taken effect or may still
	// do so.
	OutcomeUnknown
)

// Action is the kind of a Command.
type Action int

// Kinds of commands.
const (
	// ActionWait means: call Next again at Command.At.
	ActionWait Action = iota + 1
	// ActionRead means: read the row, then call RecordRead or
	// RecordReadFailure.
	ActionRead
	// ActionWrite means: write Command.Row, then call RecordWrite.
	ActionWrite
)

// Command is the next action of a candidate.
type Command struct {
	Action Action
	// At is set for ActionWait.
	At time.Time
	// Row is the row to write on condition that the stored row is at Version.
	Row     Row
	Version uint64
	// Operation identifies the write. It stays the same when the write is sent
	// again because its outcome is unknown.
	Operation string
	// TakeOver is set if the write starts a new term.
	TakeOver bool
}
