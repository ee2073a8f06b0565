package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/peer/gossip"
	peerrelay "almondbay.example/internal/peer/relay"
)

const (
	// sourceSlack is how much older than its own wait for a change the reading of
	// the node that this one hears from may be: a slow call of the store.
	sourceSlack = 250 * time.Millisecond
	// sourceMaxWait and sourceMargin bound an answer of that node, so that a
	// configuration is in force in time though the node has stopped.
	sourceMaxWait = 500 * time.Millisecond
	sourceMargin  = 300 * time.Millisecond
	// avoidFor is how long that node is not asked after it failed: until it no
	// longer counts as alive.
	avoidFor = 2 * time.Second
	// vantagePoints is the number of nodes that must ask a server in vain.
	vantagePoints = 4
	// lookers is the number of nodes that are asked to.
	lookers = 5
)

// addFeed assembles how tables are read: by one node of the failure domain,
// from which the others hear.
func (n *Node) addFeed() {
	c := n.config
	n.logs = map[string]*peerrelay.Log{
		c.Codec.ServersTable:       peerrelay.NewLog(n.serverDiffers),
		c.Codec.ConfigurationTable: peerrelay.NewLog(nil),
		nodesTable:                 peerrelay.NewLog(nil),
	}
	n.peers = peerrelay.NewClient(peerrelay.ClientConfig{Port: c.Settings.PeerPort, Dial: c.Dial})
	n.feed = peerrelay.NewFeed(peerrelay.FeedConfig{
		Clock:          c.Clock,
		Store:          c.Store,
		Client:         n.peers,
		Logs:           n.logs,
		Source:         n.source,
		AgeSlack:       sourceSlack,
		MaxWait:        sourceMaxWait,
		ResponseMargin: sourceMargin,
		SourceBackoff:  avoidFor,
	})
}

// serverDiffers reports whether two registrations differ in more than their
// heartbeat.
func (n *Node) serverDiffers(old, next []byte) bool {
	a, b := n.config.Codec.DecodeServer("", old), n.config.Codec.DecodeServer("", next)
	if a == nil || b == nil {
		return true
	}
	return registry.Differs(*a, *b)
}

// relayDegree is the number of nodes that hear from one node directly: a root
// and two levels below it are 73 nodes.
const relayDegree = 8

// source returns the address of the node that this one hears from and the
// number of hops to the store; the address is empty if this node reads the store
// for the failure domain. The nodes form a tree with the strongest at its root.
func (n *Node) source(avoid func(address string) bool) (address string, hops int) {
	tree := slices.DeleteFunc(n.ranked(), func(p gossip.Peer) bool { return p.StoreUnreachable || avoid(p.Address) })
	place := n.place(tree)
	switch {
	case len(tree) == 0 || place == 0:
		return "", 0
	case place < 0:
		// A node that can't read the store hears from any that can.
		parent := int(rank(n.self()) % uint64(len(tree)))
		return tree[parent].Address, depth(parent) + 1
	default:
		return tree[(place-1)/relayDegree].Address, depth(place)
	}
}

// lookouts is the number of nodes of a failure domain that go on asking for the
// store while none of them reaches it: one, and one in case it dies.
const lookouts = 2

// hold reports whether this node may leave it to others to find the store again:
// no node of its failure domain reaches it, and others look out.
func (n *Node) hold() bool {
	ranked := n.ranked()
	sighted := slices.ContainsFunc(ranked, func(p gossip.Peer) bool { return !p.StoreUnreachable })
	return !sighted && n.place(ranked) >= lookouts
}

// ranked returns the live nodes of this failure domain, the strongest first.
func (n *Node) ranked() []gossip.Peer {
	peers := n.members.Alive(n.config.Settings.FailureDomain, n.config.Clock.Now())
	self := n.self()
	self.StoreUnreachable = n.blind()
	peers = append(peers, self)
	ranks := make(map[string]uint64, len(peers))
	for _, p := range peers {
		ranks[p.Node] = rank(p)
	}
	slices.SortFunc(peers, func(a, b gossip.Peer) int {
		return cmp.Or(-cmp.Compare(a.Capacity, b.Capacity), cmp.Compare(ranks[a.Node], ranks[b.Node]))
	})
	return peers
}

// place returns the place of this node in a list, or a negative number.
func (n *Node) place(peers []gossip.Peer) int {
	return slices.IndexFunc(peers, func(p gossip.Peer) bool { return p.Node == n.config.Settings.Node })
}

// depth returns the number of hops from a place of the tree to its root.
func depth(place int) int {
	hops := 0
	for ; place > 0; hops++ {
		place = (place - 1) / relayDegree
	}
	return hops
}

// rank spreads nodes of equal strength over the places of the tree.
func rank(p gossip.Peer) uint64 {
	return xxhash.Sum64String("source/" + p.Node)
}

// blind reports whether this node can't reach the store at the moment, as far as
// it knows.
func (n *Node) blind() bool {
	return n.store.troubled()
}

// look has nodes of all failure domains ask a server for its state.
func (n *Node) look(ctx context.Context, s registry.Server) control.ProbeResult {
	var mu sync.Mutex
	var v control.ProbeResult
	note := func(failureDomain string, state control.State, reached bool) {
		mu.Lock()
		defer mu.Unlock()

		v.Probed++
		if failureDomain == s.FailureDomain {
			v.SameDomain++
		}
		if reached {
			v.Reached = true
			v.State = state
		}
	}
	var group errgroup.Group
	group.Go(func() error {
		asking, cancel := context.WithTimeout(ctx, peerrelay.ProbeTimeout)
		defer cancel()
		state, err := n.config.Orders.QueryState(asking, s)
		note(n.config.Settings.FailureDomain, state, err == nil)
		return nil
	})
	for _, p := range n.lookers() {
		group.Go(func() error {
			state, reached, err := n.peers.ProbeServer(ctx, p.Address, s)
			if err != nil {
				// A node that can't be asked tells nothing.
				n.journal.stepFailed(err, 1)
				return nil
			}
			note(p.FailureDomain, state, reached)
			return nil
		})
	}
	// Questions report their failures by themselves.
	_ = group.Wait()
	return v
}

// lookers returns a few live nodes at random, of as many failure domains as
// there are.
func (n *Node) lookers() []gossip.Peer {
	alive := n.members.Alive("", n.config.Clock.Now())
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	var chosen, rest []gossip.Peer
	seen := map[string]bool{}
	for _, p := range alive {
		if seen[p.FailureDomain] {
			rest = append(rest, p)
			continue
		}
		seen[p.FailureDomain] = true
		chosen = append(chosen, p)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(lookers, len(chosen))]
}
