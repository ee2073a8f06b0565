package group

import (
	"slices"

	"almondbay.example/core/document"
)

// target is the version and adapters that a group should load.
type target struct {
	version  string
	adapters []string
}

// adapters returns a model's adapters as name@version, sorted.
func adapters(m document.Model) []string {
	var names []string
	for _, a := range m.Adapters {
		names = append(names, a.Name+"@"+a.Version)
	}
	slices.Sort(names)
	return names
}

// target returns what group r of model m should load: the version and adapters
// of the document, or those of its row while the rollout is halted.
func (p *planner) target(r Row, m document.Model) target {
	if r.Version != m.Version && p.halted(m) {
		return target{version: r.Version, adapters: r.Adapters}
	}
	return target{version: m.Version, adapters: adapters(m)}
}

// halted reports whether the rollout of the model's version is stopped because
// more groups have failed to load the version than serve it.
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

// servesVersion reports whether a group of the model serves the version, which
// shows that it can be loaded.
func (p *planner) servesVersion(model, version string) bool {
	for _, g := range p.Groups {
		if g.Value.Model == model && g.Value.Version == version && g.Value.State == StateServing {
			return true
		}
	}
	return false
}

// startRollout drains a serving group for a rollout if MaxUnavailable allows
// it. The transaction also writes the model's rollout row, which was read
// before the group rows: if two controllers act on the same count of
// unavailable groups, one transaction fails.
func (p *planner) startRollout(g Versioned[Row], m document.Model) {
	if p.unavailable(m) >= m.MaxUnavailable || p.rolloutStarted(m.Name) {
		return
	}
	row := p.Rollouts[m.Name]
	row.Value = Rollout{Model: m.Name, Group: g.Value.ID, Revision: p.Revision}
	p.drain(g)
	p.commands.Transactions[len(p.commands.Transactions)-1].Rollout = &row
}

// unavailable returns the number of the model's groups that are being formed,
// loaded, drained or dissolved.
func (p *planner) unavailable(m document.Model) int {
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

// rolloutStarted reports whether this plan already drains a group of the model
// for a rollout.
func (p *planner) rolloutStarted(model string) bool {
	for _, t := range p.commands.Transactions {
		if t.Rollout != nil && t.Rollout.Value.Model == model {
			return true
		}
	}
	return false
}
