package group

import (
	"cmp"
	"maps"
	"slices"

	"almondbay.example/core/fleet"
)

// releaseVMs frees VMs whose row names a group that they are no longer a
// member of, and deletes the rows of delisted VMs.
func (p *planner) releaseVMs() {
	for _, id := range slices.Sorted(maps.Keys(p.VMs)) {
		row := p.VMs[id]
		switch {
		case row.Value.Group == "":
			p.deleteDelisted(row)
		case !p.Groups[row.Value.Group].Value.hasMember(row.Value):
			p.releaseVM(row)
		}
	}
}

// releaseVM frees a VM once the VM reports that it has no group, in a report
// later than the time when this controller first saw that the VM must be
// released, or once the platform no longer lists the VM. A VM that is merely
// unreachable stays assigned, as it may still serve.
func (p *planner) releaseVM(row Versioned[VMRow]) {
	v := row.Value
	since := p.Timers.since("release/"+v.ID, ID(v.Group, int(v.Epoch)), p.Now)
	next := VMRow{ID: v.ID, FabricDomain: v.FabricDomain, Failures: v.Failures}
	if p.delisted(v.ID) {
		next.Gone = true
		p.writeVM(StepGone, row, next)
		return
	}
	report, ok := p.freshReport(v.ID)
	if !ok {
		return
	}
	p.releasing = true
	if report.Identity.Group == "" && report.SeenAt.After(since) {
		p.writeVM(StepFree, row, next)
	}
}

// deleteDelisted deletes the row of a delisted VM. It waits for a later term
// than the row's: then no delayed write of the row's term can arrive and match
// a new row of the same VM.
func (p *planner) deleteDelisted(row Versioned[VMRow]) {
	if row.Value.Gone && row.Value.Term < p.Term && p.delisted(row.Value.ID) {
		p.writeVM(StepForget, row, row.Value)
	}
}

// orderMembers sends an order to every VM whose fresh report differs from its
// row.
func (p *planner) orderMembers() {
	for _, id := range slices.Sorted(maps.Keys(p.Reports)) {
		report, ok := p.freshReport(id)
		if !ok || p.delisted(id) {
			continue
		}
		order, differs := p.desired(id, report)
		if differs && !p.waitsForLeader(id, report) {
			p.commands.Orders = append(p.commands.Orders, MemberOrder{Member: id, Order: order})
		}
	}
}

// desired returns the order that brings a VM in line with its row, and whether
// the report differs from the row.
func (p *planner) desired(id string, report fleet.Report) (fleet.Order, bool) {
	row := p.VMs[id].Value
	r := p.Groups[row.Group].Value
	if row.Group == "" || !r.hasMember(row) {
		return fleet.Order{Term: p.Term}, report.Identity.Group != ""
	}
	if !r.matchesIdentity(id, report) {
		// In a serving group, repair starts a new epoch for the mismatched member.
		loading := r.State == StateForming || r.State == StateLoading
		return r.order(p.Term), loading
	}
	loaded := slices.Sorted(slices.Values(report.Adapters))
	return r.order(p.Term), report.Phase == fleet.PhaseReady && !slices.Equal(loaded, r.Adapters)
}

// waitsForLeader reports whether a VM must not be ordered out of its epoch yet
// because the leader of that epoch still reports it. The leader always leaves
// an epoch first: a dispatcher with an outdated row then gets a response whose
// headers name another epoch, and never one computed by a group that other
// members have left.
func (p *planner) waitsForLeader(id string, report fleet.Report) bool {
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
	leader, ok := p.freshReport(leaders[i].ID)
	return ok && leader.Identity.Group == report.Identity.Group && leader.Identity.Epoch == report.Identity.Epoch
}
