package group_test

import (
	"fmt"
	"testing"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
	"almondbay.example/core/group/trial"
)

// testFleet is a simulated fleet that fails the test on an error.
type testFleet struct {
	*trial.Fleet
	t *testing.T
}

func newFleet(t *testing.T, domains map[string]int, models ...document.Model) testFleet {
	return testFleet{trial.NewFleet(domains, models...), t}
}

func (f testFleet) step() {
	f.t.Helper()
	if err := f.Step(); err != nil {
		f.t.Fatal(err)
	}
}

// until steps until ok returns true, and fails the test after limit steps. It
// returns the number of steps.
func (f testFleet) until(what string, limit int, ok func() bool) int {
	f.t.Helper()
	for n := range limit {
		if ok() {
			return n
		}
		f.step()
	}
	f.t.Fatalf("not %s within %d steps: %v", what, limit, f.States())
	return 0
}

// serving returns a condition: exactly n groups are proven, all of them with
// version.
func (f testFleet) serving(version string, n int) func() bool {
	return func() bool {
		proven := f.Proven()
		return proven[version] == n && len(proven) <= 1
	}
}

func model(groups int) document.Model {
	return document.Model{Name: "m", Version: "1", Groups: groups, Span: 4, MaxUnavailable: 1}
}

func TestFormsAllGroups(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 9, "b": 9, "c": 9}, model(6))
	f.until("serving", 90, f.serving("1", 6))
	if n := f.Steps[group.StepForm]; n != 6 {
		t.Fatalf("%d groups formed, want 6", n)
	}
}

// TestRepairReplacesLostMemberWithSpare guards against a repair that reloads
// the healthy members, which would exceed the limit, and against freeing an
// unreachable VM that may still run the group.
func TestRepairReplacesLostMemberWithSpare(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 9}, model(2))
	f.until("serving", 90, f.serving("1", 2))
	lost := f.Groups["m-0"].Value.Members[1]
	f.Members[lost].Down = true
	f.until("out of service", 10, f.serving("1", 1))
	n := f.until("repaired", 100, f.serving("1", 2))
	if limit := 10 + 60 + 6; n > limit {
		t.Fatalf("repaired after %d s, want at most %d", n, limit)
	}
	if f.VMs[lost].Value.Group != "m-0" {
		t.Fatal("an unreachable VM was freed")
	}
	f.Members[lost].Down = false
	f.until("freed", 10, func() bool { return f.VMs[lost].Value.Group == "" })
}

// TestChangedMemberEndsEpoch guards against a group that keeps serving under
// its epoch after a member rebooted, left, was delisted or executed an
// outdated order.
func TestChangedMemberEndsEpoch(t *testing.T) {
	tests := []struct {
		name   string
		change func(f testFleet, id string)
		limit  int
	}{
		{"reboots", func(f testFleet, id string) { f.Reboot(id) }, 70},
		{"is listed as leaving", func(f testFleet, id string) { f.Members[id].VM.State = fleet.VMLeaving }, 80},
		{"reports that it is leaving", func(f testFleet, id string) { f.Members[id].Leaving = true }, 80},
		{"is delisted", func(f testFleet, id string) { f.RemoveVM(id) }, 70},
		{"executes an outdated order", func(f testFleet, id string) { f.Members[id].Order.Epoch = 99 }, 10},
	}
	for _, tt := range tests {
		for i, role := range []string{"leader", "follower"} {
			t.Run(role+" "+tt.name, func(t *testing.T) {
				f := newFleet(t, map[string]int{"a": 5}, model(1))
				f.until("serving", 90, f.serving("1", 1))
				before := f.Groups["m-0"].Value
				tt.change(f, before.Members[i])
				f.until("out of service", 5, f.serving("1", 0))
				f.until("serving", tt.limit, f.serving("1", 1))
				if after := f.Groups["m-0"].Value; after.Epoch == before.Epoch {
					t.Fatal("the group serves again under the same epoch")
				}
			})
		}
	}
}

// TestShortPauseKeepsEpoch guards against replacing a member that is silent
// for less than MemberTimeout.
func TestShortPauseKeepsEpoch(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 5}, model(1))
	f.until("serving", 90, f.serving("1", 1))
	m := f.Members[f.Groups["m-0"].Value.Members[2]]
	m.Down = true
	f.until("out of service", 6, f.serving("1", 0))
	m.Down = false
	f.until("serving", 2, f.serving("1", 1))
	if e := f.Groups["m-0"].Value.Epoch; e != 1 {
		t.Fatalf("epoch %d after a short pause, want 1", e)
	}
}

