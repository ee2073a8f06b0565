package entry

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"almondbay.example/internal/peer/gossip"
	peerrelay "almondbay.example/internal/peer/relay"
	"almondbay.example/internal/routing/quarantine"
)

const (
	// contactInterval is the time between two checks which failure domains this node has to
	// learn from.
	contactInterval = 300 * time.Millisecond
	// contactGap is the time without a check after which this node may have missed messages:
	// it was suspended.
	contactGap = time.Second
	// knowledgeTimeout limits the call to a peer for what it knows.
	knowledgeTimeout = 500 * time.Millisecond
	// learnedUptime is the time after its start by which a node has learned from its peers.
	learnedUptime = 5 * time.Second
	// maxKnownMarks bounds what a node tells one that starts: about 1.5 MB.
	maxKnownMarks = 4096
)

// contacts tells which failure domains this node has learned from since it last heard none
// of their nodes: it has missed what they told each other meanwhile. It is used only by the
// loop that runs learnFromPeers.
type contacts struct {
	checkedAt time.Time
	learned   map[string]bool
	// answered holds the addresses of the peers of each failure domain that answered.
	answered map[string][]string
	// failures counts the calls to the peers of each failure domain without an answer.
	failures map[string]int
}

// maxFreshPeers is the number of peers of a failure domain that are asked if each of them has
// just started. All do when the fleet starts.
const maxFreshPeers = 3

// maxContactFailures is the number of calls without an answer after which a failure domain
// counts as learned from: its nodes may all run a build that has no such call.
const maxContactFailures = 20

// learnFromPeers asks a node of each failure domain that this node has come in contact with
// for all that it knows of requests that crash servers. Messages tell only news.
func (n *Node) learnFromPeers(ctx context.Context) error {
	now := n.config.Clock.Now()
	c := &n.contacts
	if c.learned == nil || now.Sub(c.checkedAt) > contactGap {
		c.learned, c.answered, c.failures = map[string]bool{}, map[string][]string{}, map[string]int{}
	}
	byDomain := map[string][]gossip.Peer{}
	for _, p := range n.peers.Callable(now) {
		byDomain[p.FailureDomain] = append(byDomain[p.FailureDomain], p)
	}
	maps.DeleteFunc(c.learned, func(domain string, _ bool) bool { return len(byDomain[domain]) == 0 })
	maps.DeleteFunc(c.answered, func(domain string, _ []string) bool { return len(byDomain[domain]) == 0 })
	maps.DeleteFunc(c.failures, func(domain string, _ int) bool { return len(byDomain[domain]) == 0 })
	var failed error
	for domain, peers := range byDomain {
		if c.learned[domain] {
			continue
		}
		peers = slices.DeleteFunc(peers, func(p gossip.Peer) bool { return slices.Contains(c.answered[domain], p.Address) })
		if len(peers) == 0 || len(c.answered[domain]) >= maxFreshPeers {
			// Probably nobody has been there for long.
			c.learned[domain] = true
			continue
		}
		p := peers[rand.IntN(len(peers))]
		uptime, err := n.learnFrom(ctx, p)
		if err != nil {
			failed = err
			c.failures[domain]++
			c.learned[domain] = c.failures[domain] >= maxContactFailures
			continue
		}
		c.answered[domain] = append(c.answered[domain], p.Address)
		c.learned[domain] = uptime >= learnedUptime
	}
	c.checkedAt = n.config.Clock.Now()
	return failed
}

// learnFrom asks a peer for all that it knows of requests that crash servers, and returns the
// peer's uptime.
func (n *Node) learnFrom(ctx context.Context, p gossip.Peer) (time.Duration, error) {
	callCtx, cancel := context.WithTimeout(ctx, knowledgeTimeout)
	defer cancel()
	k, err := n.peerClient.Knowledge(callCtx, p.Address)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	now := n.config.Clock.Now()
	for _, e := range k.Evidence {
		merged := n.suspects.guard.Merge(e, now)
		if !merged.News {
			continue
		}
		n.noteEvidence(e.Fingerprint, sourcePeer, now)
		if merged.Answered {
			n.tellAll(e.Fingerprint)
		}
	}
	return k.Uptime, nil
}

// knowledge returns all that this node knows of requests that crash servers, first what the
// most crashes count against.
func (n *Node) knowledge() peerrelay.Knowledge {
	now := n.config.Clock.Now()
	k := peerrelay.Knowledge{Evidence: n.suspects.guard.All(now), Uptime: now.Sub(n.startedAt)}
	slices.SortFunc(k.Evidence, func(a, b quarantine.Evidence) int {
		return cmp.Compare(len(b.Observations), len(a.Observations))
	})
	k.Evidence = append(k.Evidence[:min(len(k.Evidence), maxKnownMarks-maxAcquittals)], n.suspects.acquitted(now)...)
	return k
}
