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

// server returns a registered server that has been there for a while.
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

func in(g formation.Group, rank int, state registry.GroupState) func(*registry.Record) {
	return func(r *registry.Record) {
		r.Group = registry.Membership{Name: g.Name, Epoch: g.Epoch, Rank: rank, State: state}
		r.Model = g.Model
		r.Staged = []string{g.Model}
	}
}

func hot(model string) func(*registry.Record) {
	return func(r *registry.Record) { r.Staged = []string{model} }
}

func lapsed(r *registry.Record) { r.MissingSince = noon.Add(-time.Second) }

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
		HeadStopped:   func(string) bool { return false },
		RecentlySent:  func(formation.Order) bool { return false },
		CloseTimeout:  6 * time.Second,
	}
}

// orders renders orders as "operation server".
func orders(d formation.Decision) []string {
	var out []string
	for _, o := range d.Orders {
		out = append(out, string(o.Operation)+" "+o.Server.ID)
	}
	return out
}

func TestOpensOnlyWhenEveryMemberIsReady(t *testing.T) {
	g := group("small", 7, "a", "b")
	plan := formation.Plan{Groups: []formation.Group{g}, LastEpoch: 7}
	tests := []struct {
		name  string
		other registry.Record
		want  []string
	}{
		{"ready", server("b", in(g, 1, registry.StateReady)), []string{"open a"}},
		{"joining", server("b", in(g, 1, registry.StateJoining)), nil},
		{"of an older epoch", server("b", in(group("small", 6, "a", "b"), 1, registry.StateReady)), []string{"join b"}},
		{"not joined", server("b"), []string{"join b"}},
		{"lost", server("b", in(g, 1, registry.StateReady), lapsed), []string{"leave a"}},
		{"of another life", server("b", in(g, 1, registry.StateReady), func(r *registry.Record) { r.Incarnation = 2 }), []string{"leave a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := formation.Decide(view(plan, server("a", in(g, 0, registry.StateReady)), tt.other))
			if diff := cmp.Diff(tt.want, orders(d)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestMembersAreFreeOnlyOnceTheHeadIsOut(t *testing.T) {
	g := group("small", 7, "a", "b")
	plan := formation.Plan{Groups: []formation.Group{g}, LastEpoch: 7}
	tests := []struct {
		name     string
		head     registry.Record
		quiet    bool
		released bool
		orders   []string
		suspects int
	}{
		{name: "open", head: server("a", in(g, 0, registry.StateOpen)), orders: []string{"leave a"}},
		{name: "closing", head: server("a", in(g, 0, registry.StateClosing)), orders: []string{"leave a"}},
		{name: "out of the group", head: server("a"), released: true},
		{name: "broken", head: server("a", in(g, 0, registry.StateBroken)), released: true},
		{name: "of another life", head: server("a", func(r *registry.Record) { r.Incarnation = 2 }), released: true},
		{name: "missing, may serve", head: server("a", in(g, 0, registry.StateOpen), lapsed), suspects: 1},
		{name: "missing, known not to serve", head: server("a", in(g, 0, registry.StateOpen), lapsed), quiet: true, released: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := view(plan, tt.head, server("b", in(g, 1, registry.StateReady), lapsed))
			v.HeadStopped = func(string) bool { return tt.quiet }
			d := formation.Decide(v)
			if released := len(d.Released) == 1; released != tt.released {
				t.Errorf("released: %v", released)
			}
			if diff := cmp.Diff(tt.orders, orders(d)); diff != "" {
				t.Error(diff)
			}
			if len(d.UnregisteredHeads) != tt.suspects {
				t.Errorf("suspects: %v", d.UnregisteredHeads)
			}
		})
	}
}

// TestDarkMemberOfALargeGroup answers the pattern srv_crash (dark gone joined):
// the survivors and the standby make a whole group without a load.
func TestDarkMemberOfALargeGroup(t *testing.T) {
	g := group("large", 7, "a", "b", "c", "d")
	plan := formation.Plan{Groups: []formation.Group{g}, LastEpoch: 7}
	v := view(plan,
		server("a", in(g, 0, registry.StateOpen), lapsed),
		server("b", in(g, 1, registry.StateReady)),
		server("c", in(g, 2, registry.StateReady)),
		server("d", in(g, 3, registry.StateReady)),
		server("standby", hot("large")),
	)
	v.HeadStopped = func(string) bool { return true }
	v.LoadBudget = 0
	d := formation.Decide(v)
	if len(d.Formed) != 1 || d.Formed[0].Model != "large" || d.Formed[0].Epoch != 8 {
		t.Fatalf("formed: %+v", d.Formed)
	}
	if len(d.Orders) != 0 {
		t.Errorf("orders before the plan is written: %v", orders(d))
	}
	v.Plan = d.Plan
	next := formation.Decide(v)
	want := []string{"join b", "join c", "join d", "join standby"}
	if diff := cmp.Diff(want, orders(next)); diff != "" {
		t.Error(diff)
	}
	for _, o := range next.Orders {
		if o.StartsLoad {
			t.Errorf("a load for %s", o.Server.ID)
		}
	}
}

func TestKeepsAStandbyForEachModel(t *testing.T) {
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
		t.Errorf("%d of 10 servers in groups: %+v", members, d.Plan.Groups)
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
		t.Errorf("staged: %v", staged)
	}
}

// TestLoadsAreBounded answers the bound on the weight store: no order that
// loads beyond those that are left.
func TestLoadsAreBounded(t *testing.T) {
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
			t.Errorf("%d loads ordered, %d left", n, loads)
		}
	}
}

func TestLeavingMember(t *testing.T) {
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
				t.Error(diff)
			}
		})
	}
}

func TestHeadOfAnUnplannedGroupStopsFirst(t *testing.T) {
	stray := group("small", 5, "a", "b")
	d := formation.Decide(view(formation.Plan{LastEpoch: 7},
		server("a", in(stray, 0, registry.StateOpen)), server("b", in(stray, 1, registry.StateReady))))
	for _, g := range d.Formed {
		for _, m := range g.Members {
			if m.ID == "a" {
				t.Errorf("an open head was put into %+v", g)
			}
		}
	}
	if d.Changed {
		t.Fatalf("plan changed: %+v", d.Plan)
	}
	if diff := cmp.Diff([]string{"leave a"}, orders(d)); diff != "" {
		t.Error(diff)
	}
}

// TestShortModelTakesHotServers answers a shift of demand: groups of a model
// with enough others are dissolved when their servers are hot for the one that
// is short.
func TestShortModelTakesHotServers(t *testing.T) {
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
		t.Fatalf("plan: %+v", d.Plan.Groups)
	}
	v.Plan = d.Plan
	if diff := cmp.Diff([]string{"close a", "close c"}, orders(formation.Decide(v))); diff != "" {
		t.Error(diff)
	}
}
