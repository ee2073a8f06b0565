package formation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/routes"
)

// formGroups plans new groups from the free servers of each fabric domain.
func (p *planner) formGroups() {
	for _, d := range p.fabricDomains() {
		for {
			m, ok := p.next(d, p.idle[d])
			if !ok {
				break
			}
			p.idle[d] = p.form(d, m, p.idle[d])
		}
	}
	p.borrow()
}

// fabricDomains finds the free servers of each fabric domain and returns the
// fabric domains in order.
func (p *planner) fabricDomains() []string {
	for _, r := range p.records {
		if r.FabricDomain == "" {
			continue
		}
		servers := p.idle[r.FabricDomain]
		if p.free(r) {
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

// free reports whether a server may be put into a group.
func (p *planner) free(r registry.Record) bool {
	if p.bound[r.ID] || !p.alive(r) || r.Draining || r.FabricDomain == "" {
		return false
	}
	if r.Group.Name != "" && r.Group.Rank == 0 && (r.Group.State == registry.StateOpen || r.Group.State == registry.StateClosing) {
		// The head of a group that is in no plan must stop first.
		p.give(Order{
			Server: r.Server, Operation: OperationLeave, Group: r.Group.Name, Epoch: r.Group.Epoch, Model: r.Model,
			Reason: "group is not planned",
		})
		return false
	}
	return true
}

// members returns the number of servers in the planned groups that match.
func (p *planner) members(match func(Group) bool) int {
	n := 0
	for _, g := range p.decision.Plan.Groups {
		if match(g) {
			n += len(g.Members)
		}
	}
	return n
}

// assigned returns the number of servers in planned groups of a model.
func (p *planner) assigned(model string) int {
	return p.members(func(g Group) bool { return g.Model == model })
}

// usable returns the number of servers that are or may be put into groups.
func (p *planner) usable() int {
	n := 0
	for _, r := range p.records {
		if p.alive(r) && !r.Draining && r.FabricDomain != "" {
			n++
		}
	}
	return n
}

// shortage is the number of servers that a model lacks.
func (p *planner) shortage(m routes.Model) float64 {
	return p.Weights[m.Name]*float64(p.usable()) - float64(p.assigned(m.Name))
}

// neediest returns the model that lacks the most servers; of equals the one
// with the larger groups, which are the harder to form.
func (p *planner) neediest(fits func(routes.Model) bool) (routes.Model, bool) {
	var best routes.Model
	found := false
	for _, m := range p.Models {
		if !fits(m) {
			continue
		}
		lead := p.shortage(m) - p.shortage(best)
		if !found || lead > 0 || (lead == 0 && m.Size > best.Size) {
			best, found = m, true
		}
	}
	return best, found
}

// settleTime is how long the servers of a fabric domain are waited for while
// more of them come, so that large groups aren't left without members.
const settleTime = time.Second

// settled reports whether no server has come to the fabric domain lately.
func (p *planner) settled(domain string) bool {
	for _, r := range p.records {
		if r.FabricDomain == domain && p.Now.Sub(r.SeenAt) < settleTime {
			return false
		}
	}
	return true
}

// next returns the model to form a group of from free servers. A group that
// needs no load is formed at once. One that does must leave a standby for each
// model, since loads are slow and few while a standby repairs a group in the
// time of a join.
func (p *planner) next(domain string, servers []registry.Server) (routes.Model, bool) {
	if m, ok := p.neediest(func(m routes.Model) bool { return p.hot(servers, m.Name) >= m.Size }); ok {
		return m, true
	}
	n := len(servers)
	if !p.settled(domain) {
		// What else comes decides what the fabric domain is best for, but its
		// first group needn't wait.
		if p.anyGroup(domain) {
			return routes.Model{}, false
		}
		m, ok := p.neediest(func(routes.Model) bool { return true })
		return m, ok && n >= m.Size
	}
	return p.preferred(domain, func(m routes.Model) bool {
		return n >= m.Size+p.standbys(domain, m) && !p.completes(servers, m)
	})
}

// preferred returns the model that a group of a fabric domain should be of: its
// resident while that is short, else the neediest that is. Servers that are hot for the
// same model are worth more in one fabric domain than in several, since what is
// left of two broken groups then makes one.
func (p *planner) preferred(domain string, fits func(routes.Model) bool) (routes.Model, bool) {
	if m, ok := p.resident(domain); ok && fits(m) && p.isShort(m) {
		return m, true
	}
	return p.neediest(func(m routes.Model) bool { return p.isShort(m) && fits(m) })
}

// isShort reports whether a model lacks enough servers for a group.
func (p *planner) isShort(m routes.Model) bool {
	return p.shortage(m) >= float64(m.Size)*minShortage
}

// resident returns the model that most servers of a fabric domain serve, are hot
// for or load.
func (p *planner) resident(domain string) (routes.Model, bool) {
	var best routes.Model
	most := 0
	for _, m := range p.Models {
		n := p.members(func(g Group) bool { return g.FabricDomain == domain && g.Model == m.Name })
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

// completes reports whether most of another model's group is among the servers,
// so that they had better wait for the rest of it than be loaded anew.
func (p *planner) completes(servers []registry.Server, other routes.Model) bool {
	for _, m := range p.Models {
		if m.Name != other.Name && m.Size > other.Size && p.hot(servers, m.Name) > m.Size/2 && p.isShort(m) {
			return true
		}
	}
	return false
}

// standbys is the number of servers that a fabric domain keeps out of groups
// once it has a group of m: one for each model that it serves.
func (p *planner) standbys(domain string, m routes.Model) int {
	n := 1
	for _, other := range p.Models {
		if other.Name != m.Name && p.serves(domain, other.Name) {
			n++
		}
	}
	return n
}

func (p *planner) anyGroup(domain string) bool {
	return p.members(func(g Group) bool { return g.FabricDomain == domain }) > 0
}

// form plans a group and returns the servers that are left.
func (p *planner) form(domain string, m routes.Model, servers []registry.Server) []registry.Server {
	slices.SortStableFunc(servers, func(a, b registry.Server) int {
		return cmp.Compare(p.effort(a, m.Name), p.effort(b, m.Name))
	})
	p.decision.Plan.LastEpoch++
	g := Group{
		Name:         fmt.Sprintf("%s-%d", domain, p.decision.Plan.LastEpoch),
		FabricDomain: domain,
		Model:        m.Name,
		Epoch:        p.decision.Plan.LastEpoch,
	}
	for _, s := range servers[:m.Size] {
		g.Members = append(g.Members, Member{ID: s.ID, Incarnation: s.Incarnation})
	}
	p.keep(g)
	p.decision.Formed = append(p.decision.Formed, g)
	p.decision.Changed = true
	return servers[m.Size:]
}

// effort orders servers by what it takes to have them serve a model.
func (p *planner) effort(s registry.Server, model string) int {
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

// minShortage is the shortage, in groups, from which groups of another model
// are taken apart.
const minShortage = 0.4

// short returns the model that lacks the most servers if it lacks enough of
// them for a group.
func (p *planner) short() (routes.Model, bool) {
	m, ok := p.neediest(func(routes.Model) bool { return true })
	return m, ok && p.isShort(m)
}

// borrow dissolves groups of models with enough others when their servers,
// which need no load, complete a group of the model that lacks the most.
func (p *planner) borrow() {
	m, ok := p.short()
	if !ok || p.anyDissolving() {
		return
	}
	for _, d := range p.domains {
		have := p.hot(p.idle[d], m.Name)
		donors := p.donors(d, m)
		for n := range donors {
			have += p.hotMembers(p.decision.Plan.Groups[donors[n]], m.Name)
			if have >= m.Size {
				p.dissolve(donors[:n+1])
				return
			}
		}
	}
}

// donors returns the indexes of groups in a fabric domain that may be given up
// for a model, those with the most servers that need no load for it first. The
// models that give are never left shorter than the one that takes.
func (p *planner) donors(domain string, m routes.Model) []int {
	given := map[string]float64{}
	var donors []int
	for i, g := range p.decision.Plan.Groups {
		if g.FabricDomain != domain || g.Model == m.Name || p.inspect(g).ready != len(g.Members) {
			continue
		}
		donor := p.models[g.Model]
		if p.shortage(donor)+given[g.Model]+float64(donor.Size) >= p.shortage(m) {
			continue
		}
		given[g.Model] += float64(donor.Size)
		donors = append(donors, i)
	}
	slices.SortStableFunc(donors, func(a, b int) int {
		return cmp.Compare(p.hotMembers(p.decision.Plan.Groups[b], m.Name), p.hotMembers(p.decision.Plan.Groups[a], m.Name))
	})
	return donors
}

func (p *planner) anyDissolving() bool {
	return p.members(func(g Group) bool { return g.Dissolving }) > 0
}

func (p *planner) dissolve(groups []int) {
	for _, i := range groups {
		p.decision.Plan.Groups[i].Dissolving = true
	}
	p.decision.Changed = true
}

// hot returns the number of servers that need no load to serve a model.
func (p *planner) hot(servers []registry.Server, model string) int {
	n := 0
	for _, s := range servers {
		if !needsLoad(s, model) {
			n++
		}
	}
	return n
}

func (p *planner) hotMembers(g Group, model string) int {
	return p.hot(p.servers(g), model)
}

// servers returns the members of a group.
func (p *planner) servers(g Group) []registry.Server {
	servers := make([]registry.Server, 0, len(g.Members))
	for _, m := range g.Members {
		servers = append(servers, p.records[m.ID].Server)
	}
	return servers
}
