// Package formation decides which backend servers form which replica groups.
//
// Decide compares the plan, which is kept in the platform's store, with what
// the servers report, and returns the next plan and the orders that are safe
// now. It depends on no earlier step, so whoever takes a failure domain over
// goes on from the plan and the registrations alone.
//
// Two things must never happen: a head that serves while a member never was
// ready, and a member that joins another group while the head of its own may
// still serve. A head is therefore opened only once every member reports ready
// under the group's name and epoch, and members are free only once the head is
// known to be out of the group.
package formation

import (
	"cmp"
	"slices"
	"time"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/routes"
)

// Member is one life of a backend server.
type Member struct {
	ID          string
	Incarnation int64
}

// Group is a replica group of the plan.
type Group struct {
	// Name is unique to the group and its epoch.
	Name         string
	FabricDomain string
	Model        string
	// Epoch is above that of every earlier group of the failure domain.
	Epoch uint64
	// Members is not empty; the first is the head.
	Members []Member
	// Dissolving is set once the group is to be taken apart though it could
	// serve.
	Dissolving bool
}

// Plan holds the groups of one failure domain. A server is in one group at most.
type Plan struct {
	Groups []Group
	// LastEpoch is the highest epoch that was ever given out.
	LastEpoch uint64
}

// Operation is what a server is ordered to do.
type Operation string

// Operations.
const (
	// OperationJoin makes a server a member of a group.
	OperationJoin Operation = "join"
	// OperationOpen makes a head serve.
	OperationOpen Operation = "open"
	// OperationClose makes a head finish what it has and take nothing new.
	OperationClose Operation = "close"
	// OperationLeave takes a server out of its group at once.
	OperationLeave Operation = "leave"
	// OperationStage loads a model's weights onto the host.
	OperationStage Operation = "stage"
)

// Order is one order to one server.
type Order struct {
	Server    registry.Server
	Operation Operation
	Group     string
	Epoch     uint64
	Model     string
	// Members is set for OperationJoin.
	Members []string
	// StartsLoad is set when the order begins a load from the weight store.
	StartsLoad bool
	// Reason tells what the order is for.
	Reason string
}

// View is what Decide depends on.
type View struct {
	Now     time.Time
	Servers registry.View
	// Service and FailureDomain select the servers that may be used.
	Service       string
	FailureDomain string
	Models        []routes.Model
	// Weights holds the part of the engines that each model should have; they
	// add up to one.
	Weights map[string]float64
	Plan    Plan
	// LoadBudget is the number of loads from the weight store that may begin now.
	LoadBudget int
	// RetryBudget is the number of orders to load that may be given again now, in
	// case the first one was lost.
	RetryBudget int
	// Loading holds the model that each server was ordered to load and may still
	// be loading, by server ID. Such loads don't count in Loads any more.
	Loading map[string]string
	// RecentlySent reports whether an order was given so recently that it needn't
	// be given again.
	RecentlySent func(o Order) bool
	// MissingGrace is how long a missing registration may still return while the store
	// is in trouble.
	MissingGrace time.Duration
	// HeadStopped reports whether a head without a registration is known not to serve.
	HeadStopped func(id string) bool
	// CloseTimeout is how long a closing head may take to finish its requests.
	CloseTimeout time.Duration
}

// Release is a group that left the plan, and why.
type Release struct {
	Group  Group
	Reason string
}

// Decision is the outcome of Decide.
type Decision struct {
	Plan Plan
	// Changed is set when Plan must be written before Orders may be sent.
	Changed  bool
	Formed   []Group
	Released []Release
	Orders   []Order
	Summary  Summary
	// UnregisteredHeads lists heads without a registration that must be asked whether
	// they still serve.
	UnregisteredHeads []registry.Server
}

// Summary counts what the servers do.
type Summary struct {
	Servers  int
	Draining int
	// Complete and Partial count the planned groups by model.
	Complete, Partial map[string]int
	// Preloaded counts the servers outside groups that need no load for a model; Cold
	// those that need one for any.
	Preloaded map[string]int
	Unloaded  int
}

// planner works out one decision.
type planner struct {
	View
	records map[string]registry.Record
	models  map[string]routes.Model
	// bound holds the servers of groups that stay in the plan.
	bound map[string]bool
	// idle holds the free servers by fabric domain; domains lists those.
	idle     map[string][]registry.Server
	domains  []string
	decision Decision
}

