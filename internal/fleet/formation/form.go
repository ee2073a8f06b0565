package formation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/routes"
)

// formGroups plans new groups from the free servers of each fabric domain, and
// prepares what is left.
func (p *planner) formGroups() {
	free := map[string][]registry.Server{}
	for _, r := range p.records {
		if r.FabricDomain == "" {
			continue
		}
		servers := free[r.FabricDomain]
		if p.free(r) {
			servers = append(servers, r.Server)
		}
		free[r.FabricDomain] = servers
	}
	domains := make([]string, 0, len(free))
	for d := range free {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	for _, d := range domains {
		servers := free[d]
		slices.SortFunc(servers, func(a, b registry.Server) int { return cmp.Compare(a.ID, b.ID) })
		for {
			m, ok := p.next(d, servers)
			if !ok {
				break
			}
			servers = p.form(d, m, servers)
		}
		p.borrow(d, servers)
		p.stage(d, servers)
	}
}

// free reports whether a server may be put into a group.
func (p *planner) free(r registry.Record) bool {
	if p.bound[r.ID] || !p.alive(r) || r.Draining || r.FabricDomain == "" {
		return false
	}
	if r.Group.Name != "" && r.Group.Rank == 0 && (r.Group.State == registry.StateOpen || r.Group.State == registry.StateClosing) {
		// The head of a group that is in no plan must stop first.
		p.decision.Orders = append(p.decision.Orders, Order{
			Server: r.Server, Operation: OperationLeave, Group: r.Group.Name, Epoch: r.Group.Epoch, Model: r.Model,
			Reason: "group is not planned",
		})
		return false
	}
	return true
}

// assigned returns the number of servers in planned groups of a model.
func (p *planner) assigned(model string) int {
	n := 0
	for _, g := range p.decision.Plan.Groups {
		if g.Model == model {
			n += len(g.Members)
		}
	}
	return n
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
	most, ok := p.neediest(func(routes.Model) bool { return true })
	if !ok {
		return most, false
	}
	if !p.settled(domain) {
		first := !p.anyGroup(domain)
		return most, n >= most.Size+p.standbys() || (first && n >= most.Size)
	}
	return p.neediest(func(m routes.Model) bool {
		return n >= m.Size+p.standbys() && !p.completes(servers, m)
	})
}

// completes reports whether most of another model's group is among the servers,
// so that they had better wait for the rest of it than be loaded anew.
func (p *planner) completes(servers []registry.Server, other routes.Model) bool {
	for _, m := range p.Models {
		if m.Name != other.Name && m.Size > other.Size && p.hot(servers, m.Name) > m.Size/2 &&
			p.shortage(m) >= float64(m.Size)*minShortage {
			return true
		}
	}
	return false
}

// standbys is the number of servers that a fabric domain keeps out of groups.
func (p *planner) standbys() int {
	return len(p.Models)
}

func (p *planner) anyGroup(domain string) bool {
	for _, g := range p.decision.Plan.Groups {
		if g.FabricDomain == domain {
			return true
		}
	}
	return false
}

// form plans a group and returns the servers that are left.
func (p *planner) form(domain string, m routes.Model, servers []registry.Server) []registry.Server {
	slices.SortStableFunc(servers, func(a, b registry.Server) int {
		return cmp.Compare(effort(a, m.Name), effort(b, m.Name))
	})
	p.decision.Plan.LastEpoch++
	g := Group{
		Name:         fmt.Sprintf("%s-%d", domain, p.decision.Plan.LastEpoch),
		FabricDomain: domain,
		Model:        m.Name,
		Epoch:        p.decision.Plan.LastEpoch,
	}
	for _, s := range servers[:m.Size] {
		g.Members = append(g.Members, Member{ID: s.ID, Born: s.Born})
	}
	p.keep(g)
	p.decision.Formed = append(p.decision.Formed, g)
	p.decision.Changed = true
	return servers[m.Size:]
}

// effort orders servers by what it takes to have them serve a model.
func effort(s registry.Server, model string) int {
	switch {
	case s.Model == model:
		return 0
	case s.HasStaged(model):
		return 1
	case s.Model == "" && len(s.Staged) == 0:
		return 2
	default:
		return 3
	}
}

// borrow dissolves a group of a model with enough others when its servers
// complete a group of the model that lacks the most.
func (p *planner) borrow(domain string, left []registry.Server) {
	if len(left) == 0 {
		return
	}
	want, ok := p.neediest(func(routes.Model) bool { return true })
	if !ok || p.shortage(want) < float64(want.Size)*minShortage || want.Size <= len(left) {
		return
	}
	ready := p.hot(left, want.Name)
	best := -1
	for i, g := range p.decision.Plan.Groups {
		donor := p.models[g.Model]
		if g.FabricDomain != domain || g.Model == want.Name || len(g.Members)+len(left) < want.Size {
			continue
		}
		if g.Dissolving {
			// Its servers are on their way.
			return
		}
		if p.shortage(donor)+float64(donor.Size) >= p.shortage(want) {
			continue
		}
		if c := p.inspect(g); c.ready != len(g.Members) {
			continue
		}
		if best < 0 || p.hotMembers(g, want.Name) > p.hotMembers(p.decision.Plan.Groups[best], want.Name) {
			best = i
		}
	}
	if best < 0 || ready+p.hotMembers(p.decision.Plan.Groups[best], want.Name) < want.Size {
		// Its servers would serve nobody while the weights are loaded.
		return
	}
	p.decision.Plan.Groups[best].Dissolving = true
	p.decision.Changed = true
}

// minShortage is the shortage, in groups, from which a group of another model
// is taken apart.
const minShortage = 0.4

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
	servers := make([]registry.Server, 0, len(g.Members))
	for _, m := range g.Members {
		servers = append(servers, p.records[m.ID].Server)
	}
	return p.hot(servers, model)
}

