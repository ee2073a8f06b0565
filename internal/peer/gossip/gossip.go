// Package gossip exchanges UDP datagrams in which nodes report their requests in
// flight, the heads that they found progressing or stalled, their demand and the
// leases that they hold. Datagrams may be lost, so each one holds the complete
// state and the next one replaces it; evidence against requests is sent in several.
//
// In a small failure domain every node sends to every other. In a larger one the
// nodes send to a collector, one of them, which answers with a digest of all
// reports, so that the number of datagrams grows with the number of nodes and not
// with its square. One node of each failure domain reports the totals of its
// failure domain to the nodes of the others, less often, since traffic between
// failure domains is expensive.
package gossip

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"almondbay.example/internal/routing/quarantine"
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
	// StoreUnreachable is set while the peer reports that it can't reach the store.
	StoreUnreachable bool
}

// Lease is the row of a lease as its holder wrote it last.
type Lease struct {
	FailureDomain string
	Holder        string
	Term          uint64
	// Sequence increases with each write of the row.
	Sequence uint64
	Duration time.Duration
	// Version is the version of the row in the store.
	Version uint64
}

// Message is the state that one node sends to another.
type Message struct {
	Node          string
	FailureDomain string
	// Address is the sender's IP address. The receiver sets it; it is not sent.
	Address string
	// Capacity is the node's processor share, in cores.
	Capacity float64
	// Incarnation distinguishes restarts of the same node; later ones are higher.
	Incarnation int64
	// Sequence increases with each message of an incarnation.
	Sequence uint64
	// Loads holds the sender's requests in flight by head.
	Loads map[string]int
	// DomainLoads holds the requests in flight of the sender's failure domain by
	// head. It is set only in messages between failure domains.
	DomainLoads map[string]int
	// Progressed lists the heads that have sent response data since the sender's
	// last message.
	Progressed []string
	// Stalled lists the heads that the sender found stalled.
	Stalled []string
	// Demand holds the sender's demand for each model, in slots. DomainDemand holds
	// that of its failure domain and is set only between failure domains.
	Demand       map[string]float64
	DomainDemand map[string]float64
	// Leases lists the leases that the sender holds, so that other candidates need
	// not read them from the store.
	Leases []Lease
	// Evidence lists news about requests that crash servers.
	Evidence []quarantine.Evidence
	// Leaving is set once the sender is shutting down.
	Leaving bool
	// StoreUnreachable is set while the sender can't reach the store.
	StoreUnreachable bool
	// Digest is set in messages of a collector.
	Digest *Digest
}

// Config configures PeerSet.
type Config struct {
	Self Peer
	// Interval is the minimum time between two messages to the same peer of the
	// failure domain.
	Interval time.Duration
	// IntervalPerPeer, multiplied by the number of peers in the failure domain, is
	// another lower bound of that interval, so that the rate of received messages
	// does not grow with the number of peers.
	IntervalPerPeer time.Duration
	// DeadAfter is the time without messages after which a peer no longer counts as
	// alive. At least four intervals are allowed.
	DeadAfter time.Duration
	// MeshPeers is the maximum number of peers in the failure domain that all send
	// to each other; a collector serves more of them. Zero stands for any number.
	MeshPeers int
	// CollectInterval is the minimum time between two messages to a collector, and
	// between two of its digests. CollectIntervalPerPeer, multiplied by the number of
	// peers in the failure domain, is another lower bound of it, so that the rate of
	// messages at the collector does not grow with the number of peers.
	CollectInterval        time.Duration
	CollectIntervalPerPeer time.Duration
	// CollectorTimeout is the time without digests after which a node reports to
	// another collector.
	CollectorTimeout time.Duration
}

