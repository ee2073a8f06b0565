package membership

import (
	"slices"
	"time"
)

const (
	// AgeUnit is the unit of Message.Ages.
	AgeUnit = 50 * time.Millisecond
	// ageUnconfirmed in Message.Ages marks a section for which the message
	// carries no age.
	ageUnconfirmed = 255
)

// Message is one message from one end of a link to the other.
type Message struct {
	// From is the sender.
	From string
	// Session identifies the sender's end of the link; it differs after each
	// restart of the sender.
	Session uint64
	// PeerSession is the receiver's session as known to the sender, or zero.
	// A receiver with a different session ignores Ack and Echo.
	PeerSession uint64
	// Sequence increases with each message that the sender makes for the link.
	Sequence uint64
	// Ack is the sequence number of the receiver's last message that the sender
	// processed.
	Ack uint64
	// Clock is the time at which the sender made the message, measured from the
	// sender's start of the link; above zero.
	Clock time.Duration
	// Echo is the Clock of the receiver's message Ack, and EchoDelay the time
	// between the receipt of that message and the making of this one.
	Echo      time.Duration
	EchoDelay time.Duration
	// Index assigns numbers to sections for use in Ages: Index[i] is the prober
	// of section IndexBase+i.
	IndexBase int
	Index     []string
	// Deltas are the changes that the receiver is not known to hold.
	Deltas []Delta
	// Resync names sections whose last delta did not fit the version that the
	// sender of this message holds. They must be sent again in full.
	Resync []string
	// Ages are the ages of the numbered sections in units of AgeUnit, rounded
	// up. They apply to the versions that the sender has sent on this link.
	// Sections past the end of Ages, and those with age 255, have no age.
	Ages []byte
}

// peerState is what this end knows of the other end's copy of a section.
type peerState struct {
	position Position
	// confirmedAt is the latest confirmation time that the other end reported.
	confirmedAt time.Time
}

// Link is one end of the exchange with one peer. The clocks of the two ends
// need not agree: the receiver dates a message by its own clock at EchoDelay
// after it made the message that is acknowledged, which is never later than the
// actual time of sending.
type Link struct {
	// startedAt is 1 ns before the link's start, so that Message.Clock is above
	// zero.
	startedAt time.Time

	// session identifies this end and peer the other end; peer is zero while it
	// is not known.
	session uint64
	peer    uint64
	// sequence is the last sequence number sent, and sent the positions that the
	// other end will hold once it has processed that message.
	sequence uint64
	sent     map[string]Position
	// acked is what the other end is known to hold, by prober.
	acked map[string]peerState
	// index lists the sections in the order in which this end has numbered them
	// for Message.Ages; the other end knows the first indexAcked of them.
	index      []string
	indexAcked int

	// received is the sequence number of the last message processed from the
	// other end, receivedClock its Clock and receivedAt the time of its receipt.
	received      uint64
	receivedClock time.Duration
	receivedAt    time.Time
	// peerIndex lists the sections in the order in which the other end has
	// numbered them.
	peerIndex []string
	// resync names the sections to request in full.
	resync []string
}

// NewLink returns one end of a link on which no message has been exchanged.
func NewLink(now time.Time) *Link {
	l := &Link{startedAt: now.Add(-1), session: uint64(now.UnixNano())}
	l.reset(0)
	return l
}

// reset discards all state of the exchange and sets the other end's session.
func (l *Link) reset(peer uint64) {
	l.peer = peer
	l.acked = make(map[string]peerState)
	l.sent = nil
	l.index, l.indexAcked = nil, 0
	l.received, l.receivedClock, l.peerIndex = 0, 0, nil
	l.resync = nil
}

// NextMessage returns the next message to send on a link. It carries all
// changes that the other end is not known to hold, and the ages of the sections
// that this node has a later confirmation of than the other end reported.
func (t *Table) NextMessage(l *Link, now time.Time) Message {
	t.refresh(now)
	l.sequence++
	m := Message{
		From: t.config.Node, Session: l.session, PeerSession: l.peer,
		Sequence: l.sequence, Ack: l.received,
		Clock: now.Sub(l.startedAt),
		Echo:  l.receivedClock, EchoDelay: now.Sub(l.receivedAt),
		Resync: l.resync,
	}
	l.sent = make(map[string]Position, len(t.sections))
	for node, s := range t.sections {
		ps := l.acked[node]
		l.sent[node] = s.position
		if s.position.newer(ps.position) {
			m.Deltas = append(m.Deltas, s.since(ps.base(s.position), now))
		}
	}
	t.addAges(&m, l, now)
	return m
}