// Decide returns the next plan and the orders of one failure domain.
func Decide(v View) Decision {
	p := &planner{
		View:    v,
		records: map[string]registry.Record{},
		models:  map[string]routes.Model{},
		bound:   map[string]bool{},
		idle:    map[string][]registry.Server{},
	}
	for _, r := range v.Servers.Servers {
		if r.Service == v.Service && r.FailureDomain == v.FailureDomain {
			p.records[r.ID] = r
		}
	}
	for _, m := range v.Models {
		p.models[m.Name] = m
	}
	p.decision.Plan.LastEpoch = v.Plan.LastEpoch
	for _, g := range v.Plan.Groups {
		p.keepOrRelease(g)
	}
	p.formGroups()
	p.order()
	p.prepare()
	p.summarise()
	if p.decision.Changed {
		// The plan is in force once it is written; until then only orders that
		// the old plan calls for as well may be sent.
		p.decision.Orders = keepOrders(p.decision.Orders, v.Plan)
	}
	return p.decision
}

func (p *planner) summarise() {
	s := Summary{Complete: map[string]int{}, Partial: map[string]int{}, Preloaded: map[string]int{}}
	for _, g := range p.decision.Plan.Groups {
		if c := p.inspect(g); c.ready == len(g.Members) {
			s.Complete[g.Model]++
		} else {
			s.Partial[g.Model]++
		}
	}
	for _, r := range p.records {
		if !p.alive(r) || r.FabricDomain == "" {
			continue
		}
		s.Servers++
		if r.Draining {
			s.Draining++
			continue
		}
		if !p.bound[r.ID] {
			p.countIdle(&s, r.Server)
		}
	}
	p.decision.Summary = s
}

func (p *planner) countIdle(s *Summary, server registry.Server) {
	for _, m := range p.Models {
		if !needsLoad(server, m.Name) {
			s.Preloaded[m.Name]++
		}
	}
	if p.cold(server) {
		s.Unloaded++
	}
}

// keepOrders returns the orders that concern groups of a plan that is written.
func keepOrders(orders []Order, written Plan) []Order {
	known := map[uint64]bool{}
	for _, g := range written.Groups {
		known[g.Epoch] = true
	}
	var kept []Order
	for _, o := range orders {
		if known[o.Epoch] || o.Operation == OperationStage {
			kept = append(kept, o)
		}
	}
	return kept
}

// alive reports whether the server's registration stands.
func (p *planner) alive(r registry.Record) bool {
	return r.ID != "" && !p.Servers.Missing(r, p.Now, p.MissingGrace)
}

// member returns the record of a member and whether it is the same life.
func (p *planner) member(m Member) (registry.Record, bool) {
	r, ok := p.records[m.ID]
	return r, ok && p.alive(r) && r.Incarnation == m.Incarnation
}

// condition sorts the members of a group.
type condition struct {
	lost    []string
	leaving []string
	// ready is the number of members that are ready under the epoch.
	ready int
	// broken is set when a member reports the group as broken.
	broken bool
	// strayed is set when a member that was in the group reports another one.
	strayed bool
}

func (p *planner) inspect(g Group) condition {
	var c condition
	for _, m := range g.Members {
		r, ok := p.member(m)
		switch {
		case !ok:
			c.lost = append(c.lost, m.ID)
		case r.Draining:
			c.leaving = append(c.leaving, m.ID)
		case r.Group.Epoch > g.Epoch:
			c.strayed = true
		case r.In(g.Name, g.Epoch) && r.Group.State == registry.StateBroken:
			c.broken = true
		case r.In(g.Name, g.Epoch) && r.Group.State != registry.StateJoining:
			c.ready++
		}
	}
	return c
}

// keepOrRelease keeps a group that can serve, and takes apart one that can't.
func (p *planner) keepOrRelease(g Group) {
	c := p.inspect(g)
	_, known := p.models[g.Model]
	var reason string
	switch {
	case !known:
		reason = "model is no longer configured"
	case g.Dissolving:
		reason = "dissolved"
	case len(c.lost) > 0:
		reason = "member lost"
	case c.strayed:
		reason = "member in another group"
	case c.broken:
		reason = "group broken"
	case len(c.leaving) > 0:
		reason = "member leaving"
	default:
		p.keep(g)
		return
	}
	if p.headOut(g) {
		p.decision.Released = append(p.decision.Released, Release{Group: g, Reason: reason})
		p.decision.Changed = true
		return
	}
	p.keep(g)
	p.takeApart(g, reason, len(c.lost) == 0 && !c.broken && !c.strayed)
}

func (p *planner) keep(g Group) {
	p.decision.Plan.Groups = append(p.decision.Plan.Groups, g)
	for _, m := range g.Members {
		p.bound[m.ID] = true
	}
}

