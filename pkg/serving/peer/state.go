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

// peerState is the state that a node sends with its heartbeats.
type peerState struct {
	Node          string
	FailureDomain string
	Revision      uint64
	Hash          string
	// At is the time of receipt by the receiver's clock.
	At time.Time
}

func (r *Relay) localState() peerState {
	current := r.RevisionState()
	return peerState{Node: r.config.Node, FailureDomain: r.config.FailureDomain, Revision: current.Revision, Hash: current.Hash}
}

func (r *Relay) recordState(n peerState) {
	n.At = r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerStates[n.Node] = n
}

// pruneUnlisted removes the states of nodes that are no longer listed, and the
// records of distribution trees whose root is no longer listed.
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

// randomPeer returns a random listed peer. One pick in crossDomainEvery is of
// another failure domain, if there are nodes in both.
func (r *Relay) randomPeer() (fleet.VM, bool) {
	var local, remote []fleet.VM
	for _, vm := range r.config.Nodes() {
		switch {
		case vm.ID == r.config.Node:
		case vm.FailureDomain == r.config.FailureDomain:
			local = append(local, vm)
		default:
			remote = append(remote, vm)
		}
	}
	candidates := local
	if len(local) == 0 || (len(remote) > 0 && r.config.Random.IntN(crossDomainEvery) == 0) {
		candidates = remote
	}
	if len(candidates) == 0 {
		return fleet.VM{}, false
	}
	return candidates[r.config.Random.IntN(len(candidates))], true
}

// Nodes returns the last received states of the other listed nodes. The revision
// and the time are zero for a node that has not sent any.
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

// Histories returns the merged request counts of all listed nodes, and the sorted
// IDs of the nodes whose counts could not be fetched.
func (r *Relay) Histories(ctx context.Context) (merged []burn.History, missing []string) {
	var mu sync.Mutex
	all := [][]burn.History{r.config.Histories()}
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for _, vm := range r.config.Nodes() {
		if vm.ID == r.config.Node {
			continue
		}
		group.Go(func() error {
			var reply wireHistories
			err := r.get(ctx, vm.Address, pathHistories, &reply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, vm.ID)
				return nil
			}
			all = append(all, toHistories(reply))
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(missing, strings.Compare)
	return burn.Merge(all...), missing
}
