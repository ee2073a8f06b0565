package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest sums up the reports that a collector has received from the nodes of its
// failure domain, and its own.
type Digest struct {
	// Members lists the live nodes, without the sender. It is empty in most digests,
	// since it is the larger part of one and seldom changes.
	Members []Member
	// Sequences holds the sequence number of the newest report of each node that the
	// digest includes.
	Sequences map[string]uint64
	// Loads is the number of requests in flight by head, including those of the
	// receiver as of its report in Sequences.
	Loads map[string]int
	// Demand is the demand for each model, in slots.
	Demand map[string]float64
	// Remote holds the reports of the other failure domains.
	Remote map[string]DomainReport
}

// DomainReport is what the reporter of a failure domain told about it.
type DomainReport struct {
	Loads  map[string]int
	Demand map[string]float64
	// ReceivedAt is when a node of this failure domain received it.
	ReceivedAt time.Time
}

// Member is a node as a collector sees it.
type Member struct {
	Node     string
	Address  string
	Capacity float64
	// Age is the time since a message of the node was received.
	Age              time.Duration
	Leaving          bool
	StoreUnreachable bool
}

// collectorState is the choice of a collector and what its digests said.
type collectorState struct {
	// self is the place of this node among the candidates.
	self collectorOrder
	// node is the collector in use; this node itself or empty for none.
	node string
	// chosenAt is when node was chosen.
	chosenAt time.Time
	// silent holds when each peer was given up as a collector.
	silent map[string]time.Time
	// digestAt is when the last digest of node was received.
	digestAt time.Time
	// demand is the demand of the other nodes, from that digest.
	demand map[string]float64
	// membersAt is when this node last listed the members in a digest.
	membersAt time.Time
}

// hasCollector reports whether the failure domain is too large for its nodes to all
// send to each other. It is called with mu held.
func (s *PeerSet) hasCollector() bool {
	return s.config.MeshPeers > 0 && s.localPeers > s.config.MeshPeers
}

// Collector returns the name of the collector of this node's failure domain, as far
// as it knows. It is empty if all nodes of the failure domain send to each other.
func (s *PeerSet) Collector(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()

	if !s.hasCollector() {
		return ""
	}
	return s.chooseCollector(now)
}

// IsCollector reports whether this node is the collector of its failure domain, as
// far as it knows. The second result is false if the failure domain has none.
func (s *PeerSet) IsCollector(now time.Time) (collects, ok bool) {
	name := s.Collector(now)
	return name == s.config.Self.Node, name != ""
}

// ReportReceivers returns the peers to send this node's reports to: the collector,
// or all known peers of the failure domain if it has none. It returns none if this
// node is the collector.
func (s *PeerSet) ReportReceivers(now time.Time) []Peer {
	s.mu.Lock()
	if !s.hasCollector() {
		s.mu.Unlock()
		return s.Known(s.config.Self.FailureDomain)
	}
	defer s.mu.Unlock()

	name := s.chooseCollector(now)
	if p, ok := s.peers[name]; ok {
		return []Peer{p.Peer}
	}
	return nil
}

// DigestReceivers returns the peers to send a digest to: all known peers of the
// failure domain if this node is its collector, otherwise those that reported to
// this node recently, since they may not hear the collector.
func (s *PeerSet) DigestReceivers(now time.Time) []Peer {
	collects, ok := s.IsCollector(now)
	switch {
	case !ok:
		return nil
	case collects:
		return s.Known(s.config.Self.FailureDomain)
	default:
		return s.list(func(p *peerState) bool { return s.reports(p, now) })
	}
}

// DomainReportReceivers returns the peers to send the report of this node's failure
// domain to. In a failure domain with a collector these are its nodes that were
// heard recently, which only its collector is; in any other, all of its nodes.
func (s *PeerSet) DomainReportReceivers(now time.Time) []Peer {
	remote := s.Remote()
	s.mu.Lock()
	defer s.mu.Unlock()

	known, heard := map[string]int{}, map[string]int{}
	isHeard := func(p Peer) bool {
		state, ok := s.peers[p.Node]
		return ok && !state.leaving && s.recent(state.heardAt, now)
	}
	for _, p := range remote {
		known[p.FailureDomain]++
		if isHeard(p) {
			heard[p.FailureDomain]++
		}
	}
	return slices.DeleteFunc(remote, func(p Peer) bool {
		return s.config.MeshPeers > 0 && known[p.FailureDomain] > s.config.MeshPeers+1 && heard[p.FailureDomain] > 0 && !isHeard(p)
	})
}

// membersInterval is the time between two lists of the members in digests. A few of
// them may be lost before a member counts as dead.
const membersInterval = 400 * time.Millisecond

