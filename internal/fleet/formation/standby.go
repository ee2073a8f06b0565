package formation

import (
	"cmp"
	"slices"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/routes"
)

// stageWeights orders servers to load weights ahead of need, using the load
// budget that the planned groups leave: first for a group of the model with the
// largest deficit, then for one standby per model and fabric domain.
func (p *planner) stageWeights() {
	reserved := map[string]bool{}
	if m, ok := p.modelInDeficit(); ok {
		p.stageForGroup(m, reserved)
	}
	for _, d := range p.domains {
		if p.settled(d) {
			p.stageStandbys(d, reserved)
		}
	}
}

// stageForGroup stages a model on servers of the fabric domain that needs the
// fewest loads to complete a group of the model.
func (p *planner) stageForGroup(m routes.Model, reserved map[string]bool) {
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
		loads := m.Size - p.countPreloaded(servers, m.Name)
		if len(servers) >= m.Size && loads > 0 && (best == nil || loads < missing) {
			best, missing = servers, loads
		}
	}
	slices.SortStableFunc(best, func(a, b registry.Server) int {
		return cmp.Compare(p.loadEffort(a, m.Name), p.loadEffort(b, m.Name))
	})
	for _, s := range best {
		if missing == 0 {
			return
		}
		if needsLoad(s, m.Name) && !reserved[s.ID] && !p.loadsOtherModel(s, m.Name) {
			p.orderStage(s, m, reserved, "group of a model with a server deficit")
			missing--
		}
	}
}

// orderStage orders a server to load the weights of a model, if the load budget
// allows it. No order is sent to a server that is already loading them.
func (p *planner) orderStage(s registry.Server, m routes.Model, reserved map[string]bool, reason string) {
	reserved[s.ID] = true
	if p.Loading[s.ID] == m.Name {
		return
	}
	p.addOrder(Order{
		Server: s, Operation: OperationStage, Model: m.Name, StartsLoad: true, Reason: reason,
	})
}

// loadsOtherModel reports whether a server is loading another model.
func (p *planner) loadsOtherModel(s registry.Server, model string) bool {
	loading, ok := p.Loading[s.ID]
	return ok && loading != model
}

// stageStandbys stages on idle servers of a fabric domain the weights that a
// group needs when it loses a member. If no server is idle, a member of another
// model's group stages them in addition to the model that it serves.
func (p *planner) stageStandbys(domain string, reserved map[string]bool) {
	idle := p.idle[domain]
	for _, m := range p.bySize() {
		if !p.serves(domain, m.Name) && p.countPreloaded(idle, m.Name) == 0 {
			continue
		}
		for range p.countMissingStandbys(idle, m) {
			s, ok := p.stagingServer(domain, m, idle, reserved)
			if !ok {
				break
			}
			p.orderStage(s, m, reserved, "standby")
		}
	}
	p.stageUnloaded(domain, reserved)
}

// stageUnloaded stages the dominant model of a fabric domain on its idle servers
// that hold no weights, so that they can repair a group without a load.
func (p *planner) stageUnloaded(domain string, reserved map[string]bool) {
	m, ok := p.dominantModel(domain)
	if !ok {
		return
	}
	for _, s := range p.idle[domain] {
		if p.needsLoadForEvery(s) && !reserved[s.ID] && !p.loadsOtherModel(s, m.Name) {
			p.orderStage(s, m, reserved, "standby")
		}
	}
}

// needsLoadForEvery reports whether a server needs a load whichever model it is
// to serve.
func (p *planner) needsLoadForEvery(s registry.Server) bool {
	return !slices.ContainsFunc(p.Models, func(m routes.Model) bool { return !needsLoad(s, m.Name) })
}

// bySize returns the models in descending order of group size.
func (p *planner) bySize() []routes.Model {
	models := slices.Clone(p.Models)
	slices.SortStableFunc(models, func(a, b routes.Model) int { return cmp.Compare(b.Size, a.Size) })
	return models
}

// countMissingStandbys returns how many more idle servers should hold the
// weights of a model: enough for one standby, or, if more than half of a
// group's worth of idle servers hold them already, enough to complete that
// group.
func (p *planner) countMissingStandbys(idle []registry.Server, m routes.Model) int {
	preloaded := p.countPreloaded(idle, m.Name)
	if preloaded > m.Size/2 && m.Size > 2 {
		return m.Size - preloaded
	}
	return max(0, 1-preloaded)
}

// serves reports whether a fabric domain has a planned group of a model.
func (p *planner) serves(domain, model string) bool {
	return p.countMembers(func(g Group) bool { return g.FabricDomain == domain && g.Model == model }) > 0
}

// stagingServer returns the server on which staging a model disrupts least: an
// idle server that is already loading it, an idle server that isn't the only
// standby of another model, or the last member of a group of a model with
// smaller groups. It returns false if there is none, or if such a member
// already holds the weights.
func (p *planner) stagingServer(domain string, m routes.Model, idle []registry.Server, reserved map[string]bool) (registry.Server, bool) {
	for _, s := range idle {
		if !reserved[s.ID] && p.Loading[s.ID] == m.Name && needsLoad(s, m.Name) {
			return s, true
		}
	}
	for _, s := range idle {
		if !reserved[s.ID] && p.Loading[s.ID] == "" && needsLoad(s, m.Name) && !p.onlyStandby(s, idle) {
			return s, true
		}
	}
	for _, g := range p.decision.Plan.Groups {
		if g.FabricDomain != domain || g.Dissolving || p.models[g.Model].Size >= m.Size {
			continue
		}
		last := g.Members[len(g.Members)-1]
		r, ok := p.member(last)
		if !ok || r.Draining || reserved[r.ID] || p.loadsOtherModel(r.Server, m.Name) {
			continue
		}
		if r.HasStaged(m.Name) {
			// This member already serves as the standby.
			return registry.Server{}, false
		}
		return r.Server, true
	}
	return registry.Server{}, false
}

// onlyStandby reports whether a server is the only idle server that holds the
// weights of some model.
func (p *planner) onlyStandby(s registry.Server, idle []registry.Server) bool {
	for _, m := range p.Models {
		if !needsLoad(s, m.Name) && p.countPreloaded(idle, m.Name) == 1 {
			return true
		}
	}
	return false
}
