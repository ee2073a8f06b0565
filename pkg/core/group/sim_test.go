package group_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
)

// policy is what the tests plan by.
func policy() group.Policy {
	return group.Policy{
		Fresh:        3 * time.Second,
		ProofTTL:     3 * time.Second,
		RepairAfter:  10 * time.Second,
		DrainTimeout: time.Minute,
		LoadTimeout:  10 * time.Minute,
		RetryAfter:   30 * time.Second,
		HoldBack:     30 * time.Second,
	}
}

// member is a fake of one VM and its engine.
type member struct {
	vm      fleet.VM
	down    bool
	boot    int
	order   fleet.Order
	loaded  string
	readyAt time.Time
	leaving bool
	running int
}

// fakeFleet applies plans to rows in memory and to fake members.
type fakeFleet struct {
	t        *testing.T
	now      time.Time
	tick     time.Duration
	load     time.Duration
	policy   group.Policy
	models   []document.Model
	revision uint64
	members  map[string]*member
	groups   map[string]group.Versioned[group.Row]
	vms      map[string]group.Versioned[group.VMRow]
	rollouts map[string]group.Versioned[group.Rollout]
	ages     map[string]*group.Ages
	reports  map[string]fleet.Report
	// bad is a version that never loads.
	bad string
	// steps counts the transactions applied.
	steps map[group.Step]int
}

// newFleet returns a fleet with the given number of VMs in each fabric domain.
func newFleet(t *testing.T, domains map[string]int, models ...document.Model) *fakeFleet {
	f := &fakeFleet{
		t: t, now: time.Unix(1_700_000_000, 0), tick: time.Second, load: 60 * time.Second,
		policy: policy(), models: models, revision: 1,
		members:  map[string]*member{},
		groups:   map[string]group.Versioned[group.Row]{},
		vms:      map[string]group.Versioned[group.VMRow]{},
		rollouts: map[string]group.Versioned[group.Rollout]{},
		ages:     map[string]*group.Ages{},
		reports:  map[string]fleet.Report{},
		steps:    map[group.Step]int{},
	}
	for d, n := range domains {
		f.ages[d] = group.NewAges()
		for i := range n {
			f.addVM(d, fmt.Sprintf("%s-vm%02d", d, i))
		}
	}
	return f
}

func (f *fakeFleet) addVM(domain, id string) {
	f.members[id] = &member{vm: fleet.VM{
		ID: id, FabricDomain: domain, Role: fleet.RoleBackend, State: fleet.VMLive,
	}}
}

func (f *fakeFleet) report(m *member) fleet.Report {
	r := fleet.Report{
		Identity: fleet.Identity{
			Member: m.vm.ID, Boot: fmt.Sprint(m.boot),
			Group: m.order.Group, Epoch: m.order.Epoch, Model: m.order.Model, Version: m.order.Version,
		},
		Phase: fleet.PhaseReady, Leaving: m.leaving, Adapters: m.order.Adapters, SeenAt: f.now,
		Load: fleet.Load{Running: m.running},
	}
	switch {
	case m.order.Group == "":
		r.Phase = fleet.PhaseIdle
	case m.order.Version == f.bad:
		r.Phase = fleet.PhaseFailed
	case f.now.Before(m.readyAt):
		r.Phase = fleet.PhaseLoading
	}
	return r
}

func (f *fakeFleet) give(m *member, o fleet.Order) {
	weights := o.Model + "@" + o.Version
	if m.loaded != weights && o.Group != "" {
		m.readyAt = f.now.Add(f.load)
	}
	m.loaded = weights
	m.order = o
}

// reboot restarts a member: it returns with a new boot ID and without a group.
func (f *fakeFleet) reboot(id string) {
	m := f.members[id]
	*m = member{vm: m.vm, boot: m.boot + 1}
}

func (f *fakeFleet) view(domain string) group.View {
	v := group.View{
		Now: f.now, FabricDomain: domain, Term: 1, Revision: f.revision, Models: f.models,
		Groups: maps.Clone(f.groups), Rollouts: maps.Clone(f.rollouts), Ages: f.ages[domain],
		VMs: map[string]group.Versioned[group.VMRow]{}, Listed: map[string]fleet.VM{}, Reports: map[string]fleet.Report{},
	}
	for id, row := range f.vms {
		if row.Value.FabricDomain == domain {
			v.VMs[id] = row
		}
	}
	for id, m := range f.members {
		if m.vm.FabricDomain != domain {
			continue
		}
		v.Listed[id] = m.vm
		if r, ok := f.reports[id]; ok {
			v.Reports[id] = r
		}
	}
	return v
}