// TestGroupOfUnreachableDomainIsFormedElsewhere guards against a slot that
// stays empty after the loss of its fabric domain, and against VMs that stay
// assigned, or a slot with two groups, once the domain returns.
func TestGroupOfUnreachableDomainIsFormedElsewhere(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 8, "b": 8}, model(2))
	f.until("serving", 90, f.serving("1", 2))
	unreachable := f.Groups["m-0"].Value.FabricDomain
	set := func(down bool) {
		for _, m := range f.Members {
			if m.VM.FabricDomain == unreachable {
				m.Down = down
			}
		}
	}
	set(true)
	f.until("unreachable", 10, f.serving("1", 1))
	f.until("formed elsewhere", 130, f.serving("1", 2))
	set(false)
	f.until("freed", 20, func() bool {
		for id, row := range f.VMs {
			if f.Members[id].VM.FabricDomain == unreachable && row.Value.Group != "" {
				return false
			}
		}
		return true
	})
	if p := f.Proven()["1"]; p != 2 {
		t.Fatalf("%d groups serve, want 2", p)
	}
}

// TestShortDomainOutageKeepsEpoch guards against new epochs, which cost a
// load, after a fabric domain was unreachable for a short time.
func TestShortDomainOutageKeepsEpoch(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 8}, model(2))
	f.until("serving", 90, f.serving("1", 2))
	for _, m := range f.Members {
		m.Down = true
	}
	f.until("yielded", 20, func() bool { return f.Groups["m-0"].Value.Yielded && f.Groups["m-1"].Value.Yielded })
	for _, m := range f.Members {
		m.Down = false
	}
	f.until("serving", 3, f.serving("1", 2))
	if e := f.Groups["m-0"].Value.Epoch; e != 1 {
		t.Fatalf("epoch %d after a short outage, want 1", e)
	}
}

// TestShortGroupIsDissolvedToRepairAnother guards against two groups that both
// stay out of service because each lacks one member.
func TestShortGroupIsDissolvedToRepairAnother(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 8}, model(2))
	f.until("serving", 90, f.serving("1", 2))
	for _, id := range []string{"m-0", "m-1"} {
		f.Members[f.Groups[id].Value.Members[3]].Down = true
	}
	f.until("one group serving", 100, func() bool { return f.Proven()["1"] == 1 })
	if n := f.Steps[group.StepDissolve]; n != 1 {
		t.Fatalf("%d groups dissolved, want 1", n)
	}
}

// TestGroupOfLargerModelIsDissolvedForLastGroup guards against a model without
// a serving group while another model has several: one of those is dissolved
// to repair the last group.
func TestGroupOfLargerModelIsDissolvedForLastGroup(t *testing.T) {
	other := model(1)
	other.Name = "other"
	f := newFleet(t, map[string]int{"a": 16}, model(3), other)
	f.until("serving", 90, f.serving("1", 4))
	f.Members[f.Groups["other-0"].Value.Members[0]].Down = true
	f.until("out of service", 10, func() bool { return f.Proven()["1"] == 3 })
	f.until("serving again", 120, func() bool { return f.Proves(f.Groups["other-0"].Value) })
	if p := f.Proven()["1"]; p != 3 {
		t.Fatalf("%d groups serve, want 3", p)
	}
}

// TestScaleDownAndRemovalFreeVMs guards against VMs that stay assigned after a
// model is scaled down or removed.
func TestScaleDownAndRemovalFreeVMs(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 9, "b": 9}, model(4))
	f.until("serving", 90, f.serving("1", 4))
	f.Models[0].Groups = 1
	f.Revision++
	f.until("scaled down", 30, f.serving("1", 1))
	f.Models = nil
	f.Revision++
	f.until("removed", 30, func() bool {
		free := true
		for _, row := range f.VMs {
			free = free && row.Value.Group == ""
		}
		return free && len(f.Proven()) == 0
	})
}

// TestRolloutKeepsMaxUnavailable guards against fabric domains that together
// drain more groups than MaxUnavailable allows.
func TestRolloutKeepsMaxUnavailable(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 9, "b": 9, "c": 9}, model(6))
	f.until("serving", 90, f.serving("1", 6))
	f.Models[0].Version = "2"
	f.Revision++
	for range 800 {
		f.step()
		p := f.Proven()
		if p["1"]+p["2"] < 5 {
			t.Fatalf("groups serving by version: %v, want at least 5 in all", p)
		}
		if p["2"] == 6 {
			return
		}
	}
	t.Fatalf("rollout not complete after 800 steps: %v", f.States())
}

// TestRolloutOfFailingVersionHalts guards against a version that fails to load
// replacing all serving groups, and against groups that do not return when the
// document is reverted.
func TestRolloutOfFailingVersionHalts(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 9, "b": 9}, model(4))
	f.Models[0].MaxUnavailable = 2
	f.until("serving", 90, f.serving("1", 4))
	f.Models[0].Version = "2"
	f.FailingVersion = "2"
	f.Revision++
	for range 1000 {
		f.step()
	}
	if p := f.Proven()["1"]; p < 2 {
		t.Fatalf("%d groups serve after the rollout of a failing version, want at least 2", p)
	}
	f.Models[0].Version = "1"
	f.Revision++
	f.until("reversed", 70, f.serving("1", 4))
}

