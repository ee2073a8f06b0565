package lease

import (
	"fmt"
	"time"
)

// Candidate is the state machine of one node for the lease of one fabric
// domain.
type Candidate struct {
	config Config

	// row is the last row read or written; valid if known is set.
	row   Versioned
	known bool
	// unchangedSince is when this node first observed row, by its own clock.
	unchangedSince time.Time

	// term is the term of the held lease; zero if the lease is not held. The
	// lease is valid until deadline.
	term     uint64
	deadline time.Time

	// pending is the write whose outcome is not known yet.
	pending *pendingWrite

	// restored is how often the platform has come back from an older copy of its tables since
	// row was written; newer rows may have been lost each time.
	restored uint64

	// rank is the position of this node among the candidates; zero acquires
	// first.
	rank      int
	releasing bool
	resigning bool
	// notBefore is the earliest time of the next read or write.
	notBefore  time.Time
	failures   int
	operations uint64
}

// pendingWrite is a write that was sent at least once.
type pendingWrite struct {
	command Command
	// sentAt is when the write was first sent. The lease is counted from it,
	// since any of the transmissions may be the one that took effect.
	sentAt time.Time
	// conflicted is set when the condition no longer holds, so that a read
	// must show whether an earlier transmission took effect.
	conflicted bool
}

// New returns a candidate that does not hold the lease.
func New(c Config) *Candidate {
	return &Candidate{config: c}
}

// SetRank sets the position of this node among the nodes that may hold the
// lease. A node waits for rank times Interval before it acquires a free lease,
// so that candidates seldom compete.
func (n *Candidate) SetRank(rank int) {
	n.rank = rank
}

// Holds reports whether the lease is held at now. Call it immediately before
// each order and each write under the lease.
func (n *Candidate) Holds(now time.Time) bool {
	return n.term > 0 && !n.releasing && !n.resigning && now.Before(n.deadline)
}

// Term returns the fencing number of the lease; zero while it is not held.
func (n *Candidate) Term() uint64 {
	return n.term
}

// Deadline returns when the lease expires unless it is renewed.
func (n *Candidate) Deadline() time.Time {
	return n.deadline
}

// Row returns the last known row and whether there is one.
func (n *Candidate) Row() (Row, bool) {
	return n.row.Row, n.known
}

// Release requests that the lease be handed over for good. Holds returns false
// from now on. The handover is complete once Released returns true.
func (n *Candidate) Release() {
	n.releasing = true
}

// Resign requests that the lease be handed over, but the node remains a
// candidate: it may acquire the lease again at its rank. Holds returns false
// until then. Resign does nothing while the lease is not held.
func (n *Candidate) Resign() {
	n.resigning = n.term > 0
}

// Released reports whether, after Release, the candidate holds no lease and
// has no pending write.
func (n *Candidate) Released() bool {
	return n.releasing && n.term == 0 && n.pending == nil
}

// Next returns the next action.
func (n *Candidate) Next(now time.Time) Command {
	n.expire(now)
	if n.Released() {
		return Command{Action: ActionWait, At: now.Add(n.config.Interval)}
	}
	if now.Before(n.notBefore) {
		return Command{Action: ActionWait, At: n.notBefore}
	}
	if n.pending != nil {
		return n.resolve()
	}
	if !n.known {
		return Command{Action: ActionRead}
	}
	if n.term > 0 {
		return n.write(n.renewal(), now)
	}
	if free := n.freeAt(); now.Before(free) {
		return Command{Action: ActionRead}
	}
	return n.write(n.acquisition(), now)
}

// expire drops a lease whose deadline has passed. No other node can have held
// it while the row is unchanged, so the node may acquire it again at once, but
// under a new term: orders from before the expiry are then fenced off.
func (n *Candidate) expire(now time.Time) {
	if n.term == 0 || now.Before(n.deadline) {
		return
	}
	n.term = 0
	n.resigning = false
	if n.pending == nil {
		n.known = false
	}
}

// freeAt returns when this node may acquire the lease.
func (n *Candidate) freeAt() time.Time {
	rankDelay := time.Duration(n.rank) * n.config.Interval
	if n.restored > 0 {
		return n.unchangedSince.Add(max(n.row.Duration, n.config.Duration) + rankDelay)
	}
	if n.row.Holder == "" || n.row.Holder == n.config.Holder {
		return n.unchangedSince.Add(rankDelay)
	}
	return n.unchangedSince.Add(n.row.Duration + rankDelay)
}

func (n *Candidate) renewal() Command {
	row := n.row.Row
	row.Sequence++
	row.Duration = n.config.Duration
	if n.releasing || n.resigning {
		row.Holder = ""
	}
	return Command{Row: row}
}

func (n *Candidate) acquisition() Command {
	row := Row{
		FabricDomain: n.config.FabricDomain,
		Holder:       n.config.Holder,
		Term:         n.row.Term + 1,
		Sequence:     n.row.Sequence + 1,
		Duration:     n.config.Duration,
	}
	if n.restored > 0 {
		row.Term += n.restored * restoredJump
		row.Sequence += n.restored * restoredJump
	}
	return Command{Row: row, TakeOver: true}
}

