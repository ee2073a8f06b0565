package formation_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/internal/fleet/formation"
	"almondbay.example/internal/fleet/registry"
)

func inFabric(name string) func(*registry.Record) {
	return func(r *registry.Record) { r.FabricDomain = name }
}

// TestEachFabricDomainServesOneModel guards against spreading a model over
// several fabric domains. After a series of server crashes (fault pattern
// srv_crash), the remaining members of two broken groups can form a new one
// only if they are in the same fabric domain.
func TestEachFabricDomainServesOneModel(t *testing.T) {
	var servers []registry.Record
	for i := range 20 {
		servers = append(servers, server(fmt.Sprintf("s%02d", i), inFabric(fmt.Sprintf("f%d", i/10))))
	}
	served := map[string]map[string]int{}
	for _, g := range formation.Decide(view(formation.Plan{}, servers...)).Plan.Groups {
		if served[g.FabricDomain] == nil {
			served[g.FabricDomain] = map[string]int{}
		}
		served[g.FabricDomain][g.Model]++
	}
	want := map[string]map[string]int{"f0": {"large": 2}, "f1": {"small": 4}}
	if diff := cmp.Diff(want, served); diff != "" {
		t.Errorf("groups by fabric domain and model (-want +got):\n%s", diff)
	}
}

// TestFirstGroupServesModelWithLargestDeficit guards against forming a smaller
// group of another model while a deployment starts and its servers register one
// after the other. A fabric domain with too few servers for the model with the
// largest deficit must wait for more.
func TestFirstGroupServesModelWithLargestDeficit(t *testing.T) {
	fresh := func(r *registry.Record) { r.SeenAt = noon }
	var servers []registry.Record
	for i, want := range []int{0, 0, 0, 1} {
		servers = append(servers, server(fmt.Sprintf("s%d", i), fresh))
		d := formation.Decide(view(formation.Plan{}, servers...))
		if len(d.Formed) != want || want > 0 && d.Formed[0].Model != "large" {
			t.Errorf("%d servers: formed %+v, want %d groups, the first of model large", i+1, d.Formed, want)
		}
	}
}

// TestLoadsPrioritizeLowestSupplyAndFewestLoads covers recovery from server
// crashes (fault pattern srv_crash) with a small load budget. Loads go first to
// the model with the smallest fraction of its servers in complete groups, then
// to the group that needs the fewest loads.
func TestLoadsPrioritizeLowestSupplyAndFewestLoads(t *testing.T) {
	complete := group("small", 1, "a", "b")
	small := group("small", 2, "c", "d")
	distant, near := group("large", 3, "e", "f", "g", "h"), group("large", 4, "i", "j", "k", "l")
	servers := []registry.Record{
		server("a", in(complete, 0, registry.StateOpen)), server("b", in(complete, 1, registry.StateReady)),
		server("c"), server("d", preloaded("small")),
		server("e", preloaded("large")), server("f", preloaded("large")), server("g"), server("h"),
		server("i", preloaded("large")), server("j", preloaded("large")), server("k", preloaded("large")), server("l"),
	}
	v := view(formation.Plan{Groups: []formation.Group{complete, small, distant, near}, LastEpoch: 4}, servers...)
	for loads, want := range [][]string{nil, {"l"}, {"l", "g"}, {"l", "g", "h"}, {"l", "g", "h", "c"}} {
		v.LoadBudget = loads
		var got []string
		for _, o := range formation.Decide(v).Orders {
			if o.StartsLoad {
				got = append(got, o.Server.ID)
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("servers ordered to load with a budget of %d loads (-want +got):\n%s", loads, diff)
		}
	}
}

// TestLoadsInProgressAreNotCountedTwice guards against deducting a load from
// the budget again when its order is repeated, and against repeating it without
// retry budget. The remaining budget must go to other servers.
func TestLoadsInProgressAreNotCountedTwice(t *testing.T) {
	g := group("large", 3, "a", "b", "c", "d")
	servers := []registry.Record{
		server("a", in(g, 0, registry.StateReady)), server("b", in(g, 1, registry.StateReady)),
		server("c"), server("d"), server("e"),
	}
	v := view(formation.Plan{Groups: []formation.Group{g}, LastEpoch: 3}, servers...)
	v.LoadBudget = 1
	v.Loading = map[string]string{"c": "large"}
	if diff := cmp.Diff([]string{"join d"}, orders(formation.Decide(v))); diff != "" {
		t.Errorf("orders without retry budget (-want +got):\n%s", diff)
	}
	v.RetryBudget = 1
	if diff := cmp.Diff([]string{"join c", "join d"}, orders(formation.Decide(v))); diff != "" {
		t.Errorf("orders with a retry budget of one (-want +got):\n%s", diff)
	}
	v.RecentlySent = func(o formation.Order) bool { return o.Server.ID == "c" }
	if diff := cmp.Diff([]string{"join d"}, orders(formation.Decide(v))); diff != "" {
		t.Errorf("orders when the one to c was sent recently (-want +got):\n%s", diff)
	}
	v.Loading = map[string]string{"c": "large", "d": "large", "e": "large"}
	v.LoadBudget, v.RetryBudget = 5, 0
	if got := orders(formation.Decide(v)); len(got) != 0 {
		t.Errorf("got orders %v while all servers are loading, want none", got)
	}
}