// headOut reports whether the head of a group is known not to serve it.
func (p *planner) headOut(g Group) bool {
	m := g.Members[0]
	r, ok := p.records[m.ID]
	switch {
	case !ok || !p.alive(r):
		if p.HeadStopped(m.ID) {
			return true
		}
		if ok {
			p.decision.UnregisteredHeads = append(p.decision.UnregisteredHeads, r.Server)
		}
		return false
	case r.Incarnation != m.Incarnation, !r.In(g.Name, g.Epoch):
		return true
	default:
		return r.Group.State == registry.StateBroken || r.Group.State == registry.StateJoining
	}
}

// takeApart orders the head out of its group: at once when nothing moves
// there any more, else after it has finished its requests.
func (p *planner) takeApart(g Group, reason string, finish bool) {
	r, ok := p.member(g.Members[0])
	if !ok {
		return
	}
	operation := OperationLeave
	if finish {
		switch r.Group.State {
		case registry.StateOpen:
			operation = OperationClose
		case registry.StateClosing:
			if p.Now.Sub(r.ChangedAt) < p.CloseTimeout {
				return
			}
		}
	}
	p.give(Order{
		Server: r.Server, Operation: operation, Group: g.Name, Epoch: g.Epoch, Model: g.Model, Reason: reason,
	})
}

// order adds the orders that bring the servers to the plan. Loads go to the
// groups that are worth most for one.
func (p *planner) order() {
	var joining []Group
	whole := map[string]int{}
	for _, g := range p.decision.Plan.Groups {
		c := p.inspect(g)
		if g.Dissolving || len(c.lost)+len(c.leaving) > 0 || c.broken || c.strayed {
			continue
		}
		if c.ready == len(g.Members) {
			whole[g.Model] += len(g.Members)
			p.open(g)
			continue
		}
		joining = append(joining, g)
	}
	slices.SortStableFunc(joining, func(a, b Group) int {
		return cmp.Or(
			cmp.Compare(p.supply(a.Model, whole), p.supply(b.Model, whole)),
			cmp.Compare(p.loadsOf(a), p.loadsOf(b)),
		)
	})
	for _, g := range joining {
		p.join(g)
	}
}

// supply returns the part of the servers that a model should have which is in
// whole groups of it.
func (p *planner) supply(model string, whole map[string]int) float64 {
	return float64(whole[model]) / max(1, p.Weights[model]*float64(p.usable()))
}

// loadsOf returns the number of loads that a group still needs.
func (p *planner) loadsOf(g Group) int {
	n := 0
	for _, m := range g.Members {
		if r, _ := p.member(m); !r.In(g.Name, g.Epoch) && needsLoad(r.Server, g.Model) {
			n++
		}
	}
	return n
}

// open opens the head of a group whose members are all ready.
func (p *planner) open(g Group) {
	r, _ := p.member(g.Members[0])
	if r.Group.State != registry.StateReady {
		return
	}
	p.give(Order{
		Server: r.Server, Operation: OperationOpen, Group: g.Name, Epoch: g.Epoch, Model: g.Model, Reason: "all members ready",
	})
}

// join orders the members that are not in the group yet to join it.
func (p *planner) join(g Group) {
	ids := make([]string, 0, len(g.Members))
	for _, m := range g.Members {
		ids = append(ids, m.ID)
	}
	for _, m := range g.Members {
		r, _ := p.member(m)
		if r.In(g.Name, g.Epoch) {
			continue
		}
		p.give(Order{
			Server: r.Server, Operation: OperationJoin, Group: g.Name, Epoch: g.Epoch, Model: g.Model,
			Members: ids, StartsLoad: needsLoad(r.Server, g.Model), Reason: "planned",
		})
	}
}

// give adds an order unless it was given lately or needs a load that is not left.
func (p *planner) give(o Order) {
	if p.RecentlySent(o) || (o.StartsLoad && !p.takeLoad(o.Server, o.Model)) {
		return
	}
	p.decision.Orders = append(p.decision.Orders, o)
}

// takeLoad takes a load for a server from what is left. A load that was ordered
// already takes none, though its order may have to be repeated.
func (p *planner) takeLoad(s registry.Server, model string) bool {
	left := &p.LoadBudget
	if p.Loading[s.ID] == model {
		left = &p.RetryBudget
	}
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

// needsLoad reports whether joining a group of the model takes a load from the
// weight store.
func needsLoad(s registry.Server, model string) bool {
	return s.Model != model && !s.HasStaged(model)
}
