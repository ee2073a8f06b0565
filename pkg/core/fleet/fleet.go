// Package fleet defines the types shared by the core packages: VMs, the identity
// and load that a member of a replica group reports, and the orders sent to it.
package fleet

import "time"

// Role is the kind of process that runs on a VM.
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
	// ID is unique to the VM and never reused.
	ID string
	// Address is the host:port on which the process on the VM listens: for peers
	// on an entry VM, for requests to the engine or service on other VMs.
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

// Identity is the identity that a member reports in health responses and in the
// headers of every response.
type Identity struct {
	// Member is the ID of the VM that the member runs on.
	Member string
	// Boot identifies one run of the member's process; it changes with every
	// start.
	Boot string
	// Group is empty while the member belongs to no replica group.
	Group string
	// Epoch is the epoch of Group; zero when Group is empty.
	Epoch   uint64
	Model   string
	Version string
}

// Phase is the progress of a member from idle to ready to serve.
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
	// Slots is the maximum number of requests in a batch.
	Slots int
	// Tokens is the number of KV cache tokens in use.
	Tokens int
}

// Report is the health response of one member.
type Report struct {
	Identity Identity
	Phase    Phase
	// Term is the fencing number of the last order that the member accepted.
	Term uint64
	// Leaving is set when the member has been requested to stop.
	Leaving bool
	Load    Load
	// Adapters lists the adapters that the member has loaded, as name@version.
	Adapters []string
	// SeenAt is the time at which the response was received, by the receiver's
	// clock.
	SeenAt time.Time
}

// Order is the complete desired state of one member, never a delta. An order
// with an empty Group removes the member from its group.
type Order struct {
	// Term is the fencing number of the lease under which the order is sent.
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
