// Package group decides which VMs form which replica groups.
//
// A replica group has one row in the table service and so has every VM that
// ever was a member. Plan compares the accepted document, the rows and the
// members' reports, and returns the next transactions and orders for one
// fabric domain. It depends on no earlier step, so whoever takes the domain
// over continues from the rows alone.
//
// Prove decides whether a group may be dispatched to.
package group

import (
	"slices"
	"strconv"

	"almondbay.example/core/fleet"
)

// State is the state of a replica group in its row.
type State string

// States of a replica group. A group that serves is drained before it is
// changed on purpose; a group that has lost a member is not.
const (
	// StateForming has its members; some have not accepted the group's epoch.
	StateForming State = "forming"
	// StateLoading has members that have all accepted the epoch.
	StateLoading State = "loading"
	// StateServing has members that were all ready when the row was written.
	StateServing State = "serving"
	// StateDraining serves what it has begun and takes nothing new.
	StateDraining State = "draining"
	// StateDissolving releases its members.
	StateDissolving State = "dissolving"
	// StateReleased has no members. The row stays so that epochs never repeat.
	StateReleased State = "released"
)

// Row is the row of one replica group. A group is a slot of a model: any
// fabric domain may form it while it is released.
type Row struct {
	// ID is unique among all groups and made from Model and Slot by ID.
	ID    string
	Model string
	// Slot is in [0, number of groups of the model).
	Slot         int
	FabricDomain string
	// Epoch grows by one whenever members or version change. It never repeats
	// within an ID.
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
	// Failures counts the epochs in a row that failed to load Version.
	Failures int
	// Yielded is set while members can't be reached or replaced. Another fabric
	// domain may then take the slot under a new epoch.
	Yielded bool
	// Revision is the document revision under which the row was written.
	Revision uint64
}

// ID returns the ID of a model's group in a slot.
func ID(model string, slot int) string {
	return model + "-" + strconv.Itoa(slot)
}

// VMRow is the row of one VM. It names one group at most, which is why no VM
// is in two.
type VMRow struct {
	ID           string
	FabricDomain string
	// Group is empty while the VM may join a group. It is kept after the VM has
	// left the group's Members until the VM has acknowledged its release.
	Group string
	// Epoch is zero when Group is empty.
	Epoch uint64
	// Leader is set when the VM leads Epoch of Group.
	Leader bool
	// Gone is set once the platform no longer lists the VM.
	Gone bool
	// Failures counts the groups that removed the VM since it failed to load.
	Failures int
	// Term is the fencing number of the lease under which the row was written.
	Term uint64
}

// Rollout is the row that serialises the roll-outs of one model: each
// transaction that takes a serving group out for a new version writes it, so
// that two fabric domains can't both use the last place under MaxUnavailable.
type Rollout struct {
	Model string
	// Group is the group that was taken out last.
	Group string
	// Revision is the document revision under which it was.
	Revision uint64
}

// Versioned is a value and the version of its row. In a transaction it means:
// write Value on condition that the row is at Version. Version zero stands for
// an absent row.
type Versioned[T any] struct {
	Value   T
	Version uint64
}

// clone returns a copy that shares nothing with r.
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

// order returns what a member of the group is ordered to be.
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

// active reports whether the group holds members that are meant to serve.
func (r Row) active() bool {
	return r.State != StateReleased && r.State != StateDissolving && r.State != ""
}

// binds reports whether the VM of row v is a current member of the group.
func (r Row) binds(v VMRow) bool {
	return r.active() && r.Epoch == v.Epoch && r.ID == v.Group &&
		r.FabricDomain == v.FabricDomain && slices.Contains(r.Members, v.ID)
}
