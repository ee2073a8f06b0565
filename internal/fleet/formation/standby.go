package formation

import (
	"cmp"
	"slices"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/routes"
)

// prepare has servers hold the weights that groups will need, with the loads
// that the planned groups leave: first for a group of a model that is short,
// then one standby for each model and fabric domain.
func (p *planner) prepare() {
	taken := map[string]bool{}
	if m, ok := p.short(); ok {
		p.prepareGroup(m, taken)
	}
	for _, d := range p.domains {
		if p.settled(d) {
			p.prepareStandbys(d, taken)
		}
	}
}

// prepareGroup stages a model on the servers of the fabric domain where the
// fewest are missing for a group of it.
func (p *planner) prepareGroup(m routes.Model, taken map[string]bool) {
	var best []registry.Server
	missing := 0
	for _, d := range p.domains {
		if !p.settled(d) {
			continue
		}
		servers := slices.Clone(p.idle[d])
		for _, i := range p.donors(d, m) {
			servers = append(servers, p.servers(p.decision.Plan.Groups[i])...)
		}
		lacks := m.Size - p.hot(servers, m.Name)
		if len(servers) >= m.Size && lacks > 0 && (best == nil || lacks < missing) {
			best, missing = servers, lacks
		}
	}
	slices.SortStableFunc(best, func(a, b registry.Server) int {
		return cmp.Compare(p.effort(a, m.Name), p.effort(b, m.Name))
	})
	for _, s := range best {
		if missing == 0 {
			return
		}
		if needsLoad(s, m.Name) && !taken[s.ID] && !p.loadsOther(s, m.Name) {
			p.stage(s, m, taken, "group of a model that is short")
			missing--
		}
	}
}

// stage orders a server to hold the weights of a model, if a load is left. One
// that loads them already is waited for.
func (p *planner) stage(s registry.Server, m routes.Model, taken map[string]bool, reason string) {
	taken[s.ID] = true
	if p.Loading[s.ID] == m.Name {
		return
	}
	p.give(Order{
		Server: s, Operation: OperationStage, Model: m.Name, StartsLoad: true, Reason: reason,
	})
}

// loadsOther reports whether a server is loading another model.
func (p *planner) loadsOther(s registry.Server, model string) bool {
	loading, ok := p.Loading[s.ID]
	return ok && loading != model
}

// prepareStandbys has idle servers of a fabric domain hold the weights that a
// group will need when it loses a member. Where none is idle, a member of
// another model's group holds them beside what it serves.
func (p *planner) prepareStandbys(domain string, taken map[string]bool) {
	idle := p.idle[domain]
	for _, m := range p.bySize() {
		if !p.serves(domain, m.Name) && p.hot(idle, m.Name) == 0 {
			continue
		}
		for range p.missingStandbys(idle, m) {
			s, ok := p.stagingServer(domain, m, idle, taken)
			if !ok {
				break
			}
			p.stage(s, m, taken, "standby")
		}
	}
	p.prepareRest(domain, taken)
}

// prepareRest has the idle servers of a fabric domain that are hot for nothing
// hold the weights of its resident: they repair a group at once then.
func (p *planner) prepareRest(domain string, taken map[string]bool) {
	m, ok := p.resident(domain)
	if !ok {
		return
	}
	for _, s := range p.idle[domain] {
		if p.cold(s) && !taken[s.ID] && !p.loadsOther(s, m.Name) {
			p.stage(s, m, taken, "standby")
		}
	}
}

// cold reports whether a server needs a load to serve any model.
func (p *planner) cold(s registry.Server) bool {
	return !slices.ContainsFunc(p.Models, func(m routes.Model) bool { return !needsLoad(s, m.Name) })
}

// bySize returns the models, those with the largest groups first.
func (p *planner) bySize() []routes.Model {
	models := slices.Clone(p.Models)
	slices.SortStableFunc(models, func(a, b routes.Model) int { return cmp.Compare(b.Size, a.Size) })
	return models
}

// missingStandbys returns how many more idle servers should be hot for a model:
// one, or what completes a group of which most is idle.
func (p *planner) missingStandbys(idle []registry.Server, m routes.Model) int {
	hot := p.hot(idle, m.Name)
	if hot > m.Size/2 && m.Size > 2 {
		return m.Size - hot
	}
	return max(0, 1-hot)
}

// serves reports whether a fabric domain has a group of a model.
func (p *planner) serves(domain, model string) bool {
	return p.members(func(g Group) bool { return g.FabricDomain == domain && g.Model == model }) > 0
}

// stagingServer returns the server that costs least to be made hot for a model:
// an idle one that is hot for no model, or for one that has another standby,
// or else a member of another model's group that is not its head.
func (p *planner) stagingServer(domain string, m routes.Model, idle []registry.Server, taken map[string]bool) (registry.Server, bool) {
	for _, s := range idle {
		if !taken[s.ID] && p.Loading[s.ID] == m.Name && needsLoad(s, m.Name) {
			return s, true
		}
	}
	for _, s := range idle {
		if !taken[s.ID] && p.Loading[s.ID] == "" && needsLoad(s, m.Name) && !p.onlyStandby(s, idle) {
			return s, true
		}
	}
	for _, g := range p.decision.Plan.Groups {
		if g.FabricDomain != domain || g.Dissolving || p.models[g.Model].Size >= m.Size {
			continue
		}
		last := g.Members[len(g.Members)-1]
		r, ok := p.member(last)
		if !ok || r.Draining || taken[r.ID] || p.loadsOther(r.Server, m.Name) {
			continue
		}
		if r.HasStaged(m.Name) {
			// The standby is there already.
			return registry.Server{}, false
		}
		return r.Server, true
	}
	return registry.Server{}, false
}

// onlyStandby reports whether a server is the only idle one that is hot for
// some model.
func (p *planner) onlyStandby(s registry.Server, idle []registry.Server) bool {
	for _, m := range p.Models {
		if !needsLoad(s, m.Name) && p.hot(idle, m.Name) == 1 {
			return true
		}
	}
	return false
}
