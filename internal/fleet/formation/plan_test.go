package formation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/internal/fleet/formation"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/routes"
)

var (
	noon   = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)
	models = []routes.Model{{Name: "large", Size: 4, Share: 0.5}, {Name: "small", Size: 2, Share: 0.5}}
)

const (
	service = "llm"
	domain  = "lisboa-a"
	fabric  = "lisboa-a-d0"
)

// server returns the record of a server that registered a minute ago.
func server(id string, change ...func(*registry.Record)) registry.Record {
	r := registry.Record{
		Server: registry.Server{ID: id, Service: service, FailureDomain: domain, FabricDomain: fabric, Slots: 17, Incarnation: 1},
		SeenAt: noon.Add(-time.Minute), ChangedAt: noon.Add(-time.Second),
	}
	for _, c := range change {
		c(&r)
	}
	return r
}

// in makes a server a member of a group.
func in(g formation.Group, rank int, state registry.GroupState) func(*registry.Record) {
	return func(r *registry.Record) {
		r.Group = registry.Membership{Name: g.Name, Epoch: g.Epoch, Rank: rank, State: state}
		r.Model = g.Model
		r.Staged = []string{g.Model}
	}
}

// preloaded makes a server hold the weights of a model.
func preloaded(model string) func(*registry.Record) {
	return func(r *registry.Record) { r.Staged = []string{model} }
}

// ordered gives a server's report a number.
func ordered(r *registry.Record) { r.Sequence = 9 }

// served has a server reported as a ready member of a group with an epoch.
func served(epoch uint64) func(*registry.Record) {
	return func(r *registry.Record) { r.ServedEpoch = epoch }
}

// missing removes a server's registration.
func missing(r *registry.Record) { r.MissingSince = noon.Add(-time.Second) }

func draining(r *registry.Record) { r.Draining = true }

func group(model string, epoch uint64, members ...string) formation.Group {
	g := formation.Group{Name: fmt.Sprintf("%s-%d", fabric, epoch), FabricDomain: fabric, Model: model, Epoch: epoch}
	for _, m := range members {
		g.Members = append(g.Members, formation.Member{ID: m, Incarnation: 1})
	}
	return g
}

func view(plan formation.Plan, servers ...registry.Record) formation.View {
	return formation.View{
		Now:           noon,
		Servers:       registry.View{Servers: servers, ReadAt: noon, StoreStable: true},
		Service:       service,
		FailureDomain: domain,
		Models:        models,
		Weights:       map[string]float64{"large": 0.5, "small": 0.5},
		Plan:          plan,
		LoadBudget:    10,
		MissingGrace:  2 * time.Second,
		HeadStopped:   func(registry.Record) bool { return false },
		HeadSilent:    func(registry.Record) bool { return false },
		RecentlySent:  func(formation.Order) bool { return false },
		CloseTimeout:  6 * time.Second,
	}
}

// orders formats the orders of a decision as "operation server".
func orders(d formation.Decision) []string {
	var out []string
	for _, o := range d.Orders {
		out = append(out, string(o.Operation)+" "+o.Server.ID)
	}
	return out
}

// TestHeadOpensOnlyWhenEveryMemberIsReady guards against a head that serves
// although a member isn't ready under the group's name and epoch.
func TestHeadOpensOnlyWhenEveryMemberIsReady(t *testing.T) {
	g := group("small", 7, "a", "b")
	plan := formation.Plan{Groups: []formation.Group{g}, LastEpoch: 7}
	tests := []struct {
		name  string
		other registry.Record
		want  []string
	}{
		{"ready", server("b", in(g, 1, registry.StateReady)), []string{"open a"}},
		{"joining", server("b", in(g, 1, registry.StateJoining)), nil},
		{"older epoch", server("b", in(group("small", 6, "a", "b"), 1, registry.StateReady)), []string{"join b"}},
		{"not joined", server("b"), []string{"join b"}},
		{"registration missing", server("b", in(g, 1, registry.StateReady), missing), []string{"leave a"}},
		{"other incarnation", server("b", in(g, 1, registry.StateReady), func(r *registry.Record) { r.Incarnation = 2 }), []string{"leave a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := formation.Decide(view(plan, server("a", in(g, 0, registry.StateReady)), tt.other))
			if diff := cmp.Diff(tt.want, orders(d)); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
		})
	}
}