// step lets every member that is up answer, and every domain plan once.
func (f *fakeFleet) step() {
	f.now = f.now.Add(f.tick)
	for id, m := range f.members {
		if !m.down {
			f.reports[id] = f.report(m)
		}
	}
	for _, d := range slices.Sorted(maps.Keys(f.ages)) {
		f.apply(group.Plan(f.view(d), f.policy))
	}
	f.check()
}

func (f *fakeFleet) apply(c group.Commands) {
	for _, t := range c.Transactions {
		if f.commit(t) {
			f.steps[t.Step]++
		}
	}
	for _, o := range c.Orders {
		if m := f.members[o.Member]; m != nil && !m.down {
			f.give(m, o.Order)
		}
	}
}

func (f *fakeFleet) commit(t group.Transaction) bool {
	ok := t.Group == nil || f.groups[t.Group.Value.ID].Version == t.Group.Version
	for _, w := range t.VMs {
		ok = ok && f.vms[w.Value.ID].Version == w.Version
	}
	if !ok || (t.Rollout != nil && f.rollouts[t.Rollout.Value.Model].Version != t.Rollout.Version) {
		return false
	}
	if t.Group != nil {
		f.groups[t.Group.Value.ID] = group.Versioned[group.Row]{Value: t.Group.Value, Version: t.Group.Version + 1}
	}
	for _, w := range t.VMs {
		f.vms[w.Value.ID] = group.Versioned[group.VMRow]{Value: w.Value, Version: w.Version + 1}
		if w.Delete {
			delete(f.vms, w.Value.ID)
		}
	}
	if t.Rollout != nil {
		f.rollouts[t.Rollout.Value.Model] = group.Versioned[group.Rollout]{Value: t.Rollout.Value, Version: t.Rollout.Version + 1}
	}
	return true
}

// check verifies what must hold after every step.
func (f *fakeFleet) check() {
	f.t.Helper()
	in := map[string]string{}
	for id, g := range f.groups {
		for _, m := range g.Value.Members {
			row := f.vms[m].Value
			left := g.Value.State == group.StateDissolving && (row.Group != id || row.Epoch != g.Value.Epoch)
			if left {
				continue
			}
			if other, ok := in[m]; ok {
				f.t.Fatalf("%s is in %s and %s", m, other, id)
			}
			in[m] = id
			if row.Group != id || row.Epoch != g.Value.Epoch {
				f.t.Fatalf("%s is a member of %s at %d and its row says %+v", m, id, g.Value.Epoch, row)
			}
		}
	}
}

// until steps until ok and fails the test after limit steps.
func (f *fakeFleet) until(what string, limit int, ok func() bool) int {
	f.t.Helper()
	for n := range limit {
		if ok() {
			return n
		}
		f.step()
	}
	f.t.Fatalf("not %s after %d steps: %v", what, limit, f.states())
	return 0
}

func (f *fakeFleet) states() []string {
	var s []string
	for _, id := range slices.Sorted(maps.Keys(f.groups)) {
		g := f.groups[id].Value
		s = append(s, fmt.Sprintf("%s %s/%d %s %s failures=%d yielded=%v %v", id, g.FabricDomain, g.Epoch, g.State, g.Version, g.Failures, g.Yielded, g.Members))
	}
	return s
}

// proven returns the groups that may be dispatched to, by version.
func (f *fakeFleet) proven() map[string]int {
	n := map[string]int{}
	for _, g := range f.groups {
		if f.proves(g.Value) {
			n[g.Value.Version]++
		}
	}
	return n
}

func (f *fakeFleet) proves(r group.Row) bool {
	report := func(id string) (fleet.Report, bool) {
		report, ok := f.reports[id]
		return report, ok
	}
	return group.Prove(r, report, f.now, f.policy.ProofTTL) == nil
}

// serving returns a condition: exactly n groups are proven at version.
func (f *fakeFleet) serving(version string, n int) func() bool {
	return func() bool {
		proven := f.proven()
		return proven[version] == n && len(proven) <= 1
	}
}
