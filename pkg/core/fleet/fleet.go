// Package fleet holds the vocabulary shared by the decision libraries: VMs,
// the identity that a member of a replica group reports, and its load.
package fleet

import "time"

// Role tells what runs on a VM.
type Role string

// Roles of a VM.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
	RoleService Role = "service"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	// ID is unique for the life of the VM and never reused.
	ID string
	// Address is the host:port that the process on the VM listens on: peers
	// for an entry VM, callers of the engine or service for the others.
	Address string
	// FailureDomain is never empty.
	FailureDomain string
	// FabricDomain is empty unless Role is RoleBackend.
	FabricDomain string
	Role         Role
	// Service is the plain service that runs on the VM; empty unless Role is
	// RoleService.
	Service string
	// Accelerators is the number of accelerators on the VM.
	Accelerators int
	State        VMState
}

// Identity is what a member says about itself in a health answer and in the
// head of every response.
type Identity struct {
	// Member is the ID of the VM that the member runs on.
	Member string
	// Boot changes with every start of the member's process.
	Boot string
	// Group is empty while the member belongs to no replica group.
	Group string
	// Epoch is the epoch of Group; zero when Group is empty.
	Epoch   uint64
	Model   string
	Version string
}

// Phase is the progress of a member towards serving.
type Phase string

// Phases of a member.
const (
	PhaseIdle    Phase = "idle"
	PhaseLoading Phase = "loading"
	PhaseReady   Phase = "ready"
	PhaseFailed  Phase = "failed"
)

// Load is the load that the leader of a replica group reports for the group.
type Load struct {
	// Running is the number of requests in the current batch.
	Running int
	// Waiting is the number of requests in the engine's own queue.
	Waiting int
	// Slots is the most requests that a batch holds.
	Slots int
	// Tokens is the number of KV cache tokens in use.
	Tokens int
}

// Report is the health answer of one member.
type Report struct {
	Identity Identity
	Phase    Phase
	// Term is the fencing number of the last order that the member accepted.
	Term uint64
	// Leaving is set when the member has been told to stop.
	Leaving bool
	Load    Load
	// Adapters lists the adapters that the member has loaded, as name@version.
	Adapters []string
	// SeenAt is when the answer was received, by the receiver's clock.
	SeenAt time.Time
}

// Order is the whole desired state of one member. It is never a delta: an
// order with an empty Group releases the member.
type Order struct {
	// Term is the fencing number of the lease under which the order is given.
	Term  uint64
	Group string
	// Epoch is zero when Group is empty.
	Epoch uint64
	// Members lists the IDs of all members of the group, the leader first.
	Members []string
	Model   string
	Version string
	// Adapters lists the adapters to load, as name@version.
	Adapters []string
}
