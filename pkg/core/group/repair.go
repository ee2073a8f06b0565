package group

import (
	"cmp"
	"slices"
)

// repair starts a new epoch in which idle VMs replace the unusable members.
// The other members keep their loaded weights. If too few VMs are idle, repair
// records a shortage.
func (p *planner) repair(g Versioned[Row], h health, to target) {
	replace := h.unusable()
	spares, ok := p.takeIdle(len(replace))
	if !ok {
		p.recordShortage(g, h)
		return
	}
	p.advance(StepRepair, g, append(without(g.Value.Members, replace), spares...), to)
}

// advance starts a new epoch of the group. The transaction also moves the row
// of every member to that epoch, so it fails if another group has acquired one
// of the VMs.
func (p *planner) advance(step Step, g Versioned[Row], members []string, to target) {
	next := g.Value.clone()
	next.Epoch++
	next.State = StateForming
	next.Members = members
	next.Boots = nil
	next.Failed = false
	next.Yielded = false
	if next.Version != to.version {
		next.Failures = 0
	}
	next.Version = to.version
	next.Adapters = to.adapters
	p.write(step, g, next, p.bind(next))
}

// recordShortage records a group whose members cannot be replaced in this
// fabric domain, and yields its slot to other fabric domains.
func (p *planner) recordShortage(g Versioned[Row], h health) {
	p.shortages = append(p.shortages, shortage{
		group:   g,
		need:    len(h.unusable()) - len(p.idle),
		healthy: h.answering(),
	})
	if g.Value.Yielded {
		return
	}
	next := g.Value.clone()
	next.Yielded = true
	p.write(StepYield, g, next, nil)
}

// dissolveForRepair dissolves the group with the lowest cost of loss if its
// members can complete a group with a shortage that has a higher gain. It
// dissolves one group at a time.
func (p *planner) dissolveForRepair() {
	if p.releasing || len(p.shortages) == 0 {
		return
	}
	slices.SortStableFunc(p.shortages, func(a, b shortage) int {
		return cmp.Or(
			-cmp.Compare(p.gainOf(a.group.Value), p.gainOf(b.group.Value)),
			cmp.Compare(a.need, b.need),
		)
	})
	repaired := p.shortages[0]
	if victim, ok := p.shortageVictim(repaired); ok {
		p.dissolve(victim)
		return
	}
	if victim, ok := p.servingVictim(repaired); ok {
		p.dissolve(victim)
	}
}

// shortageVictim returns another group with a shortage that has enough healthy
// members, preferring the fewest. Dissolving it costs no capacity, as it does
// not serve.
func (p *planner) shortageVictim(repaired shortage) (Versioned[Row], bool) {
	var best *shortage
	for i, s := range p.shortages[1:] {
		if !s.group.Value.Yielded || s.healthy < repaired.need {
			continue
		}
		if best == nil || s.healthy < best.healthy {
			best = &p.shortages[1+i]
		}
	}
	if best == nil {
		return Versioned[Row]{}, false
	}
	return best.group, true
}

// servingVictim returns the serving group with the lowest cost of loss,
// provided that the gain is at least minGainRatio times that cost.
func (p *planner) servingVictim(repaired shortage) (Versioned[Row], bool) {
	var best Versioned[Row]
	lowest := p.gainOf(repaired.group.Value) / minGainRatio
	for _, g := range p.own {
		r := g.Value
		if r.State != StateServing || r.Yielded || r.Model == repaired.group.Value.Model || len(r.Members) < repaired.need {
			continue
		}
		if c := 1 / float64(p.serving(r.Model)); c <= lowest {
			lowest = c
			best = g
		}
	}
	return best, best.Value.ID != ""
}

// minGainRatio is the least ratio of the gain from the repaired group to the
// cost of the serving group dissolved for it.
const minGainRatio = 2

// gainOf returns the capacity that one more group adds to the model of r, as a
// fraction of the resulting capacity.
func (p *planner) gainOf(r Row) float64 {
	return 1 / float64(p.serving(r.Model)+1)
}

// serving returns the number of groups of a model that are serving and not
// yielded, according to their rows.
func (p *planner) serving(model string) int {
	n := 0
	for _, g := range p.Groups {
		if g.Value.Model == model && g.Value.State == StateServing && !g.Value.Yielded {
			n++
		}
	}
	return n
}

// without returns the members that are not in remove, in the same order.
func without(members, remove []string) []string {
	var left []string
	for _, m := range members {
		if !slices.Contains(remove, m) {
			left = append(left, m)
		}
	}
	return left
}
