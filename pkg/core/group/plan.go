package group

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
)

// Plan returns the next transactions and orders for one fabric domain. It
// returns none if a group row was written under a newer document revision than
// that of the view.
func Plan(v View, policy Policy) Commands {
	if v.Revision == 0 || v.outdated() {
		return Commands{}
	}
	p := newPlanner(v, policy)
	for _, g := range p.own {
		p.step(g)
	}
	p.releaseVMs()
	p.dissolveForRepair()
	p.claim()
	p.orderMembers()
	v.Timers.end()
	return p.commands
}

// outdated reports whether another controller has written a row under a newer
// document revision.
func (v View) outdated() bool {
	for _, g := range v.Groups {
		if g.Value.Revision > v.Revision {
			return true
		}
	}
	return false
}

// planner holds the state of one call of Plan.
type planner struct {
	View
	policy Policy
	models map[string]document.Model
	// own holds the domain's groups, sorted by position of the model in the
	// document, then by slot.
	own []Versioned[Row]
	// idle holds the VMs that may join a group and are not used by a
	// transaction of this plan, in order of preference.
	idle []string
	// leaders maps a group to the VMs that lead one of its epochs, sorted by
	// epoch.
	leaders map[string][]VMRow
	// shortages holds own groups that need more VMs than are idle.
	shortages []shortage
	// releasing is set when VMs are being released and will become idle.
	releasing bool

	commands Commands
}

// shortage is a group whose members cannot be replaced for lack of idle VMs.
type shortage struct {
	group Versioned[Row]
	// need is the number of VMs missing.
	need int
	// healthy is the number of members that report and stay.
	healthy int
}

func newPlanner(v View, policy Policy) *planner {
	p := &planner{
		View:    v,
		policy:  policy,
		models:  map[string]document.Model{},
		leaders: map[string][]VMRow{},
	}
	position := map[string]int{}
	for i, m := range v.Models {
		p.models[m.Name] = m
		position[m.Name] = i
	}
	for _, g := range v.Groups {
		if g.Value.FabricDomain == v.FabricDomain && g.Value.State != StateReleased {
			p.own = append(p.own, g)
		}
	}
	slices.SortFunc(p.own, func(a, b Versioned[Row]) int {
		return cmp.Or(
			cmp.Compare(position[a.Value.Model], position[b.Value.Model]),
			cmp.Compare(a.Value.Slot, b.Value.Slot),
			cmp.Compare(a.Value.ID, b.Value.ID),
		)
	})
	for _, r := range v.VMs {
		if r.Value.Leader && r.Value.Group != "" {
			p.leaders[r.Value.Group] = append(p.leaders[r.Value.Group], r.Value)
		}
	}
	for _, l := range p.leaders {
		slices.SortFunc(l, func(a, b VMRow) int { return cmp.Compare(a.Epoch, b.Epoch) })
	}
	p.idle = p.findIdle()
	return p
}

// findIdle returns the VMs that may join a group: live in the platform's list,
// with no group in their row, and with no group in a fresh report. VMs with
// failed loads are sorted last.
func (p *planner) findIdle() []string {
	var idle []string
	for id, vm := range p.Listed {
		r, ok := p.freshReport(id)
		if !ok || vm.State != fleet.VMLive || p.VMs[id].Value.Group != "" {
			continue
		}
		if r.Identity.Group == "" && r.Phase == fleet.PhaseIdle && !r.Leaving {
			idle = append(idle, id)
		}
	}
	slices.SortFunc(idle, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(p.VMs[a].Value.Failures, p.VMs[b].Value.Failures),
			cmp.Compare(a, b),
		)
	})
	return idle
}

// takeIdle removes and returns the first n idle VMs, or returns false if there
// are fewer.
func (p *planner) takeIdle(n int) ([]string, bool) {
	if n > len(p.idle) {
		return nil, false
	}
	taken := p.idle[:n]
	p.idle = p.idle[n:]
	return taken, true
}

// freshReport returns the last report of a VM and whether it is at most
// ReportTTL old.
func (p *planner) freshReport(id string) (fleet.Report, bool) {
	r, ok := p.Reports[id]
	return r, ok && p.Now.Sub(r.SeenAt) <= p.policy.ReportTTL
}

// delisted reports whether the platform no longer lists the VM. It returns
// false while the list is unknown.
func (p *planner) delisted(id string) bool {
	if p.Listed == nil {
		return false
	}
	_, ok := p.Listed[id]
	return !ok
}

// stateSince returns when this controller first observed the group's current
// state, epoch and load failure.
func (p *planner) stateSince(r Row) time.Time {
	return p.Timers.since("state/"+r.ID, fmt.Sprint(r.State, r.Epoch, r.Failed), p.Now)
}

// write adds a transaction on a group row and VM rows.
func (p *planner) write(step Step, g Versioned[Row], next Row, vms []VMWrite) {
	next.Revision = p.Revision
	p.commands.Transactions = append(p.commands.Transactions, Transaction{
		Step:  step,
		Group: &Versioned[Row]{Value: next, Version: g.Version},
		VMs:   vms,
	})
}

// writeVM adds a transaction on one VM row.
func (p *planner) writeVM(step Step, row Versioned[VMRow], next VMRow) {
	next.Term = p.Term
	p.commands.Transactions = append(p.commands.Transactions, Transaction{
		Step: step,
		VMs:  []VMWrite{{Versioned: Versioned[VMRow]{Value: next, Version: row.Version}, Delete: step == StepForget}},
	})
}

// bind returns the writes that assign the VM rows to r's epoch.
func (p *planner) bind(r Row) []VMWrite {
	writes := make([]VMWrite, 0, len(r.Members))
	for i, id := range r.Members {
		row := p.VMs[id]
		row.Value = VMRow{
			ID:           id,
			FabricDomain: p.FabricDomain,
			Group:        r.ID,
			Epoch:        r.Epoch,
			Leader:       i == 0,
			Failures:     row.Value.Failures,
			Term:         p.Term,
		}
		writes = append(writes, VMWrite{Versioned: row})
	}
	return writes
}
