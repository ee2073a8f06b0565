package lease

import (
	"fmt"
	"time"
)

// Candidate is the part of one node in the lease of one fabric domain.
type Candidate struct {
	config Config

	// row is the last row seen or written; meaningful once known is set.
	row   Versioned
	known bool
	// since is when this node first saw row as it is, by its own clock.
	since time.Time

	// term is the term held; zero while the lease is not held. The lease is
	// held until deadline.
	term     uint64
	deadline time.Time

	// pending is the write whose outcome is not known yet.
	pending *attempt

	// rank is the place of this node among the candidates; zero is the first.
	rank      int
	releasing bool
	resigning bool
	// next is the earliest time of the next read or write.
	next     time.Time
	failures int
	count    uint64
}

// attempt is a write that was sent at least once.
type attempt struct {
	command Command
	// sentAt is when the write was first sent. The lease is counted from it,
	// since any of the sendings may be the one that took effect.
	sentAt time.Time
	// conflicted is set when the condition no longer holds and a read has to
	// tell whether an earlier sending took effect.
	conflicted bool
}

// New returns a candidate that holds nothing.
func New(c Config) *Candidate {
	return &Candidate{config: c}
}

// SetRank sets the place of this node among the nodes that may hold the lease.
// A node waits for one interval per place before it takes a free lease.
func (n *Candidate) SetRank(rank int) {
	n.rank = rank
}

// Holds reports whether the lease is held at now. It must be asked right
// before each order and each write under the lease.
func (n *Candidate) Holds(now time.Time) bool {
	return n.term > 0 && !n.releasing && !n.resigning && now.Before(n.deadline)
}

// Term returns the fencing number of the lease; zero while it is not held.
func (n *Candidate) Term() uint64 {
	return n.term
}

// Deadline returns when the lease lapses unless it is renewed.
func (n *Candidate) Deadline() time.Time {
	return n.deadline
}

// Row returns the last row seen and whether any was seen.
func (n *Candidate) Row() (Row, bool) {
	return n.row.Row, n.known
}

// Release asks to hand the lease on. Holds is false from here on. The candidate
// is done once Released reports true.
func (n *Candidate) Release() {
	n.releasing = true
}

// Resign asks to hand the lease on once. Holds is false until the candidate takes
// the lease again, which it does at its rank. It does nothing while the lease
// is not held.
func (n *Candidate) Resign() {
	n.resigning = n.term > 0
}

// Released reports whether the candidate holds nothing and has no write under
// way, after Release.
func (n *Candidate) Released() bool {
	return n.releasing && n.term == 0 && n.pending == nil
}

// Next returns the next step.
func (n *Candidate) Next(now time.Time) Command {
	n.lapse(now)
	if n.Released() {
		return Command{Action: ActionWait, At: now.Add(n.config.Interval)}
	}
	if now.Before(n.next) {
		return Command{Action: ActionWait, At: n.next}
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
	return n.write(n.takeOver(), now)
}

// lapse gives up a lease whose deadline has passed. The node may take it again
// at once, since nobody else can have held it while the row is unchanged, but
// under a new term: orders from before the lapse are then fenced off.
func (n *Candidate) lapse(now time.Time) {
	if n.term == 0 || now.Before(n.deadline) {
		return
	}
	n.term = 0
	n.resigning = false
	if n.pending == nil {
		n.known = false
	}
}

// freeAt returns when this node may take the lease.
func (n *Candidate) freeAt() time.Time {
	turn := time.Duration(n.rank) * n.config.Interval
	if n.row.Holder == "" || n.row.Holder == n.config.Holder {
		return n.since.Add(turn)
	}
	return n.since.Add(n.row.Duration + turn)
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

func (n *Candidate) takeOver() Command {
	return Command{
		Row: Row{
			FabricDomain: n.config.FabricDomain,
			Holder:       n.config.Holder,
			Term:         n.row.Term + 1,
			Sequence:     n.row.Sequence + 1,
			Duration:     n.config.Duration,
		},
		TakeOver: true,
	}
}

func (n *Candidate) write(c Command, now time.Time) Command {
	n.count++
	c.Action = ActionWrite
	c.Version = n.row.Version
	c.Operation = fmt.Sprintf("lease/%s/%s/%d", n.config.FabricDomain, n.config.Holder, n.count)
	n.pending = &attempt{command: c, sentAt: now}
	return c
}

// resolve finds out what became of the pending write: by sending the very same
// operation again, which can take effect only once since it is conditional on
// the row's version, and once that fails by reading back.
func (n *Candidate) resolve() Command {
	if n.pending.conflicted {
		return Command{Action: ActionRead}
	}
	return n.pending.command
}

// RecordWrite tells the outcome of the last ActionWrite.
func (n *Candidate) RecordWrite(o Outcome, now time.Time) {
	p := n.pending
	if p == nil {
		return
	}
	switch o {
	case OutcomeApplied:
		n.applied(now)
	case OutcomeConflict:
		p.conflicted = true
	case OutcomeRejected, OutcomeUnknown:
		n.backOff(now)
	}
}

// applied enters the pending write as the row and extends the lease from
// before the write was first sent.
func (n *Candidate) applied(now time.Time) {
	p := n.pending
	n.pending = nil
	n.failures = 0
	n.next = now.Add(n.config.Interval)
	n.see(Versioned{
		Row:       p.command.Row,
		Version:   p.command.Version + 1,
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
		n.next = now
	}
}

// RecordRead tells what a read returned and when its answer was received.
func (n *Candidate) RecordRead(row Versioned, now time.Time) {
	n.failures = 0
	n.next = now.Add(n.config.Interval)
	if n.pending != nil {
		n.readBack(row, now)
		return
	}
	n.see(row, now)
	if free := n.freeAt(); n.term == 0 && free.Before(n.next) {
		n.next = free
	}
}

// readBack settles a pending write whose condition no longer holds.
func (n *Candidate) readBack(row Versioned, now time.Time) {
	if row.Version <= n.pending.command.Version {
		return
	}
	if row.Operation == n.pending.command.Operation {
		n.applied(now)
		return
	}
	n.pending = nil
	n.term = 0
	n.resigning = false
	n.see(row, now)
}

// see notes the row. The time since which it is unchanged starts anew with
// every change, whoever made it.
func (n *Candidate) see(row Versioned, now time.Time) {
	if n.known && row.Version <= n.row.Version {
		return
	}
	n.row = row
	n.row.FabricDomain = n.config.FabricDomain
	n.known = true
	n.since = now
}

// RecordReadFailure tells that a read was not answered.
func (n *Candidate) RecordReadFailure(now time.Time) {
	n.backOff(now)
}

// backOff delays the next attempt by a random time that grows with the number
// of failures in a row, so that the nodes do not return in step after an
// outage.
func (n *Candidate) backOff(now time.Time) {
	n.failures++
	limit := n.config.Interval * time.Duration(min(n.failures, maxBackOff))
	n.next = now.Add(n.config.Jitter(limit))
}

// maxBackOff bounds the delay after failures, in intervals.
const maxBackOff = 4
