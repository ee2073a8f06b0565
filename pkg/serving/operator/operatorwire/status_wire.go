package operatorwire

import (
	"time"

	"almondbay.example/core/revision"
	"almondbay.example/serving/status"
)

// Status is the JSON form of the status of a node.
type Status struct {
	Node           string        `json:"node"`
	FailureDomain  string        `json:"failureDomain"`
	Environment    string        `json:"environment"`
	Version        string        `json:"version"`
	At             time.Time     `json:"at"`
	Ready          bool          `json:"ready"`
	Reasons        []string      `json:"reasons"`
	Revision       Entry         `json:"revision"`
	Confirmed      bool          `json:"confirmed"`
	PlatformSeenAt *time.Time    `json:"platformSeenAt,omitempty"`
	Distance       int           `json:"distance"`
	Models         []StatusModel `json:"models"`
	Groups         []StatusGroup `json:"groups"`
	VMs            []StatusVM    `json:"vms"`
	Leases         []string      `json:"leases"`
	Nodes          []StatusNode  `json:"nodes"`
}

// StatusModel is the JSON form of the state of a model.
type StatusModel struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Wanted  int    `json:"wanted"`
	Serving int    `json:"serving"`
}

// StatusGroup is the JSON form of the state of a replica group.
type StatusGroup struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Version string   `json:"version"`
	Epoch   uint64   `json:"epoch"`
	State   string   `json:"state"`
	Members []string `json:"members"`
	Serving bool     `json:"serving"`
}

// StatusVM is the JSON form of the state of a VM.
type StatusVM struct {
	ID            string     `json:"id"`
	Role          string     `json:"role"`
	FailureDomain string     `json:"failureDomain"`
	FabricDomain  string     `json:"fabricDomain,omitempty"`
	State         string     `json:"state"`
	Phase         string     `json:"phase,omitempty"`
	Drained       bool       `json:"drained"`
	SeenAt        *time.Time `json:"seenAt,omitempty"`
}

// StatusNode is the JSON form of the state of another node.
type StatusNode struct {
	ID            string     `json:"id"`
	FailureDomain string     `json:"failureDomain"`
	Revision      uint64     `json:"revision"`
	SeenAt        *time.Time `json:"seenAt,omitempty"`
}

// FromStatus converts a status to its wire form.
func FromStatus(s status.Status) Status {
	wire := Status{
		Node:           s.Node,
		FailureDomain:  s.FailureDomain,
		Environment:    s.Environment,
		Version:        s.Version,
		At:             s.At.UTC(),
		Ready:          s.Ready,
		Reasons:        append([]string{}, s.Reasons...),
		Revision:       FromEntry(s.Revision.Entry),
		Confirmed:      s.Revision.Confirmed,
		PlatformSeenAt: optional(s.PlatformSeenAt),
		Distance:       s.Distance(),
		Models:         []StatusModel{},
		Groups:         []StatusGroup{},
		VMs:            []StatusVM{},
		Leases:         append([]string{}, s.Leases...),
		Nodes:          []StatusNode{},
	}
	for _, m := range s.Models {
		wire.Models = append(wire.Models, StatusModel(m))
	}
	for _, g := range s.Groups {
		wire.Groups = append(wire.Groups, StatusGroup(g))
	}
	for _, vm := range s.VMs {
		wire.VMs = append(wire.VMs, fromVM(vm))
	}
	for _, n := range s.Nodes {
		wire.Nodes = append(wire.Nodes, StatusNode{
			ID: n.ID, FailureDomain: n.FailureDomain, Revision: n.Revision, SeenAt: optional(n.SeenAt),
		})
	}
	return wire
}

func fromVM(vm status.VM) StatusVM {
	return StatusVM{
		ID:            vm.ID,
		Role:          vm.Role,
		FailureDomain: vm.FailureDomain,
		FabricDomain:  vm.FabricDomain,
		State:         vm.State,
		Phase:         vm.Phase,
		Drained:       vm.Drained,
		SeenAt:        optional(vm.SeenAt),
	}
}

// ToStatus converts the wire form to a status. The distance is not read: it is
// computed from the models.
func ToStatus(w Status) status.Status {
	s := status.Status{
		Node:           w.Node,
		FailureDomain:  w.FailureDomain,
		Environment:    w.Environment,
		Version:        w.Version,
		At:             w.At,
		Ready:          w.Ready,
		Reasons:        w.Reasons,
		Revision:       revision.FollowerState{Entry: ToEntry(w.Revision), Confirmed: w.Confirmed},
		PlatformSeenAt: value(w.PlatformSeenAt),
		Leases:         w.Leases,
	}
	for _, m := range w.Models {
		s.Models = append(s.Models, status.Model(m))
	}
	for _, g := range w.Groups {
		s.Groups = append(s.Groups, status.Group(g))
	}
	for _, vm := range w.VMs {
		s.VMs = append(s.VMs, status.VM{
			ID:            vm.ID,
			Role:          vm.Role,
			FailureDomain: vm.FailureDomain,
			FabricDomain:  vm.FabricDomain,
			State:         vm.State,
			Phase:         vm.Phase,
			Drained:       vm.Drained,
			SeenAt:        value(vm.SeenAt),
		})
	}
	for _, n := range w.Nodes {
		s.Nodes = append(s.Nodes, status.Node{
			ID: n.ID, FailureDomain: n.FailureDomain, Revision: n.Revision, SeenAt: value(n.SeenAt),
		})
	}
	return s
}

// optional returns nil for a zero time, which omits the JSON field, and the time
// in UTC otherwise.
func optional(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	utc := t.UTC()
	return &utc
}

// value returns the zero time for nil.
func value(t *time.Time) time.Time {
	if t == nil {
		return time.Time{}
	}
	return *t
}
