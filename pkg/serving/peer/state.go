package peer

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"almondbay.example/core/burn"
	"almondbay.example/core/fleet"
	"almondbay.example/serving/status"
)

// note is what a node says about itself.
type peerState struct {
	Node          string
	FailureDomain string
	Revision      uint64
	Hash          string
	// At is when it was heard, by the hearer's clock.
	At time.Time
}

func (r *Relay) localState() peerState {
	held := r.RevisionState()
	return peerState{Node: r.config.Node, FailureDomain: r.config.FailureDomain, Revision: held.Revision, Hash: held.Hash}
}

func (r *Relay) recordState(n peerState) {
	n.At = r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerStates[n.Node] = n
}

// forget drops what was heard of nodes that are no longer listed, and the trees
// that are no longer in use.
func (r *Relay) pruneUnlisted() {
	listed := make(map[string]bool)
	for _, vm := range r.config.Nodes() {
		listed[vm.ID] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.peerStates, func(id string, _ peerState) bool { return !listed[id] })
	maps.DeleteFunc(r.forwarded, func(id string, _ uint64) bool { return !listed[id] && id != r.config.Node })
}

// randomPeer picks a peer, mostly of this node's failure domain.
func (r *Relay) randomPeer() (fleet.VM, bool) {
	var near, far []fleet.VM
	for _, vm := range r.config.Nodes() {
		switch {
		case vm.ID == r.config.Node:
		case vm.FailureDomain == r.config.FailureDomain:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	from := near
	if len(near) == 0 || (len(far) > 0 && r.config.Random.IntN(crossDomainEvery) == 0) {
		from = far
	}
	if len(from) == 0 {
		return fleet.VM{}, false
	}
	return from[r.config.Random.IntN(len(from))], true
}

// Nodes returns the state of the other listed nodes, as far as heard.
func (r *Relay) Nodes() []status.Node {
	vms := r.config.Nodes()
	r.mu.Lock()
	defer r.mu.Unlock()
	var nodes []status.Node
	for _, vm := range vms {
		if vm.ID == r.config.Node {
			continue
		}
		last := r.peerStates[vm.ID]
		nodes = append(nodes, status.Node{
			ID: vm.ID, FailureDomain: vm.FailureDomain, Revision: last.Revision, SeenAt: last.At,
		})
	}
	return nodes
}

// Histories merges the counts of all listed nodes, and names those that did not
// answer.
func (r *Relay) Histories(ctx context.Context) (merged []burn.History, missing []string) {
	var mu sync.Mutex
	all := [][]burn.History{r.config.Histories()}
	var group errgroup.Group
	group.SetLimit(maxPushes)
	for _, vm := range r.config.Nodes() {
		if vm.ID == r.config.Node {
			continue
		}
		group.Go(func() error {
			var answer wireHistories
			err := r.get(ctx, vm.Address, pathHistories, &answer)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, vm.ID)
				return nil
			}
			all = append(all, toHistories(answer))
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(missing, strings.Compare)
	return burn.Merge(all...), missing
}