// TestGroupReleasedOnlyOnceHeadStopped guards against assigning members to another group
// while the head of their current group may still serve, also if its registration says
// that it doesn't: the store may have written an older report late.
func TestGroupReleasedOnlyOnceHeadStopped(t *testing.T) {
	g := group("small", 7, "a", "b")
	g.HeadAddress = "10.0.0.1:80"
	plan := formation.Plan{Groups: []formation.Group{g}, LastEpoch: 7}
	tests := []struct {
		name         string
		head         registry.Record
		stopped      bool
		released     bool
		orders       []string
		unregistered int
		// departed is the number of heads that must confirm that they left.
		departed int
	}{
		{name: "open", head: server("a", in(g, 0, registry.StateOpen)), orders: []string{"leave a"}},
		{name: "closing", head: server("a", in(g, 0, registry.StateClosing)), orders: []string{"leave a"}},
		{name: "says that it left", head: server("a"), departed: 1},
		{name: "says that it is joining, which may be an old report", head: server("a", in(g, 0, registry.StateJoining)), departed: 1},
		{name: "says that it is broken", head: server("a", in(g, 0, registry.StateBroken)), departed: 1},
		{name: "in an earlier group by its report", head: server("a", in(group("small", 6, "a", "c"), 0, registry.StateOpen)), departed: 1},
		{name: "out of the group, by a later report than one as a member", head: server("a", ordered, served(7)), released: true},
		{name: "broken, by a later report than one as a member", head: server("a", in(g, 0, registry.StateBroken), ordered, served(7)), released: true},
		{name: "joining, by a later report than one as a member", head: server("a", in(g, 0, registry.StateJoining), ordered, served(7)), departed: 1},
		{name: "out of the group, read as a member of an earlier one only", head: server("a", ordered, served(6)), departed: 1},
		{name: "out of the group, without a number of its report", head: server("a", served(7)), departed: 1},
		{name: "out of the group, confirmed", head: server("a"), stopped: true, released: true},
		{name: "broken, confirmed", head: server("a", in(g, 0, registry.StateBroken)), stopped: true, released: true},
		{name: "other incarnation", head: server("a", func(r *registry.Record) { r.Incarnation = 2 }), released: true},
		{name: "older incarnation, since this node reads late", head: server("a", in(g, 0, registry.StateOpen), func(r *registry.Record) { r.Incarnation = 0 }), unregistered: 1},
		{name: "last registered before it joined, missing", head: server("a", missing), unregistered: 1},
		{name: "never seen", unregistered: 1},
		{name: "missing, may serve", head: server("a", in(g, 0, registry.StateOpen), missing), unregistered: 1},
		{name: "missing, known not to serve", head: server("a", in(g, 0, registry.StateOpen), missing), stopped: true, released: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := view(plan, tt.head, server("b", in(g, 1, registry.StateReady), missing))
			v.HeadStopped = func(registry.Record) bool { return tt.stopped }
			d := formation.Decide(v)
			if released := len(d.Released) == 1; released != tt.released {
				t.Errorf("group released: got %v, want %v", released, tt.released)
			}
			if diff := cmp.Diff(tt.orders, orders(d)); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
			if len(d.UnregisteredHeads) != tt.unregistered {
				t.Fatalf("got unregistered heads %v, want %d", d.UnregisteredHeads, tt.unregistered)
			}
			if len(d.DepartedHeads) != tt.departed {
				t.Fatalf("got departed heads %v, want %d", d.DepartedHeads, tt.departed)
			}
			for _, r := range append(d.UnregisteredHeads, d.DepartedHeads...) {
				if r.ID != "a" || !r.In(g.Name, g.Epoch) || r.Incarnation != 1 || r.Address != tt.head.Address && r.Address != g.HeadAddress {
					t.Errorf("got head %+v to probe, want a as planned", r)
				}
			}
		})
	}
}

