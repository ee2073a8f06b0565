// Package gossip tells the other nodes what this one has in flight and what it
// saw, by datagrams that may be lost: each one holds all there is to tell, so
// that the next makes up for it.
//
// Nodes of one failure domain hear of each other directly. One node of each
// failure domain tells those of the others what its whole failure domain has in
// flight, less often, since traffic between failure domains is dear.
package gossip

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("gossip")

// Peer is another node.
type Peer struct {
	Node          string
	FailureDomain string
	// Address is the peer's IP address.
	Address string
	// Capacity is the peer's processor share, in cores.
	Capacity float64
	// StoreUnreachable is set while the peer says that it can't read the store.
	StoreUnreachable bool
}

// Lease is the row of a lease as its holder last wrote it.
type Lease struct {
	FailureDomain string
	Holder        string
	Term          uint64
	// Sequence grows with each write of the row.
	Sequence uint64
	Duration time.Duration
	// Version is the version of the row in the store.
	Version uint64
}

// Message is what one node tells another.
type Message struct {
	Node          string
	FailureDomain string
	// Address is where the message came from; it is not sent.
	Address string
	// Capacity is the node's processor share, in cores.
	Capacity float64
	// Incarnation tells two starts of the same node apart.
	Incarnation int64
	// Sequence grows with each message of an incarnation.
	Sequence uint64
	// Loads holds this node's requests in flight by head.
	Loads map[string]int
	// DomainLoads holds those of the whole failure domain; set only in messages
	// between failure domains.
	DomainLoads map[string]int
	// Progressed lists heads whose answers this node saw move since its last message.
	Progressed []string
	// Stalled lists heads that this node saw stand still.
	Stalled []string
	// Demand holds this node's demand for each model, in slots; DomainDemand
	// that of the whole failure domain, between failure domains.
	Demand       map[string]float64
	DomainDemand map[string]float64
	// Leases holds the leases that the node holds, so that those that wait for
	// them needn't read the store.
	Leases []Lease
	// Leaving is set once the node is stopping.
	Leaving bool
	// StoreUnreachable is set while the node can't read the store.
	StoreUnreachable bool
}

// Config configures Members.
type Config struct {
	Self Peer
	// Interval is the least time between two messages to each peer of the
	// failure domain.
	Interval time.Duration
	// IntervalPerPeer is the least interval for each peer, so that the messages that a
	// node takes in do not grow with the number of peers.
	IntervalPerPeer time.Duration
	// DeadAfter is the silence after which a peer no longer counts as alive; a
	// multiple of its interval at least.
	DeadAfter time.Duration
}

// member is what is known of a peer.
type member struct {
	Peer
	incarnation int64
	sequence    uint64
	heardAt     time.Time
	leaving     bool
	demand      map[string]float64
}

// Members holds the peers. It is safe for use by several goroutines.
type Members struct {
	config Config

	mu      sync.Mutex
	members map[string]*member
}

// NewMembers returns a set without peers.
func NewMembers(c Config) *Members {
	return &Members{config: c, members: map[string]*member{}}
}

// SetPeers replaces the known peers, as the platform's table names them.
func (s *Members) SetPeers(peers []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()

	next := make(map[string]*member, len(peers))
	for _, p := range peers {
		if p.Node == s.config.Self.Node {
			continue
		}
		m, ok := s.members[p.Node]
		if !ok || m.Address != p.Address {
			m = &member{}
		}
		p.StoreUnreachable = m.StoreUnreachable
		m.Peer = p
		next[p.Node] = m
	}
	s.members = next
}

// Record takes in a message. It returns false for one that is older than
// another of the same node. A node that is not known yet counts as a peer until
// the platform's table is read again, so that a node that starts while the store
// is away finds the others; without an address it is ignored.
func (s *Members) Record(m Message, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	p, ok := s.members[m.Node]
	switch {
	case !ok && (m.Address == "" || m.Node == s.config.Self.Node):
		return false
	case !ok:
		p = &member{Peer: Peer{Node: m.Node, FailureDomain: m.FailureDomain, Address: m.Address, Capacity: m.Capacity}}
		s.members[m.Node] = p
	case m.Incarnation == p.incarnation && m.Sequence <= p.sequence:
		return false
	}
	// A VM that was off may count its incarnations anew.
	if m.Incarnation < p.incarnation && now.Sub(p.heardAt) <= s.deadAfter() {
		return false
	}
	p.incarnation = m.Incarnation
	p.sequence = m.Sequence
	p.heardAt = now
	p.leaving = m.Leaving
	p.StoreUnreachable = m.StoreUnreachable
	if m.DomainLoads == nil {
		p.demand = m.Demand
	}
	return true
}

// Alive returns the peers that were heard of lately, by name. Of all peers it
// returns those of one failure domain if that is not empty.
func (s *Members) Alive(failureDomain string, now time.Time) []Peer {
	return s.list(func(m *member) bool {
		return !m.leaving && now.Sub(m.heardAt) <= s.deadAfter() &&
			(failureDomain == "" || m.FailureDomain == failureDomain)
	})
}

// ReceivedFrom reports whether a node was heard of lately.
func (s *Members) ReceivedFrom(node string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	m, ok := s.members[node]
	return ok && now.Sub(m.heardAt) <= s.deadAfter()
}

// Known returns all peers of a failure domain, by name.
func (s *Members) Known(failureDomain string) []Peer {
	return s.list(func(m *member) bool { return m.FailureDomain == failureDomain })
}

// Remote returns all peers of other failure domains, by name.
func (s *Members) Remote() []Peer {
	return s.list(func(m *member) bool { return m.FailureDomain != s.config.Self.FailureDomain })
}

// Count returns the number of nodes, this one included.
func (s *Members) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.members) + 1
}

// Demand adds up what the live peers of a failure domain say of the demand for
// each model.
func (s *Members) Demand(failureDomain string, now time.Time) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	sum := map[string]float64{}
	for _, m := range s.members {
		if m.FailureDomain != failureDomain || now.Sub(m.heardAt) > s.deadAfter() {
			continue
		}
		for model, rate := range m.demand {
			sum[model] += rate
		}
	}
	return sum
}

func (s *Members) list(keep func(*member) bool) []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()

	var peers []Peer
	for _, m := range s.members {
		if keep(m) {
			peers = append(peers, m.Peer)
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Node, b.Node) })
	return peers
}

// deadAfter is called with mu held or on a fixed configuration.
func (s *Members) deadAfter() time.Duration {
	return max(s.config.DeadAfter, 4*s.interval())
}

func (s *Members) interval() time.Duration {
	near := 0
	for _, m := range s.members {
		if m.FailureDomain == s.config.Self.FailureDomain {
			near++
		}
	}
	return max(s.config.Interval, time.Duration(near)*s.config.IntervalPerPeer)
}

// Interval returns the time between two messages to the own failure domain.
func (s *Members) Interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.interval()
}

// IsReporter tells whether this node speaks for its failure domain: the first by
// name of those that are alive.
func (s *Members) IsReporter(now time.Time) bool {
	for _, p := range s.Alive(s.config.Self.FailureDomain, now) {
		if p.Node < s.config.Self.Node {
			return false
		}
	}
	return true
}
