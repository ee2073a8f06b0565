package node

import (
	"context"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/core/revision"
	"almondbay.example/serving/drain"
	"almondbay.example/serving/event"
)

// maxProbes bounds the health questions in flight.
const maxProbes = 64

// refreshVMs reads the list of VMs and the operators' drains. A drained VM is
// treated as leaving.
func (n *Node) refreshVMs(ctx context.Context) error {
	vms, err := n.config.VMs.List(ctx)
	if err != nil {
		return Error.Wrap(err)
	}
	// Without the drains the list is still of use; those known before hold.
	drains, drainsErr := n.drains.List(ctx)
	if drainsErr == nil {
		n.view.SetDrained(vmsOf(drains))
	}
	n.view.SetVMs(vms)
	return Error.Wrap(drainsErr)
}

func vmsOf(drains []drain.Drain) []string {
	ids := make([]string, 0, len(drains))
	for _, d := range drains {
		ids = append(ids, d.VM)
	}
	return ids
}

// refreshDocument puts the last accepted revision in force.
func (n *Node) refreshDocument(ctx context.Context) error {
	row, err := n.store.Read(ctx, n.config.Settings.Environment)
	n.platform.saw(err)
	if err != nil {
		return Error.Wrap(err)
	}
	if row.Revision <= n.follower.Held().Revision {
		return n.offer(row.Entry, document.Document{})
	}
	body, err := n.store.Document(ctx, row.Hash)
	if err != nil {
		event.DocumentUnreadable.Log(n.config.Logger, zap.Uint64("revision", row.Revision), zap.Error(err))
		return nil
	}
	d, faults := document.Parse(row.Hash, body)
	if len(faults) > 0 {
		event.DocumentUnreadable.Log(n.config.Logger, zap.Uint64("revision", row.Revision), zap.Error(faults))
		return nil
	}
	return n.offer(row.Entry, d)
}

// offer puts a revision that the platform shows in force, if it is newer than
// the one held.
func (n *Node) offer(e revision.Entry, d document.Document) error {
	moved, err := n.follower.Offer(e, revision.OriginPlatform)
	if err != nil {
		event.RevisionSplit.Log(n.config.Logger, zap.Error(err))
		return nil
	}
	if moved {
		n.view.SetDocument(e.Revision, d)
		event.RevisionInForce.Log(n.config.Logger, zap.Uint64("revision", e.Revision),
			zap.String("hash", e.Hash), zap.String("origin", string(revision.OriginPlatform)))
	}
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
