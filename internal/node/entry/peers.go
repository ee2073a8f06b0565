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
	// sourceAgeSlack is how far the age of a source node's data may exceed the
	// wait for a change. It allows for one slow call to the store.
	sourceAgeSlack = 250 * time.Millisecond
	// sourceMaxWait and sourceResponseMargin limit the wait for a response of the
	// source node, so that a configuration takes effect in time even if that node
	// has stopped.
	sourceMaxWait        = 500 * time.Millisecond
	sourceResponseMargin = 300 * time.Millisecond
	// sourceStartWait covers the reads of a source and of its own source, which have
	// started at the same time.
	sourceStartWait = time.Second
	// sourceBackoff is how long a source node is avoided after a failure. By then
	// a dead node no longer counts as alive.
	sourceBackoff = 2 * time.Second
	// maxProbers is the number of peers that are asked to probe a server.
	maxProbers = 5
	// maxReferences is the number of servers by which a node finds out whether it reaches
	// a failure domain; a second one, in case the first has just ended.
	maxReferences = 2
)

// addFeed sets up the reading of tables: one node of the failure domain reads
// them from the store and relays them to the others.
func (n *Node) addFeed() {
	c := n.config
	n.tableLogs = map[string]*peerrelay.Log{
		c.Codec.ServersTable:       peerrelay.NewLog(peerrelay.ValuePolicy{Decode: n.decodeServer, Differs: serverDiffers, Supersedes: serverSupersedes}),
		c.Codec.ConfigurationTable: peerrelay.NewLog(peerrelay.ValuePolicy{Decode: n.decodeConfigurationVersion, Supersedes: configurationSupersedes}),
		nodesTable:                 peerrelay.NewLog(peerrelay.ValuePolicy{}),
	}
	n.peerClient = peerrelay.NewClient(peerrelay.ClientConfig{Port: c.Settings.PeerPort, Dial: c.Dial})
	n.feed = peerrelay.NewFeed(peerrelay.FeedConfig{
		Clock:          c.Clock,
		Store:          c.Store,
		Client:         n.peerClient,
		Logs:           n.tableLogs,
		Source:         n.source,
		Witness:        n.witness,
		OnWitnessError: func(err error) { n.eventLog.stepFailed(err, 1) },
		AgeSlack:       sourceAgeSlack,
		MaxWait:        maxSourceWait,
		StartWait:      sourceStartWait,
		ResponseMargin: sourceResponseMargin,
		SourceBackoff:  sourceBackoff,
	})
}

// maxSourceWait limits the wait for a change of a table at a source node. Peers
// that send messages are known without the nodes table, so it may be older than
// the others.
func maxSourceWait(table string) time.Duration {
	if table == nodesTable {
		return nodesWait
	}
	return sourceMaxWait
}

// decodeServer decodes a registration; the result is a nil pointer if it can't be decoded.
func (n *Node) decodeServer(value []byte) any {
	return n.config.Codec.DecodeServer("", value)
}

// serverDiffers reports whether two registrations differ in more than the
// heartbeat. Registrations that can't be decoded count as different.
func serverDiffers(old, next any) bool {
	a, b := old.(*registry.Server), next.(*registry.Server)
	return a == nil || b == nil || registry.Differs(*a, *b)
}

// serverSupersedes reports whether a registration is newer than another one. One that can't
// be decoded is no registration, so the order of the store decides.
func serverSupersedes(old, next any) bool {
	a, b := old.(*registry.Server), next.(*registry.Server)
	return a == nil || b == nil || b.Supersedes(*a)
}

// relayFanout is the number of nodes that read from one node directly. A root and
// two levels below it hold 73 nodes.
const relayFanout = 8

// source returns the address of the node that this one reads from and the number
// of hops to the node that reads the store. The address is empty if this node
// itself reads the store for the failure domain. The nodes form a tree in
// descending order of capacity.
func (n *Node) source(avoid func(address string) bool) (address string, hops int) {
	tree := slices.DeleteFunc(n.rankedPeers(), func(p gossip.Peer) bool { return p.StoreUnreachable || avoid(p.Address) })
	position := n.position(tree)
	switch {
	case len(tree) == 0 || position == 0:
		return "", 0
	case position < 0:
		// A node that can't reach the store is not part of the tree and reads from
		// any node of it.
		parent := int(nodeHash(n.self()) % uint64(len(tree)))
		return tree[parent].Address, depth(parent) + 1
	default:
		return tree[(position-1)/relayFanout].Address, depth(position)
	}
}

// witness returns the address of a random live node: for the numbers below two of this
// failure domain, for others of another one, as all of this one may have just started. It
// takes one of the other kind if there is none.
func (n *Node) witness(number int) string {
	const ofOwnDomain = 2
	var own, others []string
	for _, p := range n.peers.Callable(n.config.Clock.Now()) {
		if p.FailureDomain == n.config.Settings.FailureDomain {
			own = append(own, p.Address)
		} else {
			others = append(others, p.Address)
		}
	}
	if len(own) == 0 || number >= ofOwnDomain && len(others) > 0 {
		own = others
	}
	if len(own) == 0 {
		return ""
	}
	return own[rand.IntN(len(own))]
}