// base returns the version that a delta to position p can start from if the
// other end is in state ps, or zero if the section must be sent in full.
func (ps peerState) base(p Position) uint64 {
	if ps.position.Incarnation != p.Incarnation {
		return 0
	}
	return ps.position.Version
}

// addAges numbers the sections that have no number yet and adds the ages to m.
func (t *Table) addAges(m *Message, l *Link, now time.Time) {
	for _, node := range sortedNodes(t.sections) {
		if !slices.Contains(l.index, node) {
			l.index = append(l.index, node)
		}
	}
	m.IndexBase = l.indexAcked
	m.Index = slices.Clone(l.index[l.indexAcked:])
	for _, node := range l.index {
		m.Ages = append(m.Ages, t.wireAge(node, l.acked[node], now))
	}
	for len(m.Ages) > 0 && m.Ages[len(m.Ages)-1] == ageUnconfirmed {
		m.Ages = m.Ages[:len(m.Ages)-1]
	}
}

// wireAge returns the age of a section in units of AgeUnit, or ageUnconfirmed
// if the other end has confirmed the same position at least as recently.
func (t *Table) wireAge(node string, ps peerState, now time.Time) byte {
	s := t.sections[node]
	if s == nil || (ps.position == s.position && !s.confirmedAt.After(ps.confirmedAt)) {
		return ageUnconfirmed
	}
	units := (s.age(now) + AgeUnit - 1) / AgeUnit
	return byte(min(units, ageUnconfirmed))
}

// Receive processes a message from the other end of a link. It reports whether
// any section advanced to a later version, which the caller should forward
// immediately. A message with a sequence number no higher than that of the last
// one processed is ignored.
func (t *Table) Receive(l *Link, m Message, now time.Time) bool {
	if m.Session != l.peer {
		l.reset(m.Session)
	}
	if m.Sequence <= l.received || m.IndexBase > len(l.peerIndex) {
		return false
	}
	sentAt := l.acknowledge(m, now)
	l.received, l.receivedClock, l.receivedAt = m.Sequence, m.Clock, now
	l.peerIndex = append(l.peerIndex[:m.IndexBase], m.Index...)

	for _, node := range m.Resync {
		delete(l.acked, node)
	}
	l.resync = nil
	advanced := false
	for _, d := range m.Deltas {
		switch t.apply(d, sentAt, now) {
		case outcomeGap:
			l.resync = append(l.resync, d.Node)
			continue
		case outcomeAdvanced:
			advanced = true
		}
		l.acked[d.Node] = peerState{position: d.Position, confirmedAt: d.probedAt(sentAt)}
	}
	t.applyAges(l, m.Ages, sentAt, now)
	return advanced
}

// acknowledge applies the acknowledgement in a message. It returns a time, by
// this node's clock, before which the message was certainly not sent, or the
// zero time if none is known.
func (l *Link) acknowledge(m Message, now time.Time) time.Time {
	if m.PeerSession != l.session || m.Ack == 0 {
		return time.Time{}
	}
	if m.Ack == l.sequence {
		for node, p := range l.sent {
			if p.newer(l.acked[node].position) {
				l.acked[node] = peerState{position: p}
			}
		}
		l.indexAcked = len(l.index)
	}
	sentAt := l.startedAt.Add(m.Echo + m.EchoDelay)
	if sentAt.After(now) {
		return time.Time{}
	}
	return sentAt
}

// applyAges applies the ages of the sections at the versions that the other end
// holds. The other end sends a delta for each version that it does not know
// this node to hold. So the position in acked is that version, or an older one
// if an acknowledgement was lost; in that case this node holds a newer version
// and ignores the age.
func (t *Table) applyAges(l *Link, ages []byte, sentAt, now time.Time) {
	for i, units := range ages {
		if i >= len(l.peerIndex) || units == ageUnconfirmed {
			continue
		}
		node := l.peerIndex[i]
		confirmedAt := sentAt.Add(-time.Duration(units) * AgeUnit)
		ps, known := l.acked[node]
		if !known {
			continue
		}
		if s := t.sections[node]; s != nil && s != t.own && s.position == ps.position {
			s.confirm(confirmedAt, now)
		}
		if confirmedAt.After(ps.confirmedAt) {
			ps.confirmedAt = confirmedAt
			l.acked[node] = ps
		}
	}
}

func sortedNodes(sections map[string]*section) []string {
	nodes := make([]string, 0, len(sections))
	for node := range sections {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return nodes
}
