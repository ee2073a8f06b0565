// Package status defines the status that a node reports to operators: its own
// state and its view of the environment.
package status

import (
	"time"

	"almondbay.example/core/revision"
)

// Status is the state of one node and its view of the environment.
type Status struct {
	Node          string
	FailureDomain string
	Environment   string
	// Version is the version of the program.
	Version string
	// At is when the status was collected, by the node's clock.
	At time.Time
	// Ready is set if the node accepts requests from callers.
	Ready bool
	// Reasons lists why the node is not ready; empty if it is ready.
	Reasons []string
	// Revision is the document revision in force at the node; zero if there is
	// none.
	Revision revision.FollowerState
	// PlatformSeenAt is when the table service last responded; zero if it never
	// did.
	PlatformSeenAt time.Time
	Models         []Model
	Groups         []Group
	VMs            []VM
	// Leases lists the fabric domains whose leases this node holds.
	Leases []string
	// Nodes lists the other nodes that this node knows.
	Nodes []Node
}

// Model compares the replica groups of a model in the document with those that
// serve.
type Model struct {
	Name    string
	Version string
	// Wanted is the number of replica groups that the document specifies.
	Wanted int
	// Serving is the number of replica groups at Version that have a proof; see
	// group.Prove.
	Serving int
}

// Group is the state of a replica group.
type Group struct {
	ID      string
	Model   string
	Version string
	Epoch   uint64
	State   string
	// Members lists the IDs of the VMs, the leader first.
	Members []string
	// Serving is set if the group has a proof; see group.Prove.
	Serving bool
}

// VM is the state of a VM that runs a backend server or a plain service.
type VM struct {
	ID            string
	Role          string
	FailureDomain string
	FabricDomain  string
	State         string
	Phase         string
	// Drained is set if an operator has drained the VM.
	Drained bool
	// SeenAt is when the VM last reported to this node; zero if it never did.
	SeenAt time.Time
}

// Node is another node of the environment.
type Node struct {
	ID            string
	FailureDomain string
	// Revision is the document revision that the node reports as in force.
	Revision uint64
	// SeenAt is when this node last received a message from it; zero if it never
	// did.
	SeenAt time.Time
}

// Distance returns the number of replica groups in the document that do not
// serve.
func (s Status) Distance() int {
	missing := 0
	for _, m := range s.Models {
		missing += max(0, m.Wanted-m.Serving)
	}
	return missing
}

// Lagging returns the nodes whose reported revision is older than that of this
// node.
func (s Status) Lagging() []Node {
	var lagging []Node
	for _, n := range s.Nodes {
		if n.Revision < s.Revision.Revision {
			lagging = append(lagging, n)
		}
	}
	return lagging
}
