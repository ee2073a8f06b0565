package node

import (
	"context"

	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
	"almondbay.example/serving/control"
	"almondbay.example/serving/peer"
)

// knownFleet returns what this node knows of the fleet from the platform, for
// nodes that start while the platform gives no answers.
func (n *Node) knownFleet() peer.Fleet {
	vms, rows := n.view.Rows()
	known := peer.Fleet{VMs: vms}
	for _, row := range rows {
		known.Groups = append(known.Groups, control.EncodeGroup(row))
	}
	return known
}

// learnFleet asks the seeds for the fleet if this node has never read the list
// of VMs. Rows learned this way may be old: a group is still dispatched to only
// on its members' own reports, so an old row costs service, never a wrong
// answer. The platform's rows replace them once they can be read.
func (n *Node) learnFleet(ctx context.Context) error {
	seeds := n.config.Settings.Peer.Seeds
	if len(seeds) == 0 || len(n.view.VMs(fleet.RoleEntry)) > 0 {
		return nil
	}
	known, err := n.relay.LearnFleet(ctx, seeds)
	if err != nil {
		return Error.Wrap(err)
	}
	rows := make([]group.Row, 0, len(known.Groups))
	for _, value := range known.Groups {
		row, err := control.DecodeGroup(value)
		if err != nil {
			return Error.Wrap(err)
		}
		rows = append(rows, row)
	}
	n.view.SetVMs(known.VMs)
	n.view.SetGroups(rows)
	return nil
}
