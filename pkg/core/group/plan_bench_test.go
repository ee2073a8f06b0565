package group_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
)

// steadyView returns the view of a fabric domain that needs no change: it has
// groups of four VMs, among the groups of all fabric domains, and one VM in 20
// is a spare.
func steadyView(members, groups int) group.View {
	now := time.Unix(1_000_000, 0)
	v := group.View{
		Now: now, FabricDomain: "rack-0", Term: 3, Revision: 7, Timers: group.NewStateTimers(),
		Models: []document.Model{{Name: "draft", Version: "v7", Groups: groups, Span: 4, MaxUnavailable: 1}},
		Groups: map[string]group.Versioned[group.Row]{}, VMs: map[string]group.Versioned[group.VMRow]{},
		Listed: map[string]fleet.VM{}, Reports: map[string]fleet.Report{},
	}
	for slot := range groups {
		row := group.Row{
			ID: group.ID("draft", slot), Model: "draft", Slot: slot, FabricDomain: "elsewhere", Epoch: 2,
			State: group.StateServing, Version: "v7", Boots: map[string]string{}, Revision: 7,
		}
		for i := range 4 {
			id := fmt.Sprintf("backend-%d", 4*slot+i)
			row.Members = append(row.Members, id)
			row.Boots[id] = "b"
			if 4*slot+i < members*19/20/4*4 {
				row.FabricDomain = v.FabricDomain
				v.VMs[id] = group.Versioned[group.VMRow]{Version: 1, Value: group.VMRow{
					ID: id, FabricDomain: v.FabricDomain, Group: row.ID, Epoch: 2, Leader: i == 0, Term: 3,
				}}
			}
		}
		v.Groups[row.ID] = group.Versioned[group.Row]{Value: row, Version: 1}
	}
	for i := range members {
		id := fmt.Sprintf("backend-%d", i)
		v.Listed[id] = fleet.VM{ID: id, FabricDomain: v.FabricDomain, Role: fleet.RoleBackend, State: fleet.VMLive}
		r := fleet.Report{Identity: fleet.Identity{Member: id, Boot: "b"}, Phase: fleet.PhaseIdle, Term: 3, SeenAt: now}
		if row, ok := v.VMs[id]; ok {
			r.Identity.Group, r.Identity.Epoch, r.Identity.Model, r.Identity.Version = row.Value.Group, 2, "draft", "v7"
			r.Phase = fleet.PhaseReady
		} else {
			v.VMs[id] = group.Versioned[group.VMRow]{Version: 1, Value: group.VMRow{ID: id, FabricDomain: v.FabricDomain}}
		}
		v.Reports[id] = r
	}
	return v
}

// BenchmarkPlan measures Plan for a fabric domain that needs no change, and
// the heap size of its view.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ members, groups int }{{20, 15}, {130, 195}, {130, 1950}, {260, 1950}, {1300, 1950}} {
		b.Run(fmt.Sprintf("members=%d/groups=%d", size.members, size.groups), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			v := steadyView(size.members, size.groups)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				if c := group.Plan(v, group.Policy{ReportTTL: time.Second, ProofTTL: time.Second}); len(c.Orders)+len(c.Transactions) > 0 {
					b.Fatalf("planned %+v, want nothing", c)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heapB")
			runtime.KeepAlive(v)
		})
	}
}
