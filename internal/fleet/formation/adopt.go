package formation

import (
	"maps"
	"slices"

	"almondbay.example/internal/fleet/registry"
)

// adoptLostGroups adds the groups to the plan that the store has lost with the rows that were
// written after a copy of it was made, and whose members are all registered and ready. Members
// of others are left alone: their head may serve.
func (p *planner) adoptLostGroups() {
	if len(p.Plan.Lost) == 0 {
		return
	}
	members := map[uint64][]registry.Record{}
	for _, r := range p.records {
		if p.inLostGroup(r) && p.alive(r) && !r.Draining && r.Group.Ready() {
			members[r.Group.Epoch] = append(members[r.Group.Epoch], r)
		}
	}
	for _, epoch := range slices.Sorted(maps.Keys(members)) {
		if g, ok := p.lostGroup(members[epoch]); ok {
			p.keepGroup(g)
			p.decision.Plan = p.decision.Plan.found(epoch)
			p.decision.Formed = append(p.decision.Formed, g)
			p.decision.Changed = true
		}
	}
}

// inLostGroup reports whether a server is in a group that isn't in the plan and that the
// store may have lost.
func (p *planner) inLostGroup(r registry.Record) bool {
	return !p.planned[r.ID] && r.Group.Name != "" && p.Plan.mayHaveLost(r.Group.Epoch)
}

// lostGroup returns the group with the given members, if they are all of its members.
func (p *planner) lostGroup(members []registry.Record) (Group, bool) {
	first := members[0]
	model, ok := p.models[first.Model]
	if !ok || len(members) != model.Size {
		return Group{}, false
	}
	slices.SortFunc(members, func(a, b registry.Record) int { return a.Group.Rank - b.Group.Rank })
	g := Group{Name: first.Group.Name, FabricDomain: first.FabricDomain, Model: first.Model, Epoch: first.Group.Epoch, HeadAddress: members[0].Address}
	for rank, r := range members {
		if r.Group.Rank != rank || r.Group.Name != g.Name || r.Model != g.Model {
			return Group{}, false
		}
		g.Members = append(g.Members, Member{ID: r.ID, Incarnation: r.Incarnation})
	}
	return g, true
}