// TestServerAtAddressOfHeadShowsThatItEnded guards against members that stay bound to a head
// whose address another server has been given since, and against members that are freed by
// a registration which says nothing about the head.
func TestServerAtAddressOfHeadShowsThatItEnded(t *testing.T) {
	g := group("small", 7, "a", "b")
	g.HeadAddress = "10.0.0.1:80"
	g.Members[0].Incarnation = 5
	at := func(address string, incarnation int64) func(*registry.Record) {
		return func(r *registry.Record) { r.Address, r.Incarnation = address, incarnation }
	}
	tests := []struct {
		name  string
		other registry.Record
		want  bool
	}{
		{"started later", server("c", at(g.HeadAddress, 6)), true},
		{"started later, of another service", server("c", at(g.HeadAddress, 6), func(r *registry.Record) { r.Service = "plain" }), true},
		{"started earlier, its entry was performed late", server("c", at(g.HeadAddress, 4)), false},
		{"start not reported", server("c", at(g.HeadAddress, 0)), false},
		{"of a service that isn't configured", server("c", at(g.HeadAddress, 6), func(r *registry.Record) { r.Service = "unknown" }), false},
		{"no longer registered", server("c", at(g.HeadAddress, 6), missing), false},
		{"at another address", server("c", at("10.0.0.1:81", 6)), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := view(formation.Plan{Groups: []formation.Group{g}, LastEpoch: 7},
				server("a", in(g, 0, registry.StateOpen), at(g.HeadAddress, 5), missing), server("b", in(g, 1, registry.StateReady)), tt.other)
			v.Services = []string{"plain", service}
			if d := formation.Decide(v); (len(d.Released) == 1) != tt.want {
				t.Errorf("group released: got %v, want %v", len(d.Released) == 1, tt.want)
			}
		})
	}
}

// TestStandbyReplacesCrashedMember covers a member that crashes (fault pattern
// srv_crash). The remaining members and the standby must form a complete group
// without a load from the weight store.
func TestStandbyReplacesCrashedMember(t *testing.T) {
	g := group("large", 7, "a", "b", "c", "d")
	plan := formation.Plan{Groups: []formation.Group{g}, LastEpoch: 7}
	v := view(plan,
		server("a", in(g, 0, registry.StateOpen), missing),
		server("b", in(g, 1, registry.StateReady)),
		server("c", in(g, 2, registry.StateReady)),
		server("d", in(g, 3, registry.StateReady)),
		server("standby", preloaded("large")),
	)
	v.HeadStopped = func(registry.Record) bool { return true }
	v.LoadBudget = 0
	d := formation.Decide(v)
	if len(d.Formed) != 1 || d.Formed[0].Model != "large" || d.Formed[0].Epoch != 8 {
		t.Fatalf("formed %+v, want one group of model large with epoch 8", d.Formed)
	}
	if len(d.Orders) != 0 {
		t.Errorf("got orders %v before the plan is written, want none", orders(d))
	}
	v.Plan = d.Plan
	next := formation.Decide(v)
	want := []string{"join b", "join c", "join d", "join standby"}
	if diff := cmp.Diff(want, orders(next)); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
	for _, o := range next.Orders {
		if o.StartsLoad {
			t.Errorf("the order to %s starts a load, want none", o.Server.ID)
		}
	}
}

// TestKeepsStandbyForEachModel guards against assigning all servers to groups,
// which leaves none to replace a lost member, and against reusing an epoch.
func TestKeepsStandbyForEachModel(t *testing.T) {
	var servers []registry.Record
	for i := range 10 {
		servers = append(servers, server(fmt.Sprintf("s%d", i)))
	}
	d := formation.Decide(view(formation.Plan{}, servers...))
	members := 0
	for _, g := range d.Plan.Groups {
		members += len(g.Members)
	}
	if members != 8 {
		t.Errorf("%d of 10 servers are in groups, want 8: %+v", members, d.Plan.Groups)
	}
	seen := map[uint64]bool{}
	for _, g := range d.Plan.Groups {
		if seen[g.Epoch] {
			t.Errorf("epoch %d is used twice", g.Epoch)
		}
		seen[g.Epoch] = true
	}
	v := view(d.Plan, servers...)
	v.LoadBudget = 10
	staged := map[string]bool{}
	for _, o := range formation.Decide(v).Orders {
		if o.Operation == formation.OperationStage {
			staged[o.Model] = true
		}
	}
	if !staged["large"] || !staged["small"] {
		t.Errorf("models staged: %v, want large and small", staged)
	}
}