// Digest returns what this node knows of its failure domain, given the loads, its
// own demand and the reports of other failure domains. An urgent digest lists the
// members, since one of them may be new.
func (s *PeerSet) Digest(loads map[string]int, demand map[string]float64, remote map[string]DomainReport, urgent bool, now time.Time) *Digest {
	s.mu.Lock()
	defer s.mu.Unlock()

	collects := s.chooseCollector(now) == s.config.Self.Node
	d := &Digest{Loads: loads, Demand: demand, Remote: remote, Sequences: map[string]uint64{}}
	listMembers := urgent || now.Sub(s.collector.membersAt) >= membersInterval
	if listMembers {
		s.collector.membersAt = now
	}
	for _, p := range s.peers {
		if p.FailureDomain != s.config.Self.FailureDomain || !s.recent(p.lastMessageAt, now) {
			continue
		}
		if collects && s.reports(p, now) {
			d.Sequences[p.Node] = p.sequence
			for model, slots := range p.demand {
				d.Demand[model] += slots
			}
		}
		if listMembers {
			d.Members = append(d.Members, Member{
				Node: p.Node, Address: p.Address, Capacity: p.Capacity,
				Age: now.Sub(p.lastMessageAt), Leaving: p.leaving, StoreUnreachable: p.StoreUnreachable,
			})
		}
	}
	if !collects {
		for model, slots := range s.collector.demand {
			d.Demand[model] += slots
		}
	}
	slices.SortFunc(d.Members, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return d
}

// reports reports whether a peer of the failure domain reports to this node. It is
// called with mu held.
func (s *PeerSet) reports(p *peerState, now time.Time) bool {
	return p.FailureDomain == s.config.Self.FailureDomain && s.recent(p.reportedAt, now)
}

// RecordDigest records the members of a digest, which count as heard, and the
// demand in it, without demand, this node's own. It reports whether the digest is
// that of the collector that this node reports to.
func (s *PeerSet) RecordDigest(m Message, demand map[string]float64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if m.Digest == nil || m.FailureDomain != s.config.Self.FailureDomain {
		return false
	}
	for _, member := range m.Digest.Members {
		s.recordMember(member, now)
	}
	for domain, r := range m.Digest.Remote {
		if r.ReceivedAt.After(s.domainReportAt[domain]) {
			s.domainReportAt[domain] = r.ReceivedAt
		}
	}
	delete(s.collector.silent, m.Node)
	if s.chooseCollector(now) != m.Node {
		return false
	}
	s.collector.digestAt = now
	s.collector.demand = map[string]float64{}
	for model, slots := range m.Digest.Demand {
		s.collector.demand[model] = max(0, slots-demand[model])
	}
	return true
}

// recordMember records that a collector heard a node. It is called with mu held.
func (s *PeerSet) recordMember(m Member, now time.Time) {
	if m.Node == s.config.Self.Node || m.Node == "" || m.Address == "" {
		return
	}
	heard := now.Add(-m.Age)
	p, ok := s.peers[m.Node]
	switch {
	case !ok:
		p = &peerState{Peer: Peer{
			Node: m.Node, FailureDomain: s.config.Self.FailureDomain, Address: m.Address, Capacity: m.Capacity,
		}}
		s.add(p)
	case !heard.After(p.lastMessageAt), p.Address != m.Address:
		return
	}
	p.lastMessageAt = heard
	p.leaving = m.Leaving
	p.StoreUnreachable = m.StoreUnreachable
}

// digestIsRecent reports whether this node has a recent digest of its collector. It
// is called with mu held.
func (s *PeerSet) digestIsRecent(now time.Time) bool {
	return s.collector.node != s.config.Self.Node && s.recent(s.collector.digestAt, now)
}

// chooseCollector returns the name of the collector: of the live nodes, this one
// included, the one of the greatest capacity that was not silent; a hash of the
// name orders equal ones. It is called with mu held.
func (s *PeerSet) chooseCollector(now time.Time) string {
	for {
		best, order := s.config.Self, s.collector.self
		for _, p := range s.peers {
			if p.FailureDomain == best.FailureDomain && s.mayCollect(p, now) && p.order.precedes(order) {
				best, order = p.Peer, p.order
			}
		}
		if best.Node != s.collector.node {
			s.collector.node, s.collector.chosenAt, s.collector.digestAt = best.Node, now, time.Time{}
		}
		last := s.collector.chosenAt
		if s.collector.digestAt.After(last) {
			last = s.collector.digestAt
		}
		if best.Node == s.config.Self.Node || now.Sub(last) <= max(s.config.CollectorTimeout, missedDigests*s.interval()) {
			return best.Node
		}
		s.collector.silent[best.Node] = now
	}
}

// missedDigests is the least number of intervals without a digest after which a
// collector counts as silent.
const missedDigests = 4

// mayCollect reports whether a peer is alive and not known as a silent collector.
// It is called with mu held.
func (s *PeerSet) mayCollect(p *peerState, now time.Time) bool {
	at, silent := s.collector.silent[p.Node]
	return !p.leaving && s.recent(p.lastMessageAt, now) && (!silent || now.Sub(at) > collectorRetry)
}

// collectorRetry is the time after which a silent collector may be chosen again. A
// partition of some seconds is over by then.
const collectorRetry = 5 * time.Second

// collectorOrder orders nodes by their suitability as a collector.
type collectorOrder struct {
	capacity float64
	// hash orders nodes of the same capacity.
	hash uint64
	node string
}

func newCollectorOrder(p Peer) collectorOrder {
	return collectorOrder{capacity: p.Capacity, hash: xxhash.Sum64String("collector/" + p.Node), node: p.Node}
}

// precedes reports whether a node is a better collector than another one.
func (o collectorOrder) precedes(other collectorOrder) bool {
	switch {
	case o.capacity != other.capacity:
		return o.capacity > other.capacity
	case o.hash != other.hash:
		return o.hash < other.hash
	default:
		return o.node < other.node
	}
}