// stage has idle servers of the fabric domain hold the weights that a group
// will need when it loses a member. Where none is idle, a member of another
// model's group holds them beside what it serves.
func (p *planner) stage(domain string, idle []registry.Server) {
	if !p.settled(domain) || p.joining() {
		return
	}
	taken := map[string]bool{}
	for _, m := range p.bySize() {
		if !p.serves(domain, m.Name) && p.hot(idle, m.Name) == 0 {
			continue
		}
		for range p.missingStandbys(idle, m) {
			s, ok := p.stagingServer(domain, m, idle, taken)
			if !ok || p.Loads <= 0 {
				break
			}
			taken[s.ID] = true
			p.Loads--
			p.decision.Orders = append(p.decision.Orders, Order{
				Server: s, Operation: OperationStage, Model: m.Name, Loads: true, Reason: "standby",
			})
		}
	}
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

// joining reports whether a group still waits for members to be ordered.
func (p *planner) joining() bool {
	for _, g := range p.decision.Plan.Groups {
		for _, m := range g.Members {
			if r, ok := p.member(m); ok && !r.In(g.Name, g.Epoch) {
				return true
			}
		}
	}
	return false
}

func (p *planner) serves(domain, model string) bool {
	for _, g := range p.decision.Plan.Groups {
		if g.FabricDomain == domain && g.Model == model {
			return true
		}
	}
	return false
}

// stagingServer returns the server that costs least to be made hot for a model:
// an idle one that is hot for no model, or for one that has another standby,
// or else a member of another model's group that is not its head.
func (p *planner) stagingServer(domain string, m routes.Model, idle []registry.Server, taken map[string]bool) (registry.Server, bool) {
	for _, s := range idle {
		if !taken[s.ID] && needsLoad(s, m.Name) && !p.onlyStandby(s, idle) {
			return s, true
		}
	}
	for _, g := range p.decision.Plan.Groups {
		if g.FabricDomain != domain || g.Dissolving || p.models[g.Model].Size >= m.Size {
			continue
		}
		last := g.Members[len(g.Members)-1]
		r, ok := p.member(last)
		if !ok || r.Draining || taken[r.ID] {
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
