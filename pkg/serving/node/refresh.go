package node

import (
	"context"

	"golang.org/x/sync/errgroup"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/operator"
)

// maxProbes bounds the health questions in flight.
const maxProbes = 64

// refreshVMs reads the list of VMs.
func (n *Node) refreshVMs(ctx context.Context) error {
	vms, err := n.config.VMs.List(ctx)
	if err != nil {
		return Error.Wrap(err)
	}
	n.view.SetVMs(vms)
	return nil
}

// refreshDocument puts the last accepted revision in force.
func (n *Node) refreshDocument(ctx context.Context) error {
	_, known := n.view.Document()
	revision, d, err := operator.ReadDocument(ctx, operatorConfig(n.config), known)
	if err != nil {
		return Error.Wrap(err)
	}
	n.view.SetDocument(revision, d)
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
	askedAt := n.config.Clock.Now()
	r, err := n.config.Engine.Health(ctx, vm.Address)
	if err != nil || r.Identity.Member != vm.ID {
		return
	}
	r.SeenAt = askedAt
	n.view.SetReport(r)
}
