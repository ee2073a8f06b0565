// Package formation decides which backend servers form which replica groups.
//
// Decide compares the plan, which is stored in the platform's store, with the
// servers' registrations, and returns the next plan and the orders that are safe
// to send now. It keeps no state between calls, so a new controller of a failure
// domain continues from the plan and the registrations alone.
//
// The package maintains two invariants: a head never serves before every member
// has been ready, and a member never joins another group while the head of its
// current group may still serve. A head is therefore opened only once every
// member reports ready under the group's name and epoch, and members become
// available only once the head is known to have left the group.
package formation

import (
	"cmp"
	"slices"
	"time"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/routes"
)

// Member identifies one incarnation of a backend server.
type Member struct {
	ID          string
	Incarnation int64
}

// Group is a planned replica group.
type Group struct {
	// Name contains the epoch, so that no two groups ever share a name.
	Name         string
	FabricDomain string
	Model        string
	// Epoch is higher than that of every earlier group of the failure domain.
	Epoch uint64
	// Members is not empty; the first is the head.
	Members []Member
	// HeadAddress is the address of the head, at which a node that never saw its
	// registration can probe it; empty in plans that were written before it was kept.
	HeadAddress string
	// Dissolving is set when a working group is to be dissolved so that its
	// servers can serve another model.
	Dissolving bool
}

// Plan holds the groups of one failure domain. A server is in at most one group.
type Plan struct {
	Groups []Group
	// LastEpoch is the highest epoch assigned so far.
	LastEpoch uint64
	// Lost holds the ranges of epochs of which the store may have lost groups, since it came
	// back from an older copy.
	Lost []EpochRange
}

// Operation is the action that an order requests from a server.
type Operation string

// Operations.
const (
	// OperationJoin makes a server a member of a group.
	OperationJoin Operation = "join"
	// OperationOpen makes a head accept requests.
	OperationOpen Operation = "open"
	// OperationClose makes a head finish its current requests and reject new ones.
	OperationClose Operation = "close"
	// OperationLeave removes a server from its group immediately.
	OperationLeave Operation = "leave"
	// OperationStage loads a model's weights onto the server's host.
	OperationStage Operation = "stage"
)

// Order is an instruction to one server.
type Order struct {
	Server    registry.Server
	Operation Operation
	Group     string
	Epoch     uint64
	Model     string
	// Members lists the server IDs of the group by rank, for OperationJoin only.
	Members []string
	// Head is the ID of the head whose group is to break, if a member is to leave it.
	Head string
	// StartsLoad is set if the order starts a load from the weight store.
	StartsLoad bool
	// Reason is the cause of the order, for the log.
	Reason string
}

// View is the input of Decide.
type View struct {
	Now     time.Time
	Servers registry.View
	// Service and FailureDomain select the servers to plan for.
	Service       string
	FailureDomain string
	// Services lists the configured services, of which servers may be registered.
	Services []string
	Models   []routes.Model
	// Weights holds the fraction of the engines that each model should have; the
	// fractions add up to one.
	Weights map[string]float64
	Plan    Plan
	// LoadBudget is the number of loads from the weight store that may start now.
	LoadBudget int
	// RetryBudget is the number of load orders that may be sent again now, in case
	// the first one was lost.
	RetryBudget int
	// Loading maps server IDs to the model that the server was ordered to load and
	// may still be loading. LoadBudget already accounts for these loads.
	Loading map[string]string
	// RecentlySent reports whether an order was sent so recently that it needn't
	// be sent again.
	RecentlySent func(o Order) bool
	// MissingGrace is how long a server whose registration is missing still counts
	// as registered while the store is unstable.
	MissingGrace time.Duration
	// HeadStopped reports whether a head that was probed is known not to have work of its
	// group.
	HeadStopped func(r registry.Record) bool
	// HeadSilent reports whether a head without a registration has been silent since that
	// lapsed, so that its group is to be broken by taking a member out.
	HeadSilent func(r registry.Record) bool
	// CloseTimeout is the time that a closing head has to finish its requests.
	CloseTimeout time.Duration
}

// Release is a group removed from the plan, with the reason.
type Release struct {
	Group  Group
	Reason string
}

// Decision is the result of Decide.
type Decision struct {
	Plan Plan
	// Changed is set if Plan must be written. Orders then holds only those that
	// the previous plan allows as well.
	Changed  bool
	Formed   []Group
	Released []Release
	Orders   []Order
	Summary  Summary
	// UnregisteredHeads lists heads without a registration that must be probed to find
	// out whether they still have work. Their Group is that of the plan.
	UnregisteredHeads []registry.Record
	// DepartedHeads lists heads whose registrations say that they don't serve their
	// groups, which they must confirm: this node has read no report of theirs as members,
	// so that the registration may be one that the store wrote late.
	// Their Group is that of the plan.
	DepartedHeads []registry.Record
}