// TestRolloutCanBeReversedAtAnyStep guards against a rollout that gets stuck
// when the document is reverted midway.
func TestRolloutCanBeReversedAtAnyStep(t *testing.T) {
	for at := 0; at < 300; at += 7 {
		f := newFleet(t, map[string]int{"a": 9}, model(2))
		f.until("serving", 90, f.serving("1", 2))
		f.Models[0].Version = "2"
		f.Revision++
		for range at {
			f.step()
		}
		f.Models[0].Version = "1"
		f.Revision++
		f.until("reversed", 300, f.serving("1", 2))
	}
}

// TestOutdatedDocumentPlansNothing guards against a controller with an
// outdated document undoing the work of one with a newer document.
func TestOutdatedDocumentPlansNothing(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 5}, model(1))
	f.Revision = 2
	f.until("serving", 90, f.serving("1", 1))
	f.Revision = 1
	f.Models = nil
	if c := group.Plan(f.View("a"), f.Policy); len(c.Transactions)+len(c.Orders) > 0 {
		t.Fatalf("planned %+v from an outdated document, want nothing", c)
	}
}

// TestAdaptersChangeWithoutDowntime guards against a drain or reload when only
// the adapters of a model change.
func TestAdaptersChangeWithoutDowntime(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 4}, model(1))
	f.until("serving", 90, f.serving("1", 1))
	f.Models[0].Adapters = []document.Adapter{{Name: "x", Version: "3"}}
	f.Revision++
	for range 5 {
		f.step()
		if f.Proven()["1"] != 1 {
			t.Fatal("the group stopped serving")
		}
	}
	leader := f.Groups["m-0"].Value.Members[0]
	if a := f.Members[leader].Order.Adapters; len(a) != 1 || a[0] != "x@3" {
		t.Fatalf("adapters %v, want x@3", a)
	}
}

// TestLeaderLeavesEpochFirst guards against members that leave an epoch while
// its leader, which misses orders, can still answer a dispatcher with an
// outdated row.
func TestLeaderLeavesEpochFirst(t *testing.T) {
	changes := map[string]func(f testFleet){
		"released":   func(f testFleet) { f.Models = nil },
		"retargeted": func(f testFleet) { f.Models[0].Version = "2" },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, map[string]int{"a": 4}, model(1))
			f.until("serving", 90, f.serving("1", 1))
			leader := f.Members[f.Groups["m-0"].Value.Members[0]]
			leader.IgnoresOrders = true
			change(f)
			f.Revision++
			for range 30 {
				f.step()
				for id, m := range f.Members {
					if m.Order.Group != "m-0" || m.Order.Epoch != 1 {
						t.Fatalf("member %s left the epoch before its leader", id)
					}
				}
			}
			leader.IgnoresOrders = false
			f.until("out of the old epoch", 20, func() bool {
				for _, m := range f.Members {
					if m.Order.Group == "m-0" && m.Order.Epoch == 1 {
						return false
					}
				}
				return true
			})
		})
	}
}

func TestSpareCount(t *testing.T) {
	p := group.Policy{LossRate: 0.08, Replacement: 10 * 60e9, Risk: 0.001}
	tests := []struct{ members, want int }{{0, 0}, {4, 1}, {20, 1}, {100, 2}, {7800, 12}}
	for _, tt := range tests {
		if got := group.SpareCount(tt.members, p); got != tt.want {
			t.Errorf("%d members: %d spares, want %d", tt.members, got, tt.want)
		}
	}
}

// BenchmarkPlanElsewhere measures Plan for a fabric domain of 100 VMs that
// needs no change, with few and with many groups in other fabric domains.
func BenchmarkPlanElsewhere(b *testing.B) {
	for _, groups := range []int{24, 240, 1950} {
		b.Run(fmt.Sprintf("%d groups", groups), func(b *testing.B) {
			f := trial.NewFleet(map[string]int{"a": 100}, model(24))
			for f.Proven()["1"] < 24 {
				if err := f.Step(); err != nil {
					b.Fatal(err)
				}
			}
			f.Models[0].Groups = groups
			for slot := 24; slot < groups; slot++ {
				r := group.Row{
					ID: group.ID("m", slot), Model: "m", Slot: slot, FabricDomain: "b", Epoch: 1,
					State: group.StateServing, Members: []string{"w", "x", "y", "z"}, Version: "1",
				}
				f.Groups[r.ID] = group.Versioned[group.Row]{Value: r, Version: 1}
			}
			view := f.View("a")
			b.ReportAllocs()
			for b.Loop() {
				group.Plan(view, f.Policy)
			}
		})
	}
}
