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

// TestFabricDomainsKeepToOneModel answers srv_crash in series: with a model in
// one fabric domain rather than in several, what is left of two groups makes
// one. Of two fabric domains each gets one model.
func TestFabricDomainsKeepToOneModel(t *testing.T) {
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
		t.Error(diff)
	}
}

// TestFirstGroupIsOfTheNeediestModel answers the start of a deployment, whose
// servers come one after the other: a fabric domain with too few of them for the
// model that is short of most waits for more, and takes no other.
func TestFirstGroupIsOfTheNeediestModel(t *testing.T) {
	fresh := func(r *registry.Record) { r.SeenAt = noon }
	var servers []registry.Record
	for i, want := range []int{0, 0, 0, 1} {
		servers = append(servers, server(fmt.Sprintf("s%d", i), fresh))
		d := formation.Decide(view(formation.Plan{}, servers...))
		if len(d.Formed) != want || want > 0 && d.Formed[0].Model != "large" {
			t.Errorf("%d servers: formed %+v", i+1, d.Formed)
		}
	}
}

// TestLoadsGoWhereTheyAreWorthMost answers srv_crash with few loads: the model
// with the smallest part of its servers in whole groups comes first, then the
// group that lacks the fewest loads.
func TestLoadsGoWhereTheyAreWorthMost(t *testing.T) {
	whole := group("small", 1, "a", "b")
	small := group("small", 2, "c", "d")
	far, near := group("large", 3, "e", "f", "g", "h"), group("large", 4, "i", "j", "k", "l")
	servers := []registry.Record{
		server("a", in(whole, 0, registry.StateOpen)), server("b", in(whole, 1, registry.StateReady)),
		server("c"), server("d", hot("small")),
		server("e", hot("large")), server("f", hot("large")), server("g"), server("h"),
		server("i", hot("large")), server("j", hot("large")), server("k", hot("large")), server("l"),
	}
	v := view(formation.Plan{Groups: []formation.Group{whole, small, far, near}, LastEpoch: 4}, servers...)
	for loads, want := range [][]string{nil, {"l"}, {"l", "g"}, {"l", "g", "h"}, {"l", "g", "h", "c"}} {
		v.LoadBudget = loads
		var got []string
		for _, o := range formation.Decide(v).Orders {
			if o.StartsLoad {
				got = append(got, o.Server.ID)
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%d loads: %s", loads, diff)
		}
	}
}

// TestLoadsUnderWayTakeNoOthers has a server that loads already: its load is not
// ordered twice, and those that are left are for others.
func TestLoadsUnderWayTakeNoOthers(t *testing.T) {
	g := group("large", 3, "a", "b", "c", "d")
	servers := []registry.Record{
		server("a", in(g, 0, registry.StateReady)), server("b", in(g, 1, registry.StateReady)),
		server("c"), server("d"), server("e"),
	}
	v := view(formation.Plan{Groups: []formation.Group{g}, LastEpoch: 3}, servers...)
	v.LoadBudget = 1
	v.Loading = map[string]string{"c": "large"}
	if diff := cmp.Diff([]string{"join d"}, orders(formation.Decide(v))); diff != "" {
		t.Errorf("without repeats: %s", diff)
	}
	v.RetryBudget = 1
	if diff := cmp.Diff([]string{"join c", "join d"}, orders(formation.Decide(v))); diff != "" {
		t.Errorf("with one repeat: %s", diff)
	}
	v.RecentlySent = func(o formation.Order) bool { return o.Server.ID == "c" }
	if diff := cmp.Diff([]string{"join d"}, orders(formation.Decide(v))); diff != "" {
		t.Errorf("given a moment ago: %s", diff)
	}
	v.Loading = map[string]string{"c": "large", "d": "large", "e": "large"}
	v.LoadBudget, v.RetryBudget = 5, 0
	if got := orders(formation.Decide(v)); len(got) != 0 {
		t.Errorf("all load already: %v", got)
	}
}
