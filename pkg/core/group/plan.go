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
// returns none when a row was written under a newer document than the view's.
func Plan(v View, policy Policy) Commands {
	if v.Revision == 0 || v.outdated() {
		return Commands{}
	}
	p := newPlanner(v, policy)
	for _, g := range p.own {
		p.step(g)
	}
	p.releaseVMs()
	p.sacrifice()
	p.claim()
	p.orderMembers()
	v.Timers.end()
	return p.commands
}

// outdated reports whether another controller has acted on a newer document.
func (v View) outdated() bool {
	for _, g := range v.Groups {
		if g.Value.Revision > v.Revision {
			return true
		}
	}
	return false
}

// planner works out one plan.
type planner struct {
	View
	policy Policy
	models map[string]document.Model
	// own holds the domain's groups, by the order of the models and by slot.
	own []Versioned[Row]
	// idle holds the VMs that may join a group and that no transaction of this
	// plan has taken yet, the best first.
	idle []string
	// leaders holds the VMs that lead an epoch by group, the oldest epoch first.
	leaders map[string][]VMRow
	// broken holds own groups that need VMs which are not to be had.
	broken []shortage
	// moving is set when VMs are on their way to become idle.
	moving bool

	commands Commands
}

// shortage is a group that lacks members.
type shortage struct {
	group Versioned[Row]
	// need is the number of VMs missing.
	need int
	// healthy is the number of members that answer.
	healthy int
}

func newPlanner(v View, policy Policy) *planner {
	p := &planner{
		View:    v,
		policy:  policy,
		models:  map[string]document.Model{},
		leaders: map[string][]VMRow{},
	}
	place := map[string]int{}
	for i, m := range v.Models {
		p.models[m.Name] = m
		place[m.Name] = i
	}
	for _, g := range v.Groups {
		if g.Value.FabricDomain == v.FabricDomain && g.Value.State != StateReleased {
			p.own = append(p.own, g)
		}
	}
	slices.SortFunc(p.own, func(a, b Versioned[Row]) int {
		return cmp.Or(
			cmp.Compare(place[a.Value.Model], place[b.Value.Model]),
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

// findIdle returns the VMs that may join a group: listed as live, without a
// group by their row, and without a group by their own fresh report. VMs that
// have failed to load come last.
func (p *planner) findIdle() []string {
	var idle []string
	for id, vm := range p.Listed {
		r, ok := p.fresh(id)
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

// take removes n idle VMs from those left; it returns false when there are
// not enough.
func (p *planner) take(n int) ([]string, bool) {
	if n > len(p.idle) {
		return nil, false
	}
	taken := p.idle[:n]
	p.idle = p.idle[n:]
	return taken, true
}

// fresh returns the report of a VM if it is fresh enough to act upon.
func (p *planner) fresh(id string) (fleet.Report, bool) {
	r, ok := p.Reports[id]
	return r, ok && p.Now.Sub(r.SeenAt) <= p.policy.ReportTTL
}

// gone reports whether the platform no longer lists the VM.
func (p *planner) gone(id string) bool {
	if p.Listed == nil {
		return false
	}
	_, ok := p.Listed[id]
	return !ok
}

// stateSince returns since when the group's row is in its state and epoch.
func (p *planner) stateSince(r Row) time.Time {
	return p.Timers.since("state/"+r.ID, fmt.Sprint(r.State, r.Epoch, r.Failed), p.Now)
}

// write adds a transaction on a group row and rows of VMs.
func (p *planner) write(step Step, g Versioned[Row], next Row, vms []VMWrite) {
	next.Revision = p.Revision
	p.commands.Transactions = append(p.commands.Transactions, Transaction{
		Step:  step,
		Group: &Versioned[Row]{Value: next, Version: g.Version},
		VMs:   vms,
	})
}

// writeVM adds a transaction on the row of one VM.
func (p *planner) writeVM(step Step, row Versioned[VMRow], next VMRow) {
	next.Term = p.Term
	p.commands.Transactions = append(p.commands.Transactions, Transaction{
		Step: step,
		VMs:  []VMWrite{{Versioned: Versioned[VMRow]{Value: next, Version: row.Version}, Delete: step == StepForget}},
	})
}

// bind returns the writes that make the VMs members of r's epoch.
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
