package formation

import (
	"maps"
	"slices"

	"almondbay.example/internal/fleet/registry"
)

// EpochRange is a range of epochs, both of its ends included.
type EpochRange struct {
	First, Last uint64
}

// lostEpochs exceeds the number of groups that are planned in the age of a copy of the store,
// for each time that it comes back from one.
const lostEpochs = 10_000

// Restored returns a plan that was read from an older copy of the store, which has come back
// from one so many times since the plan was written. Groups that were planned since may serve,
// so that no epoch which they may have is assigned again.
func (p Plan) Restored(times uint64) Plan {
	first := p.LastEpoch + 1
	p.LastEpoch += times * lostEpochs
	p.Lost = append(slices.Clone(p.Lost), EpochRange{First: first, Last: p.LastEpoch})
	return p
}

// mayHaveLost reports whether a group with an epoch may have been planned and lost.
func (p Plan) mayHaveLost(epoch uint64) bool {
	return slices.ContainsFunc(p.Lost, func(r EpochRange) bool { return r.First <= epoch && epoch <= r.Last })
}

// found returns the plan without an epoch among those of lost groups.
func (p Plan) found(epoch uint64) Plan {
	var lost []EpochRange
	for _, r := range p.Lost {
		if epoch < r.First || epoch > r.Last {
			lost = append(lost, r)
			continue
		}
		if r.First < epoch {
			lost = append(lost, EpochRange{First: r.First, Last: epoch - 1})
		}
		if epoch < r.Last {
			lost = append(lost, EpochRange{First: epoch + 1, Last: r.Last})
		}
	}
	p.Lost = lost
	return p
}

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
