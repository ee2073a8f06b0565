// Package group decides which VMs form which replica groups.
//
// The table service holds one row for each replica group and one for each VM
// that was ever a member. Plan compares the accepted document, the rows and
// the reports of the members, and returns the next transactions and orders for
// one fabric domain. It keeps no state other than timers, so a new controller
// of the domain can continue from the rows.
//
// Prove decides whether requests may be dispatched to a group.
package group

import (
	"slices"
	"strconv"

	"almondbay.example/core/fleet"
)

// State is the state of a replica group in its row.
type State string

// States of a replica group. A serving group is drained before a planned
// change, but not after the loss of a member.
const (
	// StateForming: members are assigned, but some have not accepted the
	// epoch.
	StateForming State = "forming"
	// StateLoading: all members have accepted the epoch.
	StateLoading State = "loading"
	// StateServing: all members were ready when the row was written.
	StateServing State = "serving"
	// StateDraining: requests in flight finish and no new ones are dispatched.
	StateDraining State = "draining"
	// StateDissolving: the members are being released.
	StateDissolving State = "dissolving"
	// StateReleased: there are no members. The row is kept so that epochs
	// never repeat.
	StateReleased State = "released"
)

// Row is the row of one replica group. A group occupies one slot of a model;
// any fabric domain may form it while it is released.
type Row struct {
	// ID is the value of the function ID for Model and Slot, unique among all
	// groups.
	ID    string
	Model string
	// Slot is in [0, number of groups of the model).
	Slot         int
	FabricDomain string
	// Epoch increases by one with each change of members or version. It never
	// repeats for an ID.
	Epoch uint64
	State State
	// Members lists distinct VMs of FabricDomain, the leader first; empty only
	// in StateReleased. The row of each of them names ID and Epoch.
	Members []string
	Version string
	// Adapters lists the adapters to load, as name@version, sorted.
	Adapters []string
	// Boots holds the boot ID of every member, as of the change to
	// StateServing; empty in other states than serving and draining.
	Boots map[string]string
	// Failed is set once this epoch has failed to load.
	Failed bool
	// Failures is the number of consecutive epochs that failed to load Version.
	Failures int
	// Yielded is set while members can't be reached or replaced. Another fabric
	// domain may then claim the slot under a new epoch.
	Yielded bool
	// Revision is the document revision under which the row was written.
	Revision uint64
}

// ID returns the ID of the group in a slot of a model.
func ID(model string, slot int) string {
	return model + "-" + strconv.Itoa(slot)
}

// VMRow is the row of one VM. It names at most one group, so a VM can't be a
// member of two.
type VMRow struct {
	ID           string
	FabricDomain string
	// Group is empty while the VM may join a group. After the VM is removed from
	// the group's Members, it stays set until the VM has confirmed its release.
	Group string
	// Epoch is zero when Group is empty.
	Epoch uint64
	// Leader is set when the VM leads Epoch of Group.
	Leader bool
	// Gone is set once the platform no longer lists the VM.
	Gone bool
	// Failures is the number of times that a group replaced the VM because it
	// failed to load.
	Failures int
	// Term is the fencing number of the lease under which the row was written.
	Term uint64
}

// Rollout is the row that serializes the rollouts of one model. Each
// transaction that drains a serving group for a new version writes it, so that
// two fabric domains can't both use the last group that MaxUnavailable allows.
type Rollout struct {
	Model string
	// Group is the group that was drained last.
	Group string
	// Revision is the document revision under which Group was drained.
	Revision uint64
}

// Versioned is a value with the version of its row. In a transaction, Value is
// written on condition that the row is at Version. Version zero means that the
// row is absent.
type Versioned[T any] struct {
	Value   T
	Version uint64
}

// clone returns a deep copy of r.
func (r Row) clone() Row {
	r.Members = slices.Clone(r.Members)
	r.Adapters = slices.Clone(r.Adapters)
	boots := make(map[string]string, len(r.Boots))
	for m, b := range r.Boots {
		boots[m] = b
	}
	r.Boots = boots
	return r
}

// order returns the order that makes a VM a member of the group.
func (r Row) order(term uint64) fleet.Order {
	return fleet.Order{
		Term:     term,
		Group:    r.ID,
		Epoch:    r.Epoch,
		Members:  slices.Clone(r.Members),
		Model:    r.Model,
		Version:  r.Version,
		Adapters: slices.Clone(r.Adapters),
	}
}

// active reports whether the group has members that are or will be serving.
func (r Row) active() bool {
	return r.State != StateReleased && r.State != StateDissolving && r.State != ""
}

// hasMember reports whether v is the row of a current member of the group.
func (r Row) hasMember(v VMRow) bool {
	return r.active() && r.Epoch == v.Epoch && r.ID == v.Group &&
		r.FabricDomain == v.FabricDomain && slices.Contains(r.Members, v.ID)
}
