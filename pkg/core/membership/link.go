package membership

import (
	"slices"
	"time"
)

const (
	// AgeUnit is the unit of Message.Ages.
	AgeUnit = 50 * time.Millisecond
	// unconfirmed is the age of a section that proves nothing.
	unconfirmed = 255
)

// Message is what one end of a link tells the other.
type Message struct {
	// From is the sender.
	From string
	// Session is the sender's end of the link; it differs after a restart.
	Session uint64
	// PeerSession is the receiver's session as the sender knows it. A receiver of
	// another session uses neither Ack nor Echo.
	PeerSession uint64
	// Sequence grows with each message of the link.
	Sequence uint64
	// Ack is the receiver's last message that the sender took.
	Ack uint64
	// Clock is the sender's time when it made the message, since its own start
	// of the link; above zero.
	Clock time.Duration
	// Echo is the Clock of the receiver's message Ack, and Held the time from
	// taking it to making this message.
	Echo      time.Duration
	EchoDelay time.Duration
	// Index names sections in the order in which the link numbers them, from
	// number IndexBase on.
	IndexBase int
	Index     []string
	Deltas    []Delta
	// Resync names sections of which the sender could not use the last delta; it
	// is to be sent whole.
	Resync []string
	// Ages are the ages of the numbered sections in units of AgeUnit, rounded
	// up. They speak for the versions that the sender has sent on this link.
	// Sections past the end, and those with age 255, are not confirmed.
	Ages []byte
}

// mark is how far the other end holds a section.
type mark struct {
	position Position
	// confirmedAt is the freshest time that the other end told.
	confirmedAt time.Time
}

// Link is one end of the exchange with one peer. The two ends need no common
// clock: a message proves no more than what was so at the time at which the
// receiver made the message that it answers.
type Link struct {
	// startedAt is just before the link's start, so that a clock is above zero.
	startedAt time.Time

	// session is this end's and peer the other end's, zero while not known.
	session uint64
	peer    uint64
	// sequence is the last one sent, and sent what the other end will hold
	// once it has taken that message.
	sequence uint64
	sent     map[string]Position
	// acked is what the other end is known to hold.
	acked map[string]mark
	// index numbers the sections for the other end; the first indexAcked are
	// known to it.
	index      []string
	indexAcked int

	// taken is the last sequence taken from the other end, takenClock its
	// clock and takenAt the time of taking it.
	taken      uint64
	takenClock time.Duration
	takenAt    time.Time
	peerIndex  []string
	// lost names the sections to ask for as a whole.
	lost []string
}

// NewLink returns one end of a link on which nothing was exchanged.
func NewLink(now time.Time) *Link {
	l := &Link{startedAt: now.Add(-1), session: uint64(now.UnixNano())}
	l.reset(0)
	return l
}

func (l *Link) reset(peer uint64) {
	l.peer = peer
	l.acked = make(map[string]mark)
	l.sent = nil
	l.index, l.indexAcked = nil, 0
	l.taken, l.takenClock, l.peerIndex = 0, 0, nil
	l.lost = nil
}

// NextMessage returns the next message of a link: all changes that the other end is
// not known to hold, and the ages of the sections that this node knows to be
// fresher than the other end told.
func (t *Table) NextMessage(l *Link, now time.Time) Message {
	t.refresh(now)
	l.sequence++
	m := Message{
		From: t.config.Node, Session: l.session, PeerSession: l.peer,
		Sequence: l.sequence, Ack: l.taken,
		Clock: now.Sub(l.startedAt),
		Echo:  l.takenClock, EchoDelay: now.Sub(l.takenAt),
		Resync: l.lost,
	}
	l.sent = make(map[string]Position, len(t.sections))
	for node, s := range t.sections {
		k := l.acked[node]
		l.sent[node] = s.position
		if s.position.newer(k.position) {
			m.Deltas = append(m.Deltas, s.since(k.base(s.position), now))
		}
	}
	t.addAges(&m, l, now)
	return m
}

// base returns the version that a delta for a holder at k may start from.
func (k mark) base(p Position) uint64 {
	if k.position.Incarnation != p.Incarnation {
		return 0
	}
	return k.position.Version
}

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
	for len(m.Ages) > 0 && m.Ages[len(m.Ages)-1] == unconfirmed {
		m.Ages = m.Ages[:len(m.Ages)-1]
	}
}

// wireAge returns the age of a section in units, or unconfirmed when the other
// end has a fresher one.
func (t *Table) wireAge(node string, k mark, now time.Time) byte {
	s := t.sections[node]
	if s == nil || (k.position == s.position && !s.confirmedAt.After(k.confirmedAt)) {
		return unconfirmed
	}
	units := (s.age(now) + AgeUnit - 1) / AgeUnit
	return byte(min(units, unconfirmed))
}

// Receive takes a message from the other end of a link. It reports whether a
// section moved, which is to be passed on at once. A message that is older
// than the last one taken is ignored.
func (t *Table) Receive(l *Link, m Message, now time.Time) bool {
	if m.Session != l.peer {
		l.reset(m.Session)
	}
	if m.Sequence <= l.taken || m.IndexBase > len(l.peerIndex) {
		return false
	}
	sentAt := l.settle(m, now)
	l.taken, l.takenClock, l.takenAt = m.Sequence, m.Clock, now
	l.peerIndex = append(l.peerIndex[:m.IndexBase], m.Index...)

	for _, node := range m.Resync {
		delete(l.acked, node)
	}
	l.lost = nil
	moved := false
	for _, d := range m.Deltas {
		switch t.apply(d, sentAt, now) {
		case outcomeGap:
			l.lost = append(l.lost, d.Node)
			continue
		case outcomeMoved:
			moved = true
		}
		l.acked[d.Node] = mark{position: d.Position, confirmedAt: d.probedAt(sentAt)}
	}
	t.takeAges(l, m.Ages, sentAt, now)
	return moved
}

// settle takes the acknowledgement in a message and returns a time, by this
// node's clock, before which the message was certainly not sent; zero when
// nothing is known.
func (l *Link) settle(m Message, now time.Time) time.Time {
	if m.PeerSession != l.session || m.Ack == 0 {
		return time.Time{}
	}
	if m.Ack == l.sequence {
		for node, p := range l.sent {
			if p.newer(l.acked[node].position) {
				l.acked[node] = mark{position: p}
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

// takeAges takes the ages of the sections at the versions that the other end
// holds. It sends a delta of each version that it does not know this node to
// hold, so the last mark is that version, or an older one when an
// acknowledgement was lost; this node then holds a newer one and ignores the
// age.
func (t *Table) takeAges(l *Link, ages []byte, sentAt, now time.Time) {
	for i, units := range ages {
		if i >= len(l.peerIndex) || units == unconfirmed {
			continue
		}
		node := l.peerIndex[i]
		confirmedAt := sentAt.Add(-time.Duration(units) * AgeUnit)
		k, told := l.acked[node]
		if !told {
			continue
		}
		if s := t.sections[node]; s != nil && s != t.own && s.position == k.position {
			s.confirm(confirmedAt, now)
		}
		if confirmedAt.After(k.confirmedAt) {
			k.confirmedAt = confirmedAt
			l.acked[node] = k
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
