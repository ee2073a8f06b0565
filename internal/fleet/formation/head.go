package formation

import (
	"slices"

	"almondbay.example/internal/fleet/registry"
)

// headLeft reports whether the head of a group is known to have no work of the group. It
// adds a head that must be probed to find that out to the decision: one whose registration
// is missing, and one whose registration says that it has left but may be older than the
// group.
func (p *planner) headLeft(g Group) bool {
	m := g.Members[0]
	r, ok := p.records[m.ID]
	switch {
	case ok && r.Incarnation > m.Incarnation:
		// It has started again since.
		return true
	case !ok || !p.alive(r) || r.Incarnation < m.Incarnation:
		r = p.plannedHead(g, r)
		if p.replaced(r) || p.HeadStopped(r) {
			return true
		}
		p.decision.UnregisteredHeads = append(p.decision.UnregisteredHeads, r)
		if p.HeadSilent(r) {
			p.orderMemberToLeave(g)
		}
		return false
	case r.HasLeft(g.Name, g.Epoch):
		return true
	case saysItLeft(g, r):
		r = p.plannedHead(g, r)
		if p.HeadStopped(r) {
			return true
		}
		p.decision.DepartedHeads = append(p.decision.DepartedHeads, r)
		return false
	default:
		return false
	}
}

// saysItLeft reports whether the registration of a head says that it doesn't serve a group.
func saysItLeft(g Group, r registry.Record) bool {
	return !r.In(g.Name, g.Epoch) || r.Group.State == registry.StateBroken || r.Group.State == registry.StateJoining
}

// replaced reports whether a server that started later is registered at the address of a
// head: an address is given away only once the server that had it has ended.
func (p *planner) replaced(head registry.Record) bool {
	if head.Address == "" || head.Incarnation == 0 {
		return false
	}
	return slices.ContainsFunc(p.Servers.Servers, func(r registry.Record) bool {
		return r.Address == head.Address && r.ID != head.ID && r.Incarnation > head.Incarnation && p.alive(r) && slices.Contains(p.Services, r.Service)
	})
}

// orderMemberToLeave orders one member to leave a group, so that the head, if it still
// runs, stands still and breaks.
func (p *planner) orderMemberToLeave(g Group) {
	for _, m := range g.Members[1:] {
		r, ok := p.member(m)
		if ok && r.In(g.Name, g.Epoch) {
			p.addOrder(Order{
				Server: r.Server, Operation: OperationLeave, Group: g.Name, Epoch: g.Epoch, Model: g.Model,
				Head: g.Members[0].ID, Reason: "head is silent, its group is to break",
			})
			return
		}
	}
}

// plannedHead returns the record by which the head of a group is probed. The last
// registration that this node saw may be older than the group, or there may be none.
func (p *planner) plannedHead(g Group, r registry.Record) registry.Record {
	m := g.Members[0]
	if r.ID == "" {
		r.Server = registry.Server{
			ID: m.ID, Address: g.HeadAddress, Service: p.Service, FailureDomain: p.FailureDomain, FabricDomain: g.FabricDomain,
		}
	}
	r.Incarnation = m.Incarnation
	r.Model = g.Model
	r.Group = registry.Membership{Name: g.Name, Epoch: g.Epoch, State: registry.StateOpen}
	return r
}

// orderHeadToLeave orders the head to leave its group: if finish is set, after it
// has finished its requests or CloseTimeout has passed, else at once.
func (p *planner) orderHeadToLeave(g Group, reason string, finish bool) {
	r, ok := p.member(g.Members[0])
	if !ok || saysItLeft(g, r) {
		return
	}
	operation := OperationLeave
	if finish {
		switch r.Group.State {
		case registry.StateOpen:
			operation = OperationClose
		case registry.StateClosing:
			if p.Now.Sub(r.ChangedAt) < p.CloseTimeout {
				return
			}
		}
	}
	p.addOrder(Order{
		Server: r.Server, Operation: operation, Group: g.Name, Epoch: g.Epoch, Model: g.Model, Reason: reason,
	})
}
