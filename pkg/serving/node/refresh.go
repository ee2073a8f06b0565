package node

import (
	"context"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/drain"
)

// drainReads bounds the reads of drains a second that all nodes make together.
const drainReads = 100

// maxProbes bounds the health questions in flight.
const maxProbes = 64

// refreshVMs reads the list of VMs and the operators' drains. A drained VM is
// treated as leaving.
func (n *Node) refreshVMs(ctx context.Context) error {
	vms, err := n.config.VMs.List(ctx)
	if err != nil {
		return errs.Combine(Error.Wrap(err), n.learnFleet(ctx))
	}
	// Without the drains the list is still of use; those known before hold.
	drainsErr := n.refreshDrains(ctx)
	n.view.SetVMs(vms)
	n.guard.SetNodes(len(n.view.VMs(fleet.RoleEntry)))
	return drainsErr
}

// refreshDrains reads the operators' drains, more seldom the more nodes there
// are, so that all nodes together keep to drainReads.
func (n *Node) refreshDrains(ctx context.Context) error {
	now := n.config.Clock.Now()
	interval := time.Duration(len(n.view.VMs(fleet.RoleEntry))) * time.Second / drainReads
	if now.Sub(n.drainsReadAt) < interval {
		return nil
	}
	drains, err := n.drains.List(ctx)
	if err != nil {
		return Error.Wrap(err)
	}
	n.drainsReadAt = now
	n.view.SetDrained(vmsOf(drains))
	return nil
}

func vmsOf(drains []drain.Drain) []string {
	ids := make([]string, 0, len(drains))
	for _, d := range drains {
		ids = append(ids, d.VM)
	}
	return ids
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
	askedAt := n.config.Clock.Now()
	r, err := n.config.Engine.Health(ctx, vm.Address)
	if err != nil || r.Identity.Member != vm.ID {
		return
	}
	r.SeenAt = askedAt
	n.view.SetReport(r)
}
