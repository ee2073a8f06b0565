package formation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/routes"
)

// formGroups plans new groups from the available servers of each fabric domain,
// then dissolves groups where another model needs their servers more.
func (p *planner) formGroups() {
	for _, d := range p.indexFabricDomains() {
		for {
			m, ok := p.nextModel(d, p.idle[d])
			if !ok {
				break
			}
			p.idle[d] = p.formGroup(d, m, p.idle[d])
		}
	}
	p.reassignGroups()
}

// indexFabricDomains collects the available servers of each fabric domain,
// sorted by ID, and returns the names of the fabric domains, sorted.
func (p *planner) indexFabricDomains() []string {
	for _, r := range p.records {
		if r.FabricDomain == "" {
			continue
		}
		if r.SeenAt.After(p.newest[r.FabricDomain]) {
			p.newest[r.FabricDomain] = r.SeenAt
		}
		servers := p.idle[r.FabricDomain]
		if p.available(r) {
			servers = append(servers, r.Server)
		}
		p.idle[r.FabricDomain] = servers
	}
	domains := make([]string, 0, len(p.idle))
	for d, servers := range p.idle {
		domains = append(domains, d)
		slices.SortFunc(servers, func(a, b registry.Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	slices.Sort(domains)
	p.domains = domains
	return domains
}

// available reports whether a server can be assigned to a new group. It orders
// the head of a group that isn't in the plan to leave that group.
func (p *planner) available(r registry.Record) bool {
	if p.planned[r.ID] || !p.alive(r) || r.Draining || r.FabricDomain == "" || p.inLostGroup(r) {
		return false
	}
	if r.Group.Name != "" && r.Group.Rank == 0 && (r.Group.State == registry.StateOpen || r.Group.State == registry.StateClosing) {
		// The head of an unplanned group must stop serving before it is reassigned.
		p.addOrder(Order{
			Server: r.Server, Operation: OperationLeave, Group: r.Group.Name, Epoch: r.Group.Epoch, Model: r.Model,
			Reason: "group is not planned",
		})
		return false
	}
	return true
}

// countMembers returns the number of servers in the planned groups that match.
func (p *planner) countMembers(match func(Group) bool) int {
	n := 0
	for _, g := range p.decision.Plan.Groups {
		if match(g) {
			n += len(g.Members)
		}
	}
	return n
}

// countAssigned returns the number of servers in planned groups of a model.
func (p *planner) countAssigned(model string) int {
	return p.countMembers(func(g Group) bool { return g.Model == model })
}

// deficit returns the number of servers that a model lacks to reach its weight.
// It is negative for a model with more servers than its weight calls for.
func (p *planner) deficit(m routes.Model) float64 {
	return p.Weights[m.Name]*float64(p.usable) - float64(p.countAssigned(m.Name))
}

// largestDeficit returns the model with the largest deficit among those that
// fits accepts. Ties go to the model with the larger groups, which are harder to
// form.
func (p *planner) largestDeficit(fits func(routes.Model) bool) (routes.Model, bool) {
	var best routes.Model
	found := false
	for _, m := range p.Models {
		if !fits(m) {
			continue
		}
		difference := p.deficit(m) - p.deficit(best)
		if !found || difference > 0 || (difference == 0 && m.Size > best.Size) {
			best, found = m, true
		}
	}
	return best, found
}

// settleTime is how long a fabric domain must go without a new server before
// loads beyond those of its first group are planned. Without the delay, small
// groups would use up servers that arrive one by one and leave large groups
// without members.
const settleTime = time.Second

// settled reports whether no server has registered in the fabric domain within
// settleTime.
func (p *planner) settled(domain string) bool {
	newest, ok := p.newest[domain]
	return !ok || p.Now.Sub(newest) >= settleTime
}

// nextModel returns the model for which to form the next group from the
// available servers. A group that needs no load is formed at once. A group that
// does must leave a standby for each model: the weight store serves few loads at
// a time and they are slow, whereas a standby repairs a group in the time of one
// join.
func (p *planner) nextModel(domain string, servers []registry.Server) (routes.Model, bool) {
	if m, ok := p.largestDeficit(func(m routes.Model) bool { return p.countPreloaded(servers, m.Name) >= m.Size }); ok {
		return m, true
	}
	n := len(servers)
	if !p.settled(domain) {
		// Servers that are still to register may change which model suits the
		// fabric domain best, but its first group needn't wait for them.
		if p.hasGroup(domain) {
			return routes.Model{}, false
		}
		m, ok := p.largestDeficit(func(routes.Model) bool { return true })
		return m, ok && n >= m.Size
	}
	return p.preferredModel(domain, func(m routes.Model) bool {
		return n >= m.Size+p.standbyReserve(domain, m) && !p.hasLargerGroupPending(servers, m)
	})
}

// preferredModel returns the model for a new group in a fabric domain: the
// dominant model of the fabric domain if it has a deficit, else the model with
// the largest deficit. Keeping a model in one fabric domain rather than in
// several allows the remaining members of two broken groups to form a new
// group.
func (p *planner) preferredModel(domain string, fits func(routes.Model) bool) (routes.Model, bool) {
	if m, ok := p.dominantModel(domain); ok && fits(m) && p.hasDeficit(m) {
		return m, true
	}
	return p.largestDeficit(func(m routes.Model) bool { return p.hasDeficit(m) && fits(m) })
}

// hasDeficit reports whether a model's deficit justifies another group, that is,
// whether it is at least minDeficit groups.
func (p *planner) hasDeficit(m routes.Model) bool {
	return p.deficit(m) >= float64(m.Size)*minDeficit
}

// dominantModel returns the model that most servers of a fabric domain serve,
// hold the weights of or are loading.
func (p *planner) dominantModel(domain string) (routes.Model, bool) {
	var best routes.Model
	most := 0
	for _, m := range p.Models {
		n := p.countMembers(func(g Group) bool { return g.FabricDomain == domain && g.Model == m.Name })
		for _, s := range p.idle[domain] {
			if !needsLoad(s, m.Name) || p.Loading[s.ID] == m.Name {
				n++
			}
		}
		if n > most {
			best, most = m, n
		}
	}
	return best, most > 0
}

// hasLargerGroupPending reports whether the servers hold the weights for more
// than half of a larger group of a model in deficit other than the given one.
// Waiting for the rest of that group is cheaper than loading other weights.
func (p *planner) hasLargerGroupPending(servers []registry.Server, other routes.Model) bool {
	for _, m := range p.Models {
		if m.Name != other.Name && m.Size > other.Size && p.countPreloaded(servers, m.Name) > m.Size/2 && p.hasDeficit(m) {
			return true
		}
	}
	return false
}

// standbyReserve returns the number of servers that a fabric domain keeps out of
// groups once it has a group of m: one for each model that it serves.
func (p *planner) standbyReserve(domain string, m routes.Model) int {
	n := 1
	for _, other := range p.Models {
		if other.Name != m.Name && p.serves(domain, other.Name) {
			n++
		}
	}
	return n
}

// hasGroup reports whether a fabric domain has a planned group.
func (p *planner) hasGroup(domain string) bool {
	return p.countMembers(func(g Group) bool { return g.FabricDomain == domain }) > 0
}

// formGroup plans a group of the servers that need the least loading, and
// returns the remaining servers.
func (p *planner) formGroup(domain string, m routes.Model, servers []registry.Server) []registry.Server {
	slices.SortStableFunc(servers, func(a, b registry.Server) int {
		return cmp.Compare(p.loadEffort(a, m.Name), p.loadEffort(b, m.Name))
	})
	p.decision.Plan.LastEpoch++
	g := Group{
		Name:         fmt.Sprintf("%s-%d", domain, p.decision.Plan.LastEpoch),
		FabricDomain: domain,
		Model:        m.Name,
		Epoch:        p.decision.Plan.LastEpoch,
		HeadAddress:  servers[0].Address,
	}
	for _, s := range servers[:m.Size] {
		g.Members = append(g.Members, Member{ID: s.ID, Incarnation: s.Incarnation})
	}
	p.keepGroup(g)
	p.decision.Formed = append(p.decision.Formed, g)
	p.decision.Changed = true
	return servers[m.Size:]
}

// loadEffort ranks a server by the work needed before it can serve a model; the
// lowest rank needs the least.
func (p *planner) loadEffort(s registry.Server, model string) int {
	switch {
	case s.Model == model:
		return 0
	case s.HasStaged(model):
		return 1
	case p.Loading[s.ID] == model:
		return 2
	case s.Model == "" && len(s.Staged) == 0:
		return 3
	default:
		return 4
	}
}

// minDeficit is the least deficit, in groups of the model, for which the planner
// forms, stages or dissolves groups in favor of a model.
const minDeficit = 0.4

// modelInDeficit returns the model with the largest deficit, if that deficit
// justifies another group.
func (p *planner) modelInDeficit() (routes.Model, bool) {
	m, ok := p.largestDeficit(func(routes.Model) bool { return true })
	return m, ok && p.hasDeficit(m)
}

// reassignGroups dissolves groups of models with a smaller deficit if their
// servers already hold the weights that complete a group of the model with the
// largest deficit.
func (p *planner) reassignGroups() {
	m, ok := p.modelInDeficit()
	if !ok || p.anyDissolving() {
		return
	}
	for _, d := range p.domains {
		preloaded := p.countPreloaded(p.idle[d], m.Name)
		donors := p.donors(d, m)
		for n := range donors {
			preloaded += p.countPreloadedMembers(p.decision.Plan.Groups[donors[n]], m.Name)
			if preloaded >= m.Size {
				p.markDissolving(donors[:n+1])
				return
			}
		}
	}
}

// donors returns the indexes of the groups in a fabric domain that may be
// dissolved in favor of model m. Groups with the most servers that need no load
// for m come first. A donor model's deficit always stays below that of m.
func (p *planner) donors(domain string, m routes.Model) []int {
	released := map[string]float64{}
	var donors []int
	for i, g := range p.decision.Plan.Groups {
		if g.FabricDomain != domain || g.Model == m.Name || p.groupCondition(g).ready != len(g.Members) {
			continue
		}
		donor := p.models[g.Model]
		if p.deficit(donor)+released[g.Model]+float64(donor.Size) >= p.deficit(m) {
			continue
		}
		released[g.Model] += float64(donor.Size)
		donors = append(donors, i)
	}
	slices.SortStableFunc(donors, func(a, b int) int {
		return cmp.Compare(p.countPreloadedMembers(p.decision.Plan.Groups[b], m.Name), p.countPreloadedMembers(p.decision.Plan.Groups[a], m.Name))
	})
	return donors
}

// anyDissolving reports whether any planned group is being dissolved.
func (p *planner) anyDissolving() bool {
	return p.countMembers(func(g Group) bool { return g.Dissolving }) > 0
}

// markDissolving marks the planned groups with the given indexes as dissolving.
func (p *planner) markDissolving(groups []int) {
	for _, i := range groups {
		p.decision.Plan.Groups[i].Dissolving = true
	}
	p.decision.Changed = true
}

// countPreloaded returns the number of servers that need no load to serve a
// model.
func (p *planner) countPreloaded(servers []registry.Server, model string) int {
	n := 0
	for _, s := range servers {
		if !needsLoad(s, model) {
			n++
		}
	}
	return n
}

// countPreloadedMembers returns the number of members of a group that need no
// load to serve a model.
func (p *planner) countPreloadedMembers(g Group, model string) int {
	return p.countPreloaded(p.servers(g), model)
}

// servers returns the registrations of a group's members.
func (p *planner) servers(g Group) []registry.Server {
	servers := make([]registry.Server, 0, len(g.Members))
	for _, m := range g.Members {
		servers = append(servers, p.records[m.ID].Server)
	}
	return servers
}
