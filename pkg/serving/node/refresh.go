package node

import (
	"context"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/fleet"
)

// maxProbes bounds the health questions in flight.
const maxProbes = 64

const (
	// maxFleetAge is the age beyond which what a poller knows counts as stale.
	maxFleetAge = 3 * time.Second
	// platformFallbackAfter is the age of what is known beyond which a node reads the
	// platform itself, since no poller tells it anything newer.
	platformFallbackAfter = 5 * time.Second
)

// refreshFleet learns of the fleet: a poller of the failure domain reads the
// platform, the rest hear from a poller.
func (n *Node) refreshFleet(ctx context.Context) error {
	err := n.updateDirectory(ctx)
	n.guard.SetNodes(len(n.view.VMs(fleet.RoleEntry)))
	return err
}

func (n *Node) updateDirectory(ctx context.Context) error {
	if n.config.Peers == nil || n.relay.PollsPlatform() {
		if err := n.directory.read(ctx); err != nil {
			return errs.Combine(err, n.fetchFleet(ctx))
		}
		return nil
	}
	err := n.fetchFleet(ctx)
	if n.config.Clock.Since(n.directory.lastRead()) <= platformFallbackAfter {
		return err
	}
	return errs.Combine(err, n.directory.read(ctx))
}

// fetchFleet asks the pollers of the failure domain, or the seeds while none is
// known, until one tells what is not stale. What is older than the node's own
// knowledge is not taken: rows learned from a peer may be old, which costs
// service at worst, since a group is dispatched to only on its members' own
// reports.
func (n *Node) fetchFleet(ctx context.Context) error {
	addresses := n.relay.PollerAddresses()
	if len(n.view.VMs(fleet.RoleEntry)) == 0 {
		addresses = n.config.Settings.Peer.Seeds
	}
	var failed errs.Group
	for _, address := range addresses {
		delta, age, err := n.relay.FetchFleet(ctx, address, n.directory.mirror.Position())
		if err != nil {
			failed.Add(err)
			continue
		}
		readAt := n.config.Clock.Now().Add(-age)
		if readAt.Before(n.directory.lastRead()) {
			continue
		}
		if err := n.directory.applyDelta(delta, readAt); err != nil {
			failed.Add(err)
			continue
		}
		if age <= maxFleetAge {
			return nil
		}
	}
	return Error.Wrap(failed.Err())
}

// nonPollerQuarantineInterval is how often a node that is no poller reads the
// quarantined requests; it is told of new ones by its peers at once.
const nonPollerQuarantineInterval = time.Minute

// loadQuarantine reads the quarantined requests if this node is a poller of its
// failure domain, or if its last read is long ago.
func (n *Node) loadQuarantine(ctx context.Context) error {
	now := n.config.Clock.Now()
	polls := n.config.Peers == nil || n.relay.PollsPlatform()
	if !polls && now.Sub(n.quarantineReadAt) < nonPollerQuarantineInterval {
		return nil
	}
	if err := n.gateway.LoadQuarantine(ctx); err != nil {
		return Error.Wrap(err)
	}
	n.quarantineReadAt = now
	return nil
}

// probe asks each backend server for its report. A member that does not
// answer keeps its last report, which proves nothing once it is old.
func (n *Node) probe(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(maxProbes)
	for _, vm := range n.view.VMs(fleet.RoleBackend) {
		g.Go(func() error {
			n.probeOne(ctx, vm)
			return nil
		})
	}
	return g.Wait()
}

func (n *Node) probeOne(ctx context.Context, vm fleet.VM) {
	sentAt := n.config.Clock.Now()
	r, err := n.config.Engine.Health(ctx, vm.Address)
	if err != nil || r.Identity.Member != vm.ID {
		return
	}
	r.SeenAt = sentAt
	n.view.SetReport(r)
}
