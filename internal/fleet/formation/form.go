package formation

import (
	"cmp"
	"fmt"
	"slices"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/routes"
)

// formGroups plans new groups from the free servers of each fabric domain.
func (p *planner) formGroups() {
	free := map[string][]registry.Server{}
	for _, r := range p.records {
		if p.free(r) {
			free[r.FabricDomain] = append(free[r.FabricDomain], r.Server)
		}
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
			m, ok := p.next(len(servers))
			if !ok {
				break
			}
			servers = p.form(d, m, servers)
		}
		p.borrow(d, servers)
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

// shortage is the number of servers that a model lacks, relative to the size of
// its groups.
func (p *planner) shortage(m routes.Model) float64 {
	wanted := p.Weights[m.Name] * float64(p.usable())
	return (wanted - float64(p.assigned(m.Name))) / float64(m.Size)
}

// next returns the model that lacks the most groups among those that n servers
// suffice for.
func (p *planner) next(n int) (routes.Model, bool) {
	var best routes.Model
	found := false
	for _, m := range p.Models {
		if m.Size <= n && (!found || p.shortage(m) > p.shortage(best)) {
			best, found = m, true
		}
	}
	return best, found
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
	var want routes.Model
	for _, m := range p.Models {
		if want.Name == "" || p.shortage(m) > p.shortage(want) {
			want = m
		}
	}
	if p.shortage(want) < minShortage || want.Size <= len(left) {
		return
	}
	for i, g := range p.decision.Plan.Groups {
		donor := p.models[g.Model]
		if g.FabricDomain != domain || g.Model == want.Name || len(g.Members)+len(left) < want.Size {
			continue
		}
		if p.shortage(donor)+1 >= p.shortage(want) {
			continue
		}
		if g.Dissolving {
			// Its servers are on their way.
			return
		}
		if c := p.inspect(g); c.ready == len(g.Members) {
			p.decision.Plan.Groups[i].Dissolving = true
			p.decision.Changed = true
			return
		}
	}
}

// minShortage is the shortage of groups from which a group of another model is
// taken apart: more than half a group.
const minShortage = 0.5