func (n *Candidate) write(c Command, now time.Time) Command {
	n.operations++
	c.Action = ActionWrite
	c.Version = n.row.Version
	c.Operation = fmt.Sprintf("lease/%s/%s/%d", n.config.FabricDomain, n.config.Holder, n.operations)
	n.pending = &pendingWrite{command: c, sentAt: now}
	return c
}

// resolve determines the outcome of the pending write. It sends the same
// operation again, which can take effect only once since it is conditional on
// the version of the row. After a conflict it reads the row back.
func (n *Candidate) resolve() Command {
	if n.pending.conflicted {
		return Command{Action: ActionRead}
	}
	return n.pending.command
}

// RecordWrite records the outcome of the last ActionWrite.
func (n *Candidate) RecordWrite(o Outcome, now time.Time) {
	p := n.pending
	if p == nil {
		return
	}
	switch o {
	case OutcomeApplied:
		n.commitPending(now)
	case OutcomeConflict:
		p.conflicted = true
	case OutcomeRejected, OutcomeUnknown:
		n.backOff(now)
	}
}

// commitPending records the pending write as applied and extends the lease,
// counted from before the write was first sent.
func (n *Candidate) commitPending(now time.Time) {
	p := n.pending
	n.pending = nil
	n.failures = 0
	n.notBefore = now.Add(n.config.Interval)
	n.observe(Versioned{
		Row:       p.command.Row,
		Version:   p.command.Version + p.command.Row.Sequence - n.row.Sequence,
		Operation: p.command.Operation,
	}, now)
	n.term = 0
	if p.command.Row.Holder == "" {
		n.resigning = false
		return
	}
	n.deadline = p.sentAt.Add(n.config.Duration - n.config.Margin)
	if now.Before(n.deadline) {
		n.term = p.command.Row.Term
	}
	if n.releasing || n.resigning {
		n.notBefore = now
	}
}

// RecordRead records the result of an ActionRead and the time when it was
// received.
func (n *Candidate) RecordRead(row Versioned, now time.Time) {
	n.failures = 0
	n.notBefore = now.Add(n.config.Interval)
	if n.pending != nil {
		n.readBack(row, now)
		return
	}
	n.observe(row, now)
	if free := n.freeAt(); n.term == 0 && free.Before(n.notBefore) {
		n.notBefore = free
	}
}

// readBack resolves a pending write whose condition no longer holds. The row
// shows the operation of the write if it took effect last.
func (n *Candidate) readBack(row Versioned, now time.Time) {
	if row.Version <= n.pending.command.Version {
		return
	}
	if row.Operation == n.pending.command.Operation {
		n.commitPending(now)
		return
	}
	n.pending = nil
	n.term = 0
	n.resigning = false
	n.observe(row, now)
}

// observe stores a newer row. Every change of the row, by any node, restarts
// the time for which it counts as unchanged.
func (n *Candidate) observe(row Versioned, now time.Time) {
	if n.known && row.Version <= n.row.Version {
		return
	}
	n.row = row
	n.row.FabricDomain = n.config.FabricDomain
	n.known = true
	n.restored = 0
	n.unchangedSince = now
}

// restoredJump is added to the term and the sequence of the first acquisition for each time
// that the platform came back from an older copy. It exceeds the number of writes that may be
// lost each time.
const restoredJump = 1000

// RecordRestored records that the platform came back from an older copy of its tables, in
// which the lease has the given row, how often it did since that row was written, and the time
// when it was read. If the lease is held, no other node can have acquired it, so that the
// holder writes its row again: a pending write whose condition failed is sent once more.
// Otherwise any node may hold it, whatever the row says, and the lease is free only once the
// row is unchanged for its duration.
func (n *Candidate) RecordRestored(row Versioned, times uint64, now time.Time) {
	n.failures = 0
	n.expire(now)
	if n.term > 0 {
		if n.pending != nil {
			n.pending.conflicted = false
		}
		n.notBefore = now
		return
	}
	n.pending = nil
	n.resigning = false
	n.row = row
	n.row.FabricDomain = n.config.FabricDomain
	n.known = true
	n.restored = times
	n.unchangedSince = now
	n.notBefore = now.Add(n.config.Interval)
}

// RecordReadFailure records that a read failed or was not answered.
func (n *Candidate) RecordReadFailure(now time.Time) {
	n.backOff(now)
}

// backOff delays the next request by a random time whose limit grows with the
// number of consecutive failures, so that the nodes do not all retry at once
// after an outage.
func (n *Candidate) backOff(now time.Time) {
	n.failures++
	limit := n.config.Interval * time.Duration(min(n.failures, maxBackoffFactor))
	n.notBefore = now.Add(n.config.Jitter(limit))
}

// maxBackoffFactor bounds the delay after failures, as a multiple of Interval.
const maxBackoffFactor = 4
