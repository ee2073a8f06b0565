// Package view holds the state of the fleet as one node knows it: the list of
// VMs, the rows of replica groups, the latest report of each member, and the
// document in force. It is kept in memory only and rebuilt after a restart.
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

// Target is a replica group to which requests may be dispatched.
type Target struct {
	Group group.Row
	// Leader is the identity of the leader, which the head of a response must
	// carry.
	Leader  fleet.Identity
	Address string
	// FailureDomain and FabricDomain are those of the leader.
	FailureDomain string
	FabricDomain  string
	// Members lists the VMs of all members, the leader first.
	Members []fleet.VM
	// Load is the load in the leader's latest report.
	Load fleet.Load
}

// View is the state of the fleet as one node knows it. It is safe for concurrent
// use.
type View struct {
	// proofTTL is the maximum age of a report that counts for a proof; see
	// group.Prove.
	proofTTL time.Duration

	mu  sync.RWMutex
	vms map[string]fleet.VM
	// drained holds the IDs of the VMs that operators have drained.
	drained map[string]bool
	// services holds the live VMs of each plain service by its name. The map
	// and its slices are replaced but never modified.
	services map[string][]fleet.VM
	groups   map[string]group.Row
	reports  map[string]fleet.Report
	document document.Document
	// revision is the revision of document; it never decreases.
	revision uint64
}

// New returns an empty view. Reports older than proofTTL don't count for the
// proof of a group; see group.Prove.
func New(proofTTL time.Duration) *View {
	return &View{
		proofTTL: proofTTL,
		vms:      make(map[string]fleet.VM),
		groups:   make(map[string]group.Row),
		reports:  make(map[string]fleet.Report),
	}
}

// SetDrained replaces the set of VMs that operators have drained. The states of
// the VMs change with the next call of SetVMs.
func (v *View) SetDrained(ids []string) {
	drained := make(map[string]bool, len(ids))
	for _, id := range ids {
		drained[id] = true
	}
	v.mu.Lock()
	defer v.mu.Unlock()

	v.drained = drained
}

// Drained reports whether an operator has drained the VM with the ID.
func (v *View) Drained(id string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()

	return v.drained[id]
}

// SetVMs replaces the list of VMs. Drained VMs get the state fleet.VMLeaving.
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

// VMs returns the VMs with the role, sorted by ID.
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

// Rows returns all VMs and the rows of all replica groups, in no particular
// order.
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

// SetReport stores the latest report of a member.
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

// SetDocument puts a document with its revision in force, unless the revision
// is not newer than the one in force.
func (v *View) SetDocument(revision uint64, d document.Document) {
	v.mu.Lock()
	defer v.mu.Unlock()

	if revision <= v.revision {
		return
	}
	v.revision = revision
	v.document = d
}

// Document returns the document in force and its revision, which is zero while
// no document is in force.
func (v *View) Document() (document.Document, uint64) {
	v.mu.RLock()
	defer v.mu.RUnlock()

	return v.document, v.revision
}

// Targets returns the replica groups of model that have a proof at now, in no
// particular order: every member reported the identity of the group within the
// last proofTTL, and none of them is leaving.
func (v *View) Targets(model string, now time.Time) []Target {
	v.mu.RLock()
	defer v.mu.RUnlock()

	var out []Target
	for _, g := range v.groups {
		if g.Model != model || !v.hasProof(g, now) {
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

// GroupState is the row of a replica group and whether the group serves.
type GroupState struct {
	Row group.Row
	// Serving is set if the group has a proof; see group.Prove.
	Serving bool
}

// Groups returns the states of all replica groups at now, sorted by ID.
func (v *View) Groups(now time.Time) []GroupState {
	v.mu.RLock()
	defer v.mu.RUnlock()

	states := make([]GroupState, 0, len(v.groups))
	for _, g := range v.groups {
		states = append(states, GroupState{Row: g, Serving: v.hasProof(g, now)})
	}
	slices.SortFunc(states, func(a, b GroupState) int { return strings.Compare(a.Row.ID, b.Row.ID) })
	return states
}

// hasProof reports whether g is proven at now and every member is listed by the
// platform and not leaving. The caller must hold mu.
func (v *View) hasProof(g group.Row, now time.Time) bool {
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

// members returns the VMs of a group, the leader first. The caller must hold mu.
func (v *View) members(g group.Row) []fleet.VM {
	vms := make([]fleet.VM, 0, len(g.Members))
	for _, id := range g.Members {
		vms = append(vms, v.vms[id])
	}
	return vms
}

// Condition tells whether an epoch of a replica group can still complete the
// requests that were dispatched to it.
type Condition uint8

// Conditions of an epoch of a replica group.
const (
	// ConditionIntact means that every member reported the group and epoch
	// within the last proofTTL. The group may be draining: its requests in
	// flight continue.
	ConditionIntact Condition = iota
	// ConditionLost means that a member has not reported within the last
	// proofTTL or has restarted.
	ConditionLost
	// ConditionChanged means that the group has another epoch, was released or
	// has a member that reports another group or epoch.
	ConditionChanged
)

// Condition returns the condition at now of a group at an epoch. ConditionLost
// takes precedence over a member that reports another group or epoch.
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

// Services returns the live VMs of a plain service. The caller must not modify
// the result.
func (v *View) Services(name string) []fleet.VM {
	v.mu.RLock()
	defer v.mu.RUnlock()

	return v.services[name]
}
