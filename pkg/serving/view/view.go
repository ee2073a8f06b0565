// Package view holds what one node knows of the fleet: the list of VMs, the
// rows of replica groups, the latest report of each member, and the
// configuration in force. All of it is soft state, learned again after a
// restart.
package view

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
)

// Target is a replica group that can be given work.
type Target struct {
	Group group.Row
	// Leader is the leader's identity, which the answer's head must carry.
	Leader  fleet.Identity
	Address string
	// FailureDomain is the failure domain of the leader.
	FailureDomain string
	// FabricDomain is the fabric domain of the leader.
	FabricDomain string
	// Members lists the VMs of all members, the leader first.
	Members []fleet.VM
	Load    fleet.Load
}

// View is safe for concurrent use.
type View struct {
	// proofTTL is the age beyond which a report proves nothing.
	proofTTL time.Duration

	mu  sync.RWMutex
	vms map[string]fleet.VM
	// drained holds the VMs that operators asked to take out of service.
	drained map[string]bool
	// services holds the live VMs of each plain service; replaced whole.
	services map[string][]fleet.VM
	groups   map[string]group.Row
	reports  map[string]fleet.Report
	document document.Document
	// revision never goes down.
	revision uint64
}

// New returns an empty view in which a report older than proofTTL proves
// nothing.
func New(proofTTL time.Duration) *View {
	return &View{
		proofTTL: proofTTL,
		vms:      make(map[string]fleet.VM),
		groups:   make(map[string]group.Row),
		reports:  make(map[string]fleet.Report),
	}
}

// SetDrained replaces the VMs that operators asked to take out of service. It
// takes effect with the next SetVMs.
func (v *View) SetDrained(ids []string) {
	drained := make(map[string]bool, len(ids))
	for _, id := range ids {
		drained[id] = true
	}
	v.mu.Lock()
	defer v.mu.Unlock()

	v.drained = drained
}

// Drained tells whether an operator asked to take a VM out of service.
func (v *View) Drained(id string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()

	return v.drained[id]
}

