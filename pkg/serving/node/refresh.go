package node

import (
	"context"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/fleet"
)

// maxProbes bounds the concurrent health checks.
const maxProbes = 64

const (
	// maxFleetAge is the age beyond which a poller's fleet data are stale, so that
	// the node also queries the next poller.
	maxFleetAge = 3 * time.Second
	// platformFallbackAfter is the age of the node's fleet data beyond which it
	// reads the platform itself, since no poller provides newer data.
	platformFallbackAfter = 5 * time.Second
)

// refreshFleet updates the fleet data, and the number of nodes that share the
// table service's budget.
func (n *Node) refreshFleet(ctx context.Context) error {
	err := n.updateDirectory(ctx)
	n.guard.SetNodes(len(n.view.VMs(fleet.RoleEntry)))
	return err
}

// updateDirectory reads the platform if this node is a poller of its failure
// domain, and fetches the data from a poller otherwise. Each way is the fallback
// of the other.
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

// fetchFleet queries the pollers of the failure domain in turn until one returns
// data that are not stale. It queries the seeds while no entry VM is known. Data
// older than the node's own are ignored. Stale rows from a peer can at worst make
// a group unavailable, not misroute requests: dispatch to a group also requires
// current reports from its members.
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

// nonPollerQuarantineInterval is the interval at which a node that is not a poller
// reads the quarantined requests. Peers announce new ones to it at once.
const nonPollerQuarantineInterval = time.Minute

// loadQuarantine reads the quarantined requests from the platform if this node is
// a poller of its failure domain or has not read them for
// nonPollerQuarantineInterval.
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

// probe queries each backend server for its report. If a member does not respond,
// its last report stays in the view until it expires after reportTTL.
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

// probeOne probes one backend server. The report is dated to the start of the
// probe, and ignored if it comes from another VM at the same address.
func (n *Node) probeOne(ctx context.Context, vm fleet.VM) {
	sentAt := n.config.Clock.Now()
	r, err := n.config.Engine.Health(ctx, vm.Address)
	if err != nil || r.Identity.Member != vm.ID {
		return
	}
	r.SeenAt = sentAt
	n.view.SetReport(r)
}
