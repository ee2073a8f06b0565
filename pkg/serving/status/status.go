// Package status holds what a node tells operators about itself and about the
// environment as it sees it.
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
	// At is when the status was taken, by the node's clock.
	At time.Time
	// Ready tells whether the node takes requests from callers.
	Ready bool
	// Reasons tells why the node is not ready; empty when it is.
	Reasons []string
	// Revision is what the node has in force; zero when it has none.
	Revision revision.FollowerState
	// Platform tells when the table service last answered; zero for never.
	PlatformSeenAt time.Time
	Models         []Model
	Groups         []Group
	VMs            []VM
	// Leases lists the fabric domains that this node controls.
	Leases []string
	// Nodes are the other nodes that this one hears from.
	Nodes []Node
}

// Model compares what the document asks for with what serves.
type Model struct {
	Name    string
	Version string
	// Wanted is the number of replica groups in the document.
	Wanted int
	// Serving is the number of replica groups at the wanted version that have
	// a proof.
	Serving int
}

// Group is one replica group.
type Group struct {
	ID      string
	Model   string
	Version string
	Epoch   uint64
	State   string
	// Members lists the IDs of the VMs, the leader first.
	Members []string
	// Serving tells whether the group has a proof now.
	Serving bool
}

// VM is one backend server or plain service.
type VM struct {
	ID            string
	Role          string
	FailureDomain string
	FabricDomain  string
	State         string
	Phase         string
	// Drained is set when an operator asked for it.
	Drained bool
	// SeenAt is when the VM last answered this node; zero for never.
	SeenAt time.Time
}

// Node is another node.
type Node struct {
	ID            string
	FailureDomain string
	// Revision is what the node says it has in force.
	Revision uint64
	// SeenAt is when this node last heard from it; zero for never.
	SeenAt time.Time
}

// Distance returns the number of replica groups that the fleet lacks to match
// the document.
func (s Status) Distance() int {
	missing := 0
	for _, m := range s.Models {
		missing += max(0, m.Wanted-m.Serving)
	}
	return missing
}

// Lagging returns the nodes that are known to hold an older revision than this
// one.
func (s Status) Lagging() []Node {
	var lagging []Node
	for _, n := range s.Nodes {
		if n.Revision < s.Revision.Revision {
			lagging = append(lagging, n)
		}
	}
	return lagging
}