// SetVMs replaces the list of VMs. A drained VM counts as leaving.
func (v *View) SetVMs(vms []fleet.VM) {
	byID := make(map[string]fleet.VM, len(vms))
	services := make(map[string][]fleet.VM)
	for _, vm := range vms {
		if v.Drained(vm.ID) {
			vm.State = fleet.VMLeaving
		}
		byID[vm.ID] = vm
		if vm.Role == fleet.RoleService && vm.State == fleet.VMLive {
			services[vm.Service] = append(services[vm.Service], vm)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()

	v.vms = byID
	v.services = services
}

// VMs returns the VMs with a role, in the order of their IDs.
func (v *View) VMs(role fleet.Role) []fleet.VM {
	v.mu.RLock()
	defer v.mu.RUnlock()

	var out []fleet.VM
	for _, vm := range v.vms {
		if vm.Role == role {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, func(a, b fleet.VM) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Rows returns all VMs and all rows of replica groups, in no order.
func (v *View) Rows() ([]fleet.VM, []group.Row) {
	v.mu.RLock()
	defer v.mu.RUnlock()

	return slices.Collect(maps.Values(v.vms)), slices.Collect(maps.Values(v.groups))
}

// SetGroups replaces the rows of replica groups.
func (v *View) SetGroups(groups []group.Row) {
	byID := make(map[string]group.Row, len(groups))
	for _, g := range groups {
		byID[g.ID] = g
	}
	v.mu.Lock()
	defer v.mu.Unlock()

	v.groups = byID
}

// SetReport keeps the latest report of a member.
func (v *View) SetReport(r fleet.Report) {
	v.mu.Lock()
	defer v.mu.Unlock()

	v.reports[r.Identity.Member] = r
}

// Report returns the latest report of a member.
func (v *View) Report(member string) (fleet.Report, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()

	r, ok := v.reports[member]
	return r, ok
}

// SetDocument puts a revision in force. An older revision than the one in
// force is ignored.
func (v *View) SetDocument(revision uint64, d document.Document) {
	v.mu.Lock()
	defer v.mu.Unlock()

	if revision <= v.revision {
		return
	}
	v.revision = revision
	v.document = d
}

// Document returns the configuration in force and its revision, which is zero
// while there is none.
func (v *View) Document() (document.Document, uint64) {
	v.mu.RLock()
	defer v.mu.RUnlock()

	return v.document, v.revision
}

// Targets returns the replica groups of model that have a proof at now: every
// member has reported the group's identity within the last proofTTL.
func (v *View) Targets(model string, now time.Time) []Target {
	v.mu.RLock()
	defer v.mu.RUnlock()

	var out []Target
	for _, g := range v.groups {
		if g.Model != model || !v.proved(g, now) {
			continue
		}
		leader := v.vms[g.Members[0]]
		report := v.reports[leader.ID]
		out = append(out, Target{
			Group:         g,
			Leader:        report.Identity,
			Address:       leader.Address,
			FailureDomain: leader.FailureDomain,
			FabricDomain:  leader.FabricDomain,
			Members:       v.members(g),
			Load:          report.Load,
		})
	}
	return out
}

// GroupState is a replica group and whether it serves.
type GroupState struct {
	Row group.Row
	// Serving tells whether the group has a proof.
	Serving bool
}

// Groups returns all replica groups at now, in the order of their IDs.
func (v *View) Groups(now time.Time) []GroupState {
	v.mu.RLock()
	defer v.mu.RUnlock()

	states := make([]GroupState, 0, len(v.groups))
	for _, g := range v.groups {
		states = append(states, GroupState{Row: g, Serving: v.proved(g, now)})
	}
	slices.SortFunc(states, func(a, b GroupState) int { return strings.Compare(a.Row.ID, b.Row.ID) })
	return states
}

// proved reports whether g is proven and the platform lists no member as
// leaving. The caller holds the lock.
func (v *View) proved(g group.Row, now time.Time) bool {
	for _, id := range g.Members {
		if vm, listed := v.vms[id]; !listed || vm.State == fleet.VMLeaving {
			return false
		}
	}
	report := func(member string) (fleet.Report, bool) {
		r, ok := v.reports[member]
		return r, ok
	}
	return group.Prove(g, report, now, v.proofTTL) == nil
}

// members returns the VMs of a group. The caller holds the lock.
func (v *View) members(g group.Row) []fleet.VM {
	vms := make([]fleet.VM, 0, len(g.Members))
	for _, id := range g.Members {
		vms = append(vms, v.vms[id])
	}
	return vms
}

// Condition is what has become of a replica group at an epoch.
type Condition uint8

// Conditions of a replica group.
const (
	// ConditionIntact means that every member has lately been seen in the
	// group. The group may be leaving: work in flight there goes on.
	ConditionIntact Condition = iota
	// ConditionLost means that a member has not been seen lately or has
	// started anew.
	ConditionLost
	// ConditionChanged means that the group was given another epoch or was
	// released.
	ConditionChanged
)

// Condition returns what has become of a group since it was at an epoch.
func (v *View) Condition(id string, epoch uint64, now time.Time) Condition {
	v.mu.RLock()
	defer v.mu.RUnlock()

	g, ok := v.groups[id]
	if !ok || g.Epoch != epoch || len(g.Members) == 0 {
		return ConditionChanged
	}
	condition := ConditionIntact
	for _, member := range g.Members {
		r, ok := v.reports[member]
		if !ok || now.Sub(r.SeenAt) > v.proofTTL || r.Identity.Boot != g.Boots[member] {
			return ConditionLost
		}
		if r.Identity.Group != id || r.Identity.Epoch != epoch {
			condition = ConditionChanged
		}
	}
	return condition
}

// Services returns the live VMs of a plain service.
func (v *View) Services(name string) []fleet.VM {
	v.mu.RLock()
	defer v.mu.RUnlock()

	return v.services[name]
}
