// Package trial runs the planner of package group against a simulated fleet in
// memory, for tests and for measurements of its policy.
package trial

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
)

// Member simulates one VM and its engine.
type Member struct {
	VM fleet.VM
	// Down members do not answer probes and receive no orders.
	Down bool
	// IgnoresOrders members answer probes but do not execute orders.
	IgnoresOrders bool
	// Boot is the boot ID, which changes with each Reboot.
	Boot  int
	Order fleet.Order
	// Leaving is the value of Leaving in the reports of the member.
	Leaving bool
	Running int

	loaded  string
	readyAt time.Time
}

// Fleet applies plans to rows in memory and to simulated members.
type Fleet struct {
	Now time.Time
	// Tick is the time between two rounds of probes and plans.
	Tick time.Duration
	// LoadTime is how long a member takes to load weights while no other
	// member loads.
	LoadTime time.Duration
	// StoreInterval is the time that the rate-limited weight store needs for
	// each of the members that load concurrently.
	StoreInterval time.Duration
	// ReloadAll makes every member load its weights again in each epoch.
	ReloadAll bool
	// FailingVersion is a model version that always fails to load.
	FailingVersion string

	Policy   group.Policy
	Models   []document.Model
	Revision uint64

	Members map[string]*Member
	Groups  map[string]group.Versioned[group.Row]
	VMs     map[string]group.Versioned[group.VMRow]
	// Steps counts the transactions that were applied, by kind.
	Steps map[group.Step]int

	rollouts map[string]group.Versioned[group.Rollout]
	timers   map[string]*group.StateTimers
	reports  map[string]fleet.Report
}

// Policy returns the policy for tests and trials.
func Policy() group.Policy {
	return group.Policy{
		ReportTTL:     3 * time.Second,
		ProofTTL:      3 * time.Second,
		MemberTimeout: 10 * time.Second,
		DrainTimeout:  time.Minute,
		LoadTimeout:   10 * time.Minute,
		RetryBackoff:  30 * time.Second,
		ClaimDelay:    30 * time.Second,
	}
}

// NewFleet returns a fleet with the given number of VMs in each fabric domain.
func NewFleet(domains map[string]int, models ...document.Model) *Fleet {
	f := &Fleet{
		Now:      time.Unix(1_700_000_000, 0),
		Tick:     time.Second,
		LoadTime: time.Minute,
		Policy:   Policy(),
		Models:   models,
		Revision: 1,
		Members:  map[string]*Member{},
		Groups:   map[string]group.Versioned[group.Row]{},
		VMs:      map[string]group.Versioned[group.VMRow]{},
		Steps:    map[group.Step]int{},
		rollouts: map[string]group.Versioned[group.Rollout]{},
		timers:   map[string]*group.StateTimers{},
		reports:  map[string]fleet.Report{},
	}
	for domain, n := range domains {
		f.timers[domain] = group.NewStateTimers()
		for i := range n {
			f.AddVM(domain, fmt.Sprintf("%s-vm%02d", domain, i))
		}
	}
	return f
}

// AddVM adds a VM to the platform's list.
func (f *Fleet) AddVM(domain, id string) {
	f.Members[id] = &Member{VM: fleet.VM{
		ID:           id,
		FabricDomain: domain,
		Role:         fleet.RoleBackend,
		State:        fleet.VMLive,
	}}
}

// RemoveVM removes a VM from the fleet and from the platform's list.
func (f *Fleet) RemoveVM(id string) {
	delete(f.Members, id)
	delete(f.reports, id)
}

// Reboot restarts a member with a new boot ID and without a group.
func (f *Fleet) Reboot(id string) {
	m := f.Members[id]
	*m = Member{VM: m.VM, Boot: m.Boot + 1}
}

func (f *Fleet) report(m *Member) fleet.Report {
	r := fleet.Report{
		Identity: fleet.Identity{
			Member:  m.VM.ID,
			Boot:    fmt.Sprint(m.Boot),
			Group:   m.Order.Group,
			Epoch:   m.Order.Epoch,
			Model:   m.Order.Model,
			Version: m.Order.Version,
		},
		Phase:    fleet.PhaseReady,
		Leaving:  m.Leaving,
		Adapters: m.Order.Adapters,
		SeenAt:   f.Now,
		Load:     fleet.Load{Running: m.Running},
	}
	switch {
	case m.Order.Group == "":
		r.Phase = fleet.PhaseIdle
	case m.Order.Version == f.FailingVersion:
		r.Phase = fleet.PhaseFailed
	case f.Now.Before(m.readyAt):
		r.Phase = fleet.PhaseLoading
	}
	return r
}

// execute carries out an order at a member.
func (f *Fleet) execute(m *Member, o fleet.Order) {
	weights := o.Model + "@" + o.Version
	again := f.ReloadAll && o.Epoch != m.Order.Epoch
	if o.Group != "" && (m.loaded != weights || again) {
		load := time.Duration(f.loading()+1) * f.StoreInterval
		m.readyAt = f.Now.Add(max(f.LoadTime, load))
	}
	m.loaded = weights
	m.Order = o
}

