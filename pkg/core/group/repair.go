package group

import (
	"cmp"
	"slices"
)

// repair begins a new epoch in which idle VMs take the places of the unusable
// members. The others keep their loaded weights. Without enough idle VMs the
// group lacks members.
func (p *planner) repair(g Versioned[Row], h health, to target) {
	replace := h.unusable()
	spares, ok := p.take(len(replace))
	if !ok {
		p.lack(g, h)
		return
	}
	p.advance(StepRepair, g, append(without(g.Value.Members, replace), spares...), to)
}

// advance begins a new epoch of the group. Every member's row moves to it in
// the same transaction, so a VM that another group has taken in the meantime
// makes the transaction fail.
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

// lack notes a group whose members can't be replaced here, and offers its slot
// to the other fabric domains.
func (p *planner) lack(g Versioned[Row], h health) {
	p.broken = append(p.broken, shortage{
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

// sacrifice dissolves the group whose loss costs least when its members can
// complete a broken group worth more. Only one is dissolved at a time.
func (p *planner) sacrifice() {
	if p.moving || len(p.broken) == 0 {
		return
	}
	slices.SortStableFunc(p.broken, func(a, b shortage) int {
		return cmp.Or(
			-cmp.Compare(p.gain(a.group.Value), p.gain(b.group.Value)),
			cmp.Compare(a.need, b.need),
		)
	})
	saved := p.broken[0]
	if victim, ok := p.brokenVictim(saved); ok {
		p.dissolve(victim)
		return
	}
	if victim, ok := p.servingVictim(saved); ok {
		p.dissolve(victim)
	}
}

// brokenVictim returns another broken group with enough healthy members, the
// one with the fewest first. Its loss costs nothing.
func (p *planner) brokenVictim(saved shortage) (Versioned[Row], bool) {
	var best *shortage
	for i, b := range p.broken[1:] {
		if !b.group.Value.Yielded || b.healthy < saved.need {
			continue
		}
		if best == nil || b.healthy < best.healthy {
			best = &p.broken[1+i]
		}
	}
	if best == nil {
		return Versioned[Row]{}, false
	}
	return best.group, true
}

// servingVictim returns the serving group whose loss costs least, if the gain
// is worth at least worthwhile times that.
func (p *planner) servingVictim(saved shortage) (Versioned[Row], bool) {
	var best Versioned[Row]
	lowest := p.gain(saved.group.Value) / worthwhile
	for _, g := range p.own {
		r := g.Value
		if r.State != StateServing || r.Yielded || r.Model == saved.group.Value.Model || len(r.Members) < saved.need {
			continue
		}
		if c := 1 / float64(p.serving(r.Model)); c <= lowest {
			lowest = c
			best = g
		}
	}
	return best, best.Value.ID != ""
}

// worthwhile is how much more a saved group must be worth than the serving
// group dissolved for it.
const worthwhile = 2

// gain is the share of the model's service that one more group brings.
func (p *planner) gain(r Row) float64 {
	return 1 / float64(p.serving(r.Model)+1)
}

// serving returns the number of groups of a model that serve by their rows.
func (p *planner) serving(model string) int {
	n := 0
	for _, g := range p.Groups {
		if g.Value.Model == model && g.Value.State == StateServing && !g.Value.Yielded {
			n++
		}
	}
	return n
}

// without returns the members that are not in remove, in their order.
func without(members, remove []string) []string {
	var left []string
	for _, m := range members {
		if !slices.Contains(remove, m) {
			left = append(left, m)
		}
	}
	return left
}