// Summary counts servers and groups by state, for the log.
type Summary struct {
	Servers  int
	Draining int
	// Complete and Partial count the planned groups by model. A group is complete
	// if all its members are ready.
	Complete, Partial map[string]int
	// Preloaded counts, by model, the servers outside groups that need no load to
	// serve it; Unloaded counts those that need a load for every model.
	Preloaded map[string]int
	Unloaded  int
}

// planner holds the state of one call of Decide.
type planner struct {
	View
	records map[string]registry.Record
	models  map[string]routes.Model
	// usable is the number of servers that are in groups or could be.
	usable int
	// planned holds the IDs of the servers in groups that stay in the plan.
	planned map[string]bool
	// idle holds the available servers by fabric domain; domains lists the fabric
	// domains.
	idle    map[string][]registry.Server
	domains []string
	// newest is when the newest server of each fabric domain was first observed.
	newest   map[string]time.Time
	decision Decision
}

// Decide returns the next plan and the orders of one failure domain.
func Decide(v View) Decision {
	p := &planner{
		View:    v,
		records: map[string]registry.Record{},
		models:  map[string]routes.Model{},
		planned: map[string]bool{},
		idle:    map[string][]registry.Server{},
		newest:  map[string]time.Time{},
	}
	for _, r := range v.Servers.Servers {
		if r.Service == v.Service && r.FailureDomain == v.FailureDomain {
			p.records[r.ID] = r
			if p.alive(r) && !r.Draining && r.FabricDomain != "" {
				p.usable++
			}
		}
	}
	for _, m := range v.Models {
		p.models[m.Name] = m
	}
	p.decision.Plan.LastEpoch, p.decision.Plan.Lost = v.Plan.LastEpoch, v.Plan.Lost
	for _, g := range v.Plan.Groups {
		p.keepOrRelease(g)
	}
	p.adoptLostGroups()
	p.formGroups()
	p.orderPlannedGroups()
	p.stageWeights()
	p.summarize()
	if p.decision.Changed {
		// The new plan takes effect once it is written. Until then, only orders
		// that the old plan allows as well may be sent.
		p.decision.Orders = ordersAllowedBy(p.decision.Orders, v.Plan)
	}
	return p.decision
}

