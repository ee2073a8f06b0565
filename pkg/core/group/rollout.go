package group

import (
	"slices"

	"almondbay.example/core/document"
)

// target is what a group should load.
type target struct {
	version  string
	adapters []string
}

// adapters returns the adapters of a model, as name@version, sorted.
func adapters(m document.Model) []string {
	var names []string
	for _, a := range m.Adapters {
		names = append(names, a.Name+"@"+a.Version)
	}
	slices.Sort(names)
	return names
}

// target returns what group r of model m should load: the document's version,
// or while the roll-out is halted what the group has.
func (p *planner) target(r Row, m document.Model) target {
	if r.Version != m.Version && p.halted(m) {
		return target{version: r.Version, adapters: r.Adapters}
	}
	return target{version: m.Version, adapters: adapters(m)}
}

// halted reports whether the roll-out of the model's version takes no further
// group: more groups have failed to load the version than serve it.
func (p *planner) halted(m document.Model) bool {
	failed, serve := 0, 0
	for _, g := range p.Groups {
		r := g.Value
		switch {
		case r.Model != m.Name || r.Version != m.Version:
		case r.State == StateServing:
			serve++
		case r.active() && r.Failures > 0:
			failed++
		}
	}
	return failed > serve
}

// loads reports whether a group of the model serves the version.
func (p *planner) loads(model, version string) bool {
	for _, g := range p.Groups {
		if g.Value.Model == model && g.Value.Version == version && g.Value.State == StateServing {
			return true
		}
	}
	return false
}

// takeOut drains a serving group for a roll-out if MaxUnavailable allows it.
// The transaction also writes the model's roll-out row, which was read before
// the groups: of two controllers that count the same groups, one fails.
func (p *planner) takeOut(g Versioned[Row], m document.Model) {
	if p.out(m) >= m.MaxUnavailable || p.takenOut(m.Name) {
		return
	}
	row := p.Rollouts[m.Name]
	row.Value = Rollout{Model: m.Name, Group: g.Value.ID, Revision: p.Revision}
	p.drain(g)
	p.commands.Transactions[len(p.commands.Transactions)-1].Rollout = &row
}

// out returns the number of the model's groups that are being changed.
func (p *planner) out(m document.Model) int {
	n := 0
	for _, g := range p.Groups {
		r := g.Value
		if r.Model != m.Name || r.Slot >= m.Groups || r.Yielded {
			continue
		}
		if r.State != StateServing && r.State != StateReleased {
			n++
		}
	}
	return n
}

// takenOut reports whether this plan already takes out a group of the model.
func (p *planner) takenOut(model string) bool {
	for _, t := range p.commands.Transactions {
		if t.Rollout != nil && t.Rollout.Value.Model == model {
			return true
		}
	}
	return false
}