// TestOrdersStayWithinLoadBudget guards against overloading the weight store
// with more loads than the budget allows.
func TestOrdersStayWithinLoadBudget(t *testing.T) {
	var servers []registry.Record
	for i := range 10 {
		servers = append(servers, server(fmt.Sprintf("s%d", i)))
	}
	plan := formation.Decide(view(formation.Plan{}, servers...)).Plan
	for loads := range 6 {
		v := view(plan, servers...)
		v.LoadBudget = loads
		n := 0
		for _, o := range formation.Decide(v).Orders {
			if o.StartsLoad {
				n++
			}
		}
		if n > loads {
			t.Errorf("%d loads ordered, want at most %d", n, loads)
		}
	}
}

// TestGroupWithDrainingMemberClosesFirst guards against removing a head that
// serves from its group before it has finished its requests.
func TestGroupWithDrainingMemberClosesFirst(t *testing.T) {
	g := group("small", 7, "a", "b")
	plan := formation.Plan{Groups: []formation.Group{g}, LastEpoch: 7}
	tests := []struct {
		state registry.GroupState
		want  []string
	}{
		{registry.StateOpen, []string{"close a"}},
		{registry.StateClosing, nil},
		{registry.StateReady, []string{"leave a"}},
	}
	for _, tt := range tests {
		t.Run(string(tt.state), func(t *testing.T) {
			d := formation.Decide(view(plan, server("a", in(g, 0, tt.state)), server("b", in(g, 1, registry.StateReady), draining)))
			if diff := cmp.Diff(tt.want, orders(d)); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHeadOfUnplannedGroupLeavesFirst guards against assigning the head of a
// group that isn't in the plan to another group while it may still serve.
func TestHeadOfUnplannedGroupLeavesFirst(t *testing.T) {
	unplanned := group("small", 5, "a", "b")
	d := formation.Decide(view(formation.Plan{LastEpoch: 7},
		server("a", in(unplanned, 0, registry.StateOpen)), server("b", in(unplanned, 1, registry.StateReady))))
	for _, g := range d.Formed {
		for _, m := range g.Members {
			if m.ID == "a" {
				t.Errorf("an open head was assigned to group %+v", g)
			}
		}
	}
	if d.Changed {
		t.Fatalf("plan changed to %+v, want no change", d.Plan)
	}
	if diff := cmp.Diff([]string{"leave a"}, orders(d)); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
}

// TestDemandShiftDissolvesGroupsOfPreloadedServers covers a shift of demand
// between models. Groups of a model with a surplus must be dissolved if their
// servers hold the weights of the model in deficit.
func TestDemandShiftDissolvesGroupsOfPreloadedServers(t *testing.T) {
	both := func(r *registry.Record) { r.Staged = []string{"large"} }
	one, two := group("small", 5, "a", "b"), group("small", 6, "c", "d")
	var servers []registry.Record
	for _, x := range []struct {
		g   formation.Group
		ids []string
	}{{one, []string{"a", "b"}}, {two, []string{"c", "d"}}} {
		servers = append(servers,
			server(x.ids[0], in(x.g, 0, registry.StateOpen), both), server(x.ids[1], in(x.g, 1, registry.StateReady), both))
	}
	v := view(formation.Plan{Groups: []formation.Group{one, two}, LastEpoch: 6}, servers...)
	v.Weights = map[string]float64{"large": 1, "small": 0}
	d := formation.Decide(v)
	if !d.Plan.Groups[0].Dissolving || !d.Plan.Groups[1].Dissolving {
		t.Fatalf("planned groups %+v, want both dissolving", d.Plan.Groups)
	}
	v.Plan = d.Plan
	if diff := cmp.Diff([]string{"close a", "close c"}, orders(formation.Decide(v))); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
}