// summarize fills in the decision's summary.
func (p *planner) summarize() {
	s := Summary{Complete: map[string]int{}, Partial: map[string]int{}, Preloaded: map[string]int{}}
	for _, g := range p.decision.Plan.Groups {
		if c := p.groupCondition(g); c.ready == len(g.Members) {
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
		if !p.planned[r.ID] {
			p.countIdle(&s, r.Server)
		}
	}
	p.decision.Summary = s
}

// countIdle adds a server outside groups to the summary.
func (p *planner) countIdle(s *Summary, server registry.Server) {
	for _, m := range p.Models {
		if !needsLoad(server, m.Name) {
			s.Preloaded[m.Name]++
		}
	}
	if p.needsLoadForEvery(server) {
		s.Unloaded++
	}
}

// ordersAllowedBy returns the orders for groups of the written plan, and all
// orders to stage weights, which depend on no group.
func ordersAllowedBy(orders []Order, written Plan) []Order {
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

// alive reports whether the server is registered, or may still register again
// after an outage of the store.
func (p *planner) alive(r registry.Record) bool {
	return r.ID != "" && !p.Servers.Missing(r, p.Now, p.MissingGrace)
}

// member returns the record of a member, and whether that incarnation is still
// registered.
func (p *planner) member(m Member) (registry.Record, bool) {
	r, ok := p.records[m.ID]
	return r, ok && p.alive(r) && r.Incarnation == m.Incarnation
}

// condition summarizes the states of a group's members.
type condition struct {
	// lost and draining hold the IDs of members that are no longer registered and
	// of those that are draining.
	lost     []string
	draining []string
	// ready is the number of members that are ready under the group's epoch.
	ready int
	// broken is set if a member reports the group as broken.
	broken bool
	// superseded is set if a member reports a group with a higher epoch.
	superseded bool
}

// groupCondition determines the condition of a group from the registrations.
func (p *planner) groupCondition(g Group) condition {
	var c condition
	for _, m := range g.Members {
		r, ok := p.member(m)
		switch {
		case !ok:
			c.lost = append(c.lost, m.ID)
		case r.Draining:
			c.draining = append(c.draining, m.ID)
		case r.Group.Epoch > g.Epoch:
			c.superseded = true
		case r.In(g.Name, g.Epoch) && r.Group.State == registry.StateBroken:
			c.broken = true
		case r.In(g.Name, g.Epoch) && r.Group.State != registry.StateJoining:
			c.ready++
		}
	}
	return c
}

// keepOrRelease keeps a group that can serve. It releases any other group once
// its head is known not to serve, and until then orders the head to leave.
func (p *planner) keepOrRelease(g Group) {
	c := p.groupCondition(g)
	_, known := p.models[g.Model]
	var reason string
	switch {
	case !known:
		reason = "model is no longer configured"
	case g.Dissolving:
		reason = "dissolved"
	case len(c.lost) > 0:
		reason = "member lost"
	case c.superseded:
		reason = "member in another group"
	case c.broken:
		reason = "group broken"
	case len(c.draining) > 0:
		reason = "member leaving"
	default:
		p.keepGroup(g)
		return
	}
	if p.headLeft(g) {
		p.decision.Released = append(p.decision.Released, Release{Group: g, Reason: reason})
		p.decision.Changed = true
		return
	}
	p.keepGroup(g)
	p.orderHeadToLeave(g, reason, len(c.lost) == 0 && !c.broken && !c.superseded)
}

// keepGroup adds a group to the next plan.
func (p *planner) keepGroup(g Group) {
	p.decision.Plan.Groups = append(p.decision.Plan.Groups, g)
	for _, m := range g.Members {
		p.planned[m.ID] = true
	}
}

// orderPlannedGroups adds the orders that bring the servers to the planned
// state. Loads go first to the models with the lowest supply ratio, and within
// a model to the groups that need the fewest.
func (p *planner) orderPlannedGroups() {
	var joining []Group
	complete := map[string]int{}
	for _, g := range p.decision.Plan.Groups {
		c := p.groupCondition(g)
		if g.Dissolving || len(c.lost)+len(c.draining) > 0 || c.broken || c.superseded {
			continue
		}
		if c.ready == len(g.Members) {
			complete[g.Model] += len(g.Members)
			p.orderOpen(g)
			continue
		}
		joining = append(joining, g)
	}
	slices.SortStableFunc(joining, func(a, b Group) int {
		return cmp.Or(
			cmp.Compare(p.supplyRatio(a.Model, complete), p.supplyRatio(b.Model, complete)),
			cmp.Compare(p.loadsNeeded(a), p.loadsNeeded(b)),
		)
	})
	for _, g := range joining {
		p.orderJoins(g)
	}
}

// supplyRatio returns the number of servers in complete groups of a model, as a
// fraction of the servers that the model should have.
func (p *planner) supplyRatio(model string, complete map[string]int) float64 {
	return float64(complete[model]) / max(1, p.Weights[model]*float64(p.usable))
}

// loadsNeeded returns the number of loads that a group still needs.
func (p *planner) loadsNeeded(g Group) int {
	n := 0
	for _, m := range g.Members {
		if r, _ := p.member(m); !r.In(g.Name, g.Epoch) && needsLoad(r.Server, g.Model) {
			n++
		}
	}
	return n
}

// orderOpen orders the head of a group to serve, once all members are ready.
func (p *planner) orderOpen(g Group) {
	r, _ := p.member(g.Members[0])
	if r.Group.State != registry.StateReady {
		return
	}
	p.addOrder(Order{
		Server: r.Server, Operation: OperationOpen, Group: g.Name, Epoch: g.Epoch, Model: g.Model, Reason: "all members ready",
	})
}

// orderJoins orders the members that are not yet in the group to join it.
func (p *planner) orderJoins(g Group) {
	ids := make([]string, 0, len(g.Members))
	for _, m := range g.Members {
		ids = append(ids, m.ID)
	}
	for _, m := range g.Members {
		r, _ := p.member(m)
		if r.In(g.Name, g.Epoch) {
			continue
		}
		p.addOrder(Order{
			Server: r.Server, Operation: OperationJoin, Group: g.Name, Epoch: g.Epoch, Model: g.Model,
			Members: ids, StartsLoad: needsLoad(r.Server, g.Model), Reason: "planned",
		})
	}
}

// addOrder adds an order unless it was sent recently or needs a load beyond the
// budget.
func (p *planner) addOrder(o Order) {
	if p.RecentlySent(o) || (o.StartsLoad && !p.reserveLoad(o.Server, o.Model)) {
		return
	}
	p.decision.Orders = append(p.decision.Orders, o)
}

// reserveLoad deducts a load for a server from the load budget and reports
// whether the budget allowed it. A load that was already ordered is deducted
// from the retry budget instead, since its order may have been lost.
func (p *planner) reserveLoad(s registry.Server, model string) bool {
	budget := &p.LoadBudget
	if p.Loading[s.ID] == model {
		budget = &p.RetryBudget
	}
	if *budget <= 0 {
		return false
	}
	*budget--
	return true
}

// needsLoad reports whether a server must load the weights from the weight store
// to join a group of the model.
func needsLoad(s registry.Server, model string) bool {
	return s.Model != model && !s.HasStaged(model)
}