// storeProbers is the number of nodes of a failure domain that retry the store
// while none of them reaches it: one, and a second in case the first dies.
const storeProbers = 2

// deferToPeers reports whether this node may suspend its calls to the store: no
// node of its failure domain reaches it, and storeProbers other nodes retry.
func (n *Node) deferToPeers() bool {
	ranked := n.rankedPeers()
	reachable := slices.ContainsFunc(ranked, func(p gossip.Peer) bool { return !p.StoreUnreachable })
	return !reachable && n.position(ranked) >= storeProbers
}

// rankedPeers returns the live nodes of this failure domain, including this one,
// in descending order of capacity; a hash of the name orders equal ones.
func (n *Node) rankedPeers() []gossip.Peer {
	peers := n.peers.Alive(n.config.Settings.FailureDomain, n.config.Clock.Now())
	self := n.self()
	self.StoreUnreachable = n.storeUnreachable()
	peers = append(peers, self)
	hashes := make(map[string]uint64, len(peers))
	for _, p := range peers {
		hashes[p.Node] = nodeHash(p)
	}
	slices.SortFunc(peers, func(a, b gossip.Peer) int {
		return cmp.Or(-cmp.Compare(a.Capacity, b.Capacity), cmp.Compare(hashes[a.Node], hashes[b.Node]))
	})
	return peers
}

// position returns the index of this node in a list, or a negative number.
func (n *Node) position(peers []gossip.Peer) int {
	return slices.IndexFunc(peers, func(p gossip.Peer) bool { return p.Node == n.config.Settings.Node })
}

// depth returns the number of hops from a position in the tree to its root.
func depth(position int) int {
	hops := 0
	for ; position > 0; hops++ {
		position = (position - 1) / relayFanout
	}
	return hops
}

// nodeHash orders nodes of equal capacity in the tree.
func nodeHash(p gossip.Peer) uint64 {
	return xxhash.Sum64String("source/" + p.Node)
}

// storeUnreachable reports whether the last call to the store recently got no
// response.
func (n *Node) storeUnreachable() bool {
	return n.store.unreachable()
}

// probeHead queries the state of a server from this node and from peers in all
// failure domains, and combines the results.
func (n *Node) probeHead(ctx context.Context, s registry.Server) control.ProbeResult {
	var mu sync.Mutex
	var result control.ProbeResult
	record := func(reply peerrelay.ProbeReply) {
		mu.Lock()
		defer mu.Unlock()

		result.Probed++
		switch {
		case reply.Reached:
			result.Replies = append(result.Replies, reply.State)
		case reply.Refused:
			result.Refused++
		case reply.Unclear:
			result.Unclear++
		case reply.Witnessed:
			result.Witnesses++
		}
	}
	if s.Address == "" {
		// Nobody knows where to probe it.
		return result
	}
	var group errgroup.Group
	group.Go(func() error {
		record(n.prober().Probe(ctx, s))
		return nil
	})
	for _, p := range n.probers() {
		group.Go(func() error {
			reply, err := n.peerClient.ProbeServer(ctx, p.Address, s)
			if err != nil {
				// A peer that does not respond says nothing about the server.
				n.eventLog.stepFailed(err, 1)
				return nil
			}
			record(reply)
			return nil
		})
	}
	// Probes log their failures and return no errors.
	_ = group.Wait()
	return result
}

// prober returns the means to query the state of a server from this node.
func (n *Node) prober() peerrelay.Prober {
	return peerrelay.Prober{QueryState: n.config.Orders.QueryState, References: n.references}
}

// references returns up to maxReferences other registered servers of a server's failure
// domain, in random order.
func (n *Node) references(s registry.Server) []registry.Server {
	var all []registry.Server
	for _, r := range n.registrations.View(n.config.Clock.Now()).Servers {
		if r.FailureDomain == s.FailureDomain && r.ID != s.ID && r.Address != s.Address && r.MissingSince.IsZero() {
			all = append(all, r.Server)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(maxReferences, len(all))]
}

// probers returns up to maxProbers random peers, one of each failure domain first.
func (n *Node) probers() []gossip.Peer {
	callable := n.peers.Callable(n.config.Clock.Now())
	rand.Shuffle(len(callable), func(i, j int) { callable[i], callable[j] = callable[j], callable[i] })
	var chosen, rest []gossip.Peer
	seen := map[string]bool{}
	for _, p := range callable {
		if seen[p.FailureDomain] {
			rest = append(rest, p)
			continue
		}
		seen[p.FailureDomain] = true
		chosen = append(chosen, p)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(maxProbers, len(chosen))]
}