// peerState is the last known state of a peer.
type peerState struct {
	Peer
	incarnation   int64
	sequence      uint64
	lastMessageAt time.Time
	leaving       bool
	demand        map[string]float64
	// heardAt is when the peer itself last sent a message; lastMessageAt also
	// counts messages that a collector received.
	heardAt time.Time
	// reportedAt is when the peer last sent a report of its own to this node.
	reportedAt time.Time
	// order is the peer's place among the candidates for collector.
	order collectorOrder
}

// PeerSet is the set of known peers. It is safe for concurrent use.
type PeerSet struct {
	config Config

	mu    sync.Mutex
	peers map[string]*peerState
	// localPeers is the number of peers in the failure domain of this node.
	localPeers int
	// collector is the state of the choice of a collector.
	collector collectorState
	// domainReportAt is when the report of each other failure domain was last
	// received, by this node or by a collector that passed it on.
	domainReportAt map[string]time.Time
}

// NewPeerSet returns an empty set.
func NewPeerSet(c Config) *PeerSet {
	return &PeerSet{
		config: c, peers: map[string]*peerState{}, domainReportAt: map[string]time.Time{},
		collector: collectorState{self: newCollectorOrder(c.Self), silent: map[string]time.Time{}},
	}
}

// SetPeers replaces the known peers by those of the nodes table. Peers that keep
// their address keep their state.
func (s *PeerSet) SetPeers(peers []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()

	old := s.peers
	s.peers = make(map[string]*peerState, len(peers))
	s.localPeers = 0
	for _, p := range peers {
		if p.Node == s.config.Self.Node {
			continue
		}
		m, ok := old[p.Node]
		if !ok || m.Address != p.Address {
			m = &peerState{}
		}
		p.StoreUnreachable = m.StoreUnreachable
		m.Peer = p
		s.add(m)
	}
}

// add adds a peer that is not in the set. It is called with mu held.
func (s *PeerSet) add(p *peerState) {
	s.peers[p.Node] = p
	p.order = newCollectorOrder(p.Peer)
	if p.FailureDomain == s.config.Self.FailureDomain {
		s.localPeers++
	}
}

// Record records a message and returns false if it is ignored, such as one that is
// older than another of the same node. An unknown sender with an address counts as
// a peer until the next call of SetPeers, so that a node that starts while the
// store is unreachable discovers its peers.
func (s *PeerSet) Record(m Message, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	p, ok := s.peers[m.Node]
	switch {
	case !ok && (m.Address == "" || m.Node == s.config.Self.Node):
		return false
	case !ok:
		p = &peerState{Peer: Peer{Node: m.Node, FailureDomain: m.FailureDomain, Address: m.Address, Capacity: m.Capacity}}
		s.add(p)
	case m.Incarnation == p.incarnation && m.Sequence <= p.sequence:
		return false
	}
	// The incarnation is the start time on the clock of the VM's uptime, so it may
	// be lower after the VM has rebooted.
	if m.Incarnation < p.incarnation && s.recent(p.lastMessageAt, now) {
		return false
	}
	p.incarnation = m.Incarnation
	p.sequence = m.Sequence
	p.lastMessageAt = now
	p.heardAt = now
	p.leaving = m.Leaving
	p.StoreUnreachable = m.StoreUnreachable
	switch {
	case m.DomainLoads != nil:
		s.domainReportAt[m.FailureDomain] = now
	case m.Digest == nil:
		p.demand = m.Demand
		p.reportedAt = now
	}
	return true
}

// Alive returns the live peers in the order of their names: those that sent a
// message recently and are not leaving. A failure domain that is not empty
// restricts the result.
func (s *PeerSet) Alive(failureDomain string, now time.Time) []Peer {
	return s.list(func(m *peerState) bool {
		return !m.leaving && s.recent(m.lastMessageAt, now) &&
			(failureDomain == "" || m.FailureDomain == failureDomain)
	})
}