// loading returns the number of members that are loading weights.
func (f *Fleet) loading() int {
	n := 0
	for _, m := range f.Members {
		if !m.Down && f.Now.Before(m.readyAt) {
			n++
		}
	}
	return n
}

// View returns the view of the controller of a fabric domain.
func (f *Fleet) View(domain string) group.View {
	v := group.View{
		Now:          f.Now,
		FabricDomain: domain,
		Term:         1,
		Revision:     f.Revision,
		Models:       f.Models,
		Groups:       maps.Clone(f.Groups),
		Rollouts:     maps.Clone(f.rollouts),
		Timers:       f.timers[domain],
		VMs:          map[string]group.Versioned[group.VMRow]{},
		Listed:       map[string]fleet.VM{},
		Reports:      map[string]fleet.Report{},
	}
	for id, row := range f.VMs {
		if row.Value.FabricDomain == domain {
			v.VMs[id] = row
		}
	}
	for id, m := range f.Members {
		if m.VM.FabricDomain != domain {
			continue
		}
		v.Listed[id] = m.VM
		if r, ok := f.reports[id]; ok {
			v.Reports[id] = r
		}
	}
	return v
}

// Step advances the clock by one tick, probes every member that is up, and
// plans once for every fabric domain. It returns an error if the rows are
// inconsistent.
func (f *Fleet) Step() error {
	_, err := f.advance(f.Tick)
	return err
}

// advance is like Step, but advances the clock by the given time. It also
// reports whether any domain planned transactions or orders.
func (f *Fleet) advance(by time.Duration) (bool, error) {
	f.Now = f.Now.Add(by)
	f.probe()
	planned := false
	for _, domain := range slices.Sorted(maps.Keys(f.timers)) {
		c := group.Plan(f.View(domain), f.Policy)
		planned = planned || len(c.Transactions)+len(c.Orders) > 0
		f.apply(c)
	}
	return planned, f.check()
}

func (f *Fleet) probe() {
	for id, m := range f.Members {
		if !m.Down {
			f.reports[id] = f.report(m)
		}
	}
}

func (f *Fleet) apply(c group.Commands) {
	for _, t := range c.Transactions {
		if f.commit(t) {
			f.Steps[t.Step]++
		}
	}
	for _, o := range c.Orders {
		if m := f.Members[o.Member]; m != nil && !m.Down && !m.IgnoresOrders {
			f.execute(m, o.Order)
		}
	}
}

// commit applies a transaction if all its rows are at their versions.
func (f *Fleet) commit(t group.Transaction) bool {
	ok := t.Group == nil || f.Groups[t.Group.Value.ID].Version == t.Group.Version
	for _, w := range t.VMs {
		ok = ok && f.VMs[w.Value.ID].Version == w.Version
	}
	if !ok || (t.Rollout != nil && f.rollouts[t.Rollout.Value.Model].Version != t.Rollout.Version) {
		return false
	}
	if t.Group != nil {
		f.Groups[t.Group.Value.ID] = next(*t.Group)
	}
	for _, w := range t.VMs {
		f.VMs[w.Value.ID] = next(w.Versioned)
		if w.Delete {
			delete(f.VMs, w.Value.ID)
		}
	}
	if t.Rollout != nil {
		f.rollouts[t.Rollout.Value.Model] = next(*t.Rollout)
	}
	return true
}

func next[T any](v group.Versioned[T]) group.Versioned[T] {
	v.Version++
	return v
}

// check verifies that no VM is in two groups and that the rows of members name
// their group and its epoch.
func (f *Fleet) check() error {
	in := map[string]string{}
	for id, g := range f.Groups {
		for _, m := range g.Value.Members {
			row := f.VMs[m].Value
			bound := row.Group == id && row.Epoch == g.Value.Epoch
			if !bound && g.Value.State == group.StateDissolving {
				continue
			}
			if other, ok := in[m]; ok || !bound {
				return fmt.Errorf("VM %s is a member of group %s and group %q, and its row has group %s epoch %d", m, id, other, row.Group, row.Epoch)
			}
			in[m] = id
		}
	}
	return nil
}

// States describes the groups, for test failure messages.
func (f *Fleet) States() []string {
	var s []string
	for _, id := range slices.Sorted(maps.Keys(f.Groups)) {
		g := f.Groups[id].Value
		s = append(s, fmt.Sprintf("%s %s/%d %s %s failures=%d yielded=%v %v",
			id, g.FabricDomain, g.Epoch, g.State, g.Version, g.Failures, g.Yielded, g.Members))
	}
	return s
}

// Proves reports whether requests may be dispatched to a group.
func (f *Fleet) Proves(r group.Row) bool {
	report := func(id string) (fleet.Report, bool) {
		report, ok := f.reports[id]
		return report, ok
	}
	return group.Prove(r, report, f.Now, f.Policy.ProofTTL) == nil
}

// Proven returns the number of groups that requests may be dispatched to, by
// version.
func (f *Fleet) Proven() map[string]int {
	n := map[string]int{}
	for _, g := range f.Groups {
		if f.Proves(g.Value) {
			n[g.Value.Version]++
		}
	}
	return n
}
