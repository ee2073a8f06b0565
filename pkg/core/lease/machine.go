package lease

import (
	"fmt"
	"time"
)

// Machine runs the lease of one fabric domain at one node.
type Machine struct {
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

// New returns a machine that holds nothing.
func New(c Config) *Machine {
	return &Machine{config: c}
}

// SetRank sets the place of this node among the nodes that may hold the lease.
// A node waits for one interval per place before it takes a free lease.
func (m *Machine) SetRank(rank int) {
	m.rank = rank
}

// Holds reports whether the lease is held at now. It must be asked right
// before each order and each write under the lease.
func (m *Machine) Holds(now time.Time) bool {
	return m.term > 0 && !m.releasing && !m.resigning && now.Before(m.deadline)
}

// Term returns the fencing number of the lease; zero while it is not held.
func (m *Machine) Term() uint64 {
	return m.term
}

// Deadline returns when the lease lapses unless it is renewed.
func (m *Machine) Deadline() time.Time {
	return m.deadline
}

// Row returns the last row seen and whether any was seen.
func (m *Machine) Row() (Row, bool) {
	return m.row.Row, m.known
}

// Release asks to hand the lease on. Holds is false from here on. The machine
// is done once Released reports true.
func (m *Machine) Release() {
	m.releasing = true
}

// Resign asks to hand the lease on once. Holds is false until the machine takes
// the lease again, which it does at its rank. It does nothing while the lease
// is not held.
func (m *Machine) Resign() {
	m.resigning = m.term > 0
}

// Released reports whether the machine holds nothing and has no write under
// way, after Release.
func (m *Machine) Released() bool {
	return m.releasing && m.term == 0 && m.pending == nil
}

// Next returns the next step.
func (m *Machine) Next(now time.Time) Command {
	m.lapse(now)
	if m.Released() {
		return Command{Action: ActionWait, At: now.Add(m.config.Interval)}
	}
	if now.Before(m.next) {
		return Command{Action: ActionWait, At: m.next}
	}
	if m.pending != nil {
		return m.resolve()
	}
	if !m.known {
		return Command{Action: ActionRead}
	}
	if m.term > 0 {
		return m.write(m.renewal(), now)
	}
	if free := m.freeAt(); now.Before(free) {
		return Command{Action: ActionRead}
	}
	return m.write(m.takeOver(), now)
}

// lapse gives up a lease whose deadline has passed. The node may take it again
// at once, since nobody else can have held it while the row is unchanged, but
// under a new term: orders from before the lapse are then fenced off.
func (m *Machine) lapse(now time.Time) {
	if m.term == 0 || now.Before(m.deadline) {
		return
	}
	m.term = 0
	m.resigning = false
	if m.pending == nil {
		m.known = false
	}
}

// freeAt returns when this node may take the lease.
func (m *Machine) freeAt() time.Time {
	turn := time.Duration(m.rank) * m.config.Interval
	if m.row.Holder == "" || m.row.Holder == m.config.Holder {
		return m.since.Add(turn)
	}
	return m.since.Add(m.row.Duration + turn)
}

func (m *Machine) renewal() Command {
	row := m.row.Row
	row.Sequence++
	row.Duration = m.config.Duration
	if m.releasing || m.resigning {
		row.Holder = ""
	}
	return Command{Row: row}
}

func (m *Machine) takeOver() Command {
	return Command{
		Row: Row{
			FabricDomain: m.config.FabricDomain,
			Holder:       m.config.Holder,
			Term:         m.row.Term + 1,
			Sequence:     m.row.Sequence + 1,
			Duration:     m.config.Duration,
		},
		TakeOver: true,
	}
}

func (m *Machine) write(c Command, now time.Time) Command {
	m.count++
	c.Action = ActionWrite
	c.Version = m.row.Version
	c.Operation = fmt.Sprintf("lease/%s/%s/%d", m.config.FabricDomain, m.config.Holder, m.count)
	m.pending = &attempt{command: c, sentAt: now}
	return c
}

// resolve finds out what became of the pending write: by sending the very same
// operation again, which can take effect only once since it is conditional on
// the row's version, and once that fails by reading back.
func (m *Machine) resolve() Command {
	if m.pending.conflicted {
		return Command{Action: ActionRead}
	}
	return m.pending.command
}

// Wrote tells the outcome of the last ActionWrite.
func (m *Machine) Wrote(o Outcome, now time.Time) {
	p := m.pending
	if p == nil {
		return
	}
	switch o {
	case OutcomeApplied:
		m.applied(now)
	case OutcomeConflict:
		p.conflicted = true
	case OutcomeRefused, OutcomeUnknown:
		m.backOff(now)
	}
}

// applied enters the pending write as the row and extends the lease from
// before the write was first sent.
func (m *Machine) applied(now time.Time) {
	p := m.pending
	m.pending = nil
	m.failures = 0
	m.next = now.Add(m.config.Interval)
	m.see(Versioned{
		Row:       p.command.Row,
		Version:   p.command.Version + 1,
		Operation: p.command.Operation,
	}, now)
	m.term = 0
	if p.command.Row.Holder == "" {
		m.resigning = false
		return
	}
	m.deadline = p.sentAt.Add(m.config.Duration - m.config.Margin)
	if now.Before(m.deadline) {
		m.term = p.command.Row.Term
	}
	if m.releasing || m.resigning {
		m.next = now
	}
}

// Saw tells what a read returned and when its answer was received.
func (m *Machine) Saw(row Versioned, now time.Time) {
	m.failures = 0
	m.next = now.Add(m.config.Interval)
	if m.pending != nil {
		m.readBack(row, now)
		return
	}
	m.see(row, now)
	if free := m.freeAt(); m.term == 0 && free.Before(m.next) {
		m.next = free
	}
}

// readBack settles a pending write whose condition no longer holds.
func (m *Machine) readBack(row Versioned, now time.Time) {
	if row.Version <= m.pending.command.Version {
		return
	}
	if row.Operation == m.pending.command.Operation {
		m.applied(now)
		return
	}
	m.pending = nil
	m.term = 0
	m.resigning = false
	m.see(row, now)
}

// see notes the row. The time since which it is unchanged starts anew with
// every change, whoever made it.
func (m *Machine) see(row Versioned, now time.Time) {
	if m.known && row.Version <= m.row.Version {
		return
	}
	m.row = row
	m.row.FabricDomain = m.config.FabricDomain
	m.known = true
	m.since = now
}

// ReadFailed tells that a read was not answered.
func (m *Machine) ReadFailed(now time.Time) {
	m.backOff(now)
}

// backOff delays the next attempt by a random time that grows with the number
// of failures in a row, so that the nodes do not return in step after an
// outage.
func (m *Machine) backOff(now time.Time) {
	m.failures++
	limit := m.config.Interval * time.Duration(min(m.failures, maxBackOff))
	m.next = now.Add(m.config.Jitter(limit))
}

// maxBackOff bounds the delay after failures, in intervals.
const maxBackOff = 4
