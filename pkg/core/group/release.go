package group

import (
	"cmp"
	"maps"
	"slices"

	"almondbay.example/core/fleet"
)

// releaseVMs frees the VMs that are bound to a group which they are no member
// of any more, and forgets the VMs that are gone.
func (p *planner) releaseVMs() {
	for _, id := range slices.Sorted(maps.Keys(p.VMs)) {
		row := p.VMs[id]
		switch {
		case row.Value.Group == "":
			p.forget(row)
		case !p.Groups[row.Value.Group].Value.binds(row.Value):
			p.releaseVM(row)
		}
	}
}

// releaseVM frees a VM once it has itself answered, after this controller saw
// that it is to be released, that it has no group; or once the platform no
// longer lists it. A VM that only can't be reached stays bound.
func (p *planner) releaseVM(row Versioned[VMRow]) {
	v := row.Value
	since := p.Timers.since("release/"+v.ID, ID(v.Group, int(v.Epoch)), p.Now)
	next := VMRow{ID: v.ID, FabricDomain: v.FabricDomain, Failures: v.Failures}
	if p.gone(v.ID) {
		next.Gone = true
		p.writeVM(StepGone, row, next)
		return
	}
	report, ok := p.fresh(v.ID)
	if !ok {
		return
	}
	p.moving = true
	if report.Identity.Group == "" && report.SeenAt.After(since) {
		p.writeVM(StepFree, row, next)
	}
}

// forget deletes the row of a VM that is gone. The row was written in an
// earlier term, so no write of that term can still arrive and take the VM's
// new row for the old one.
func (p *planner) forget(row Versioned[VMRow]) {
	if row.Value.Gone && row.Value.Term < p.Term && p.gone(row.Value.ID) {
		p.writeVM(StepForget, row, row.Value)
	}
}

// orderMembers orders every VM whose fresh answer differs from its row. The
// answer of a VM that follows its row is left alone.
func (p *planner) orderMembers() {
	for _, id := range slices.Sorted(maps.Keys(p.Reports)) {
		report, ok := p.fresh(id)
		if !ok || p.gone(id) {
			continue
		}
		order, differs := p.desired(id, report)
		if differs && !p.led(id, report) {
			p.commands.Orders = append(p.commands.Orders, MemberOrder{Member: id, Order: order})
		}
	}
}

// desired returns the order that makes a VM what its row says, and whether the
// VM differs.
func (p *planner) desired(id string, report fleet.Report) (fleet.Order, bool) {
	row := p.VMs[id].Value
	r := p.Groups[row.Group].Value
	if row.Group == "" || !r.binds(row) {
		return fleet.Order{Term: p.Term}, report.Identity.Group != ""
	}
	if !r.accepted(id, report) {
		// A serving group that a member has left begins a new epoch instead.
		loading := r.State == StateForming || r.State == StateLoading
		return r.order(p.Term), loading
	}
	loaded := slices.Sorted(slices.Values(report.Adapters))
	return r.order(p.Term), report.Phase == fleet.PhaseReady && !slices.Equal(loaded, r.Adapters)
}

// led reports whether the VM must wait since it is still in an epoch whose
// leader is, too. The leader is always moved or released first: a dispatcher
// that does not know the row's change yet then finds that the head of the
// answer names another epoch, and never gets an answer from a group that other
// members have left.
func (p *planner) led(id string, report fleet.Report) bool {
	if report.Identity.Group == "" {
		return false
	}
	leaders := p.leaders[report.Identity.Group]
	i, _ := slices.BinarySearchFunc(leaders, report.Identity.Epoch, func(v VMRow, epoch uint64) int {
		return cmp.Compare(v.Epoch, epoch)
	})
	if i == len(leaders) || leaders[i].ID == id {
		return false
	}
	leader, ok := p.fresh(leaders[i].ID)
	return ok && leader.Identity.Group == report.Identity.Group && leader.Identity.Epoch == report.Identity.Epoch
}