// Callable returns the peers that probably answer a call, in the order of their
// names: the live ones, and those of live failure domains whose nodes report only
// to their collector, so that this node never hears them.
func (s *PeerSet) Callable(now time.Time) []Peer {
	return s.list(func(p *peerState) bool {
		if p.leaving {
			return false
		}
		if p.lastMessageAt.IsZero() {
			return s.recent(s.domainReportAt[p.FailureDomain], now)
		}
		return s.recent(p.lastMessageAt, now)
	})
}

// HasLive reports whether a failure domain has live nodes: one that was heard
// recently, or that sent a recent report of its failure domain to a collector.
func (s *PeerSet) HasLive(failureDomain string, now time.Time) bool {
	if len(s.Alive(failureDomain, now)) > 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.recent(s.domainReportAt[failureDomain], now)
}

// ReceivedFrom reports whether a node sent a message recently, even if it is
// leaving.
func (s *PeerSet) ReceivedFrom(node string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	m, ok := s.peers[node]
	return ok && s.recent(m.lastMessageAt, now)
}

// Known returns all peers of a failure domain, dead or alive, in the order of their
// names.
func (s *PeerSet) Known(failureDomain string) []Peer {
	return s.list(func(m *peerState) bool { return m.FailureDomain == failureDomain })
}

// Remote returns all peers of other failure domains, dead or alive, in the order of
// their names.
func (s *PeerSet) Remote() []Peer {
	return s.list(func(m *peerState) bool { return m.FailureDomain != s.config.Self.FailureDomain })
}

// Count returns the number of nodes, this one included.
func (s *PeerSet) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.peers) + 1
}

// Demand returns the total demand for each model, in slots, that peers of a failure
// domain reported recently.
func (s *PeerSet) Demand(failureDomain string, now time.Time) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	if failureDomain == s.config.Self.FailureDomain && s.digestIsRecent(now) {
		return maps.Clone(s.collector.demand)
	}
	sum := map[string]float64{}
	for _, m := range s.peers {
		if m.FailureDomain != failureDomain || !s.recent(m.heardAt, now) {
			continue
		}
		for model, slots := range m.demand {
			sum[model] += slots
		}
	}
	return sum
}

// list returns the matching peers in the order of their names.
func (s *PeerSet) list(keep func(*peerState) bool) []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()

	var peers []Peer
	for _, m := range s.peers {
		if keep(m) {
			peers = append(peers, m.Peer)
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Node, b.Node) })
	return peers
}

// deadAfter returns the effective time without messages after which a peer counts
// as dead. It is called with mu held.
func (s *PeerSet) deadAfter() time.Duration {
	return max(s.config.DeadAfter, 4*s.interval())
}

// recent reports whether something that happened at a time shows that its sender is
// alive. It is called with mu held.
func (s *PeerSet) recent(at, now time.Time) bool {
	return now.Sub(at) <= s.deadAfter()
}

// interval is called with mu held.
func (s *PeerSet) interval() time.Duration {
	if s.hasCollector() {
		return max(s.config.CollectInterval, time.Duration(s.localPeers)*s.config.CollectIntervalPerPeer)
	}
	return max(s.config.Interval, time.Duration(s.localPeers)*s.config.IntervalPerPeer)
}

// Interval returns the time between two messages to the peers of this node's
// failure domain.
func (s *PeerSet) Interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.interval()
}

// MaxLoadAge returns the age up to which the loads that the nodes of the failure
// domain report are usual: an interval for each message on their way.
func (s *PeerSet) MaxLoadAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.hasCollector() && s.collector.node != s.config.Self.Node {
		return 2 * s.interval()
	}
	return s.interval()
}

// IsReporter reports whether this node sends the reports of its failure domain to
// the others: it is its collector or, if all nodes send to each other, the first
// by name of the live nodes.
func (s *PeerSet) IsReporter(now time.Time) bool {
	if collects, ok := s.IsCollector(now); ok {
		return collects
	}
	for _, p := range s.Alive(s.config.Self.FailureDomain, now) {
		if p.Node < s.config.Self.Node {
			return false
		}
	}
	return true
}
