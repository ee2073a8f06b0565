package group

import (
	"time"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
)

// Policy holds the times and rates that Plan decides by.
type Policy struct {
	// ReportTTL is how old a report may be to be acted upon.
	ReportTTL time.Duration
	// ProofTTL is how long dispatchers rely on a proof; see Prove.
	ProofTTL time.Duration
	// MemberTimeout is how long a member may be silent before it is replaced.
	MemberTimeout time.Duration
	// DrainTimeout bounds the wait for requests in flight of a group that is
	// changed on purpose.
	DrainTimeout time.Duration
	// LoadTimeout is how long an epoch may take to load before it has failed.
	LoadTimeout time.Duration
	// RetryBackoff is the wait after a failed epoch; it grows with the failures
	// in a row.
	RetryBackoff time.Duration
	// ClaimDelay is how long a slot is left to other fabric domains when forming
	// it here would use up spares, or when the domain that holds it may return.
	ClaimDelay time.Duration
	// LossRate is the number of members that one VM loses in a day.
	LossRate float64
	// Replacement is how long the platform takes to replace a lost VM.
	Replacement time.Duration
	// Risk is the chance that the spares of a domain run out before lost VMs
	// are replaced; in (0, 1). Spares are then kept for LossRate; zero leaves
	// the number to the document.
	Risk float64
}

// View is what a controller knows of one fabric domain and of the groups.
type View struct {
	Now          time.Time
	FabricDomain string
	// Term is the fencing number of the domain's lease.
	Term uint64
	// Revision is the revision of the document that Models is from; zero when
	// none is known, and then nothing is planned.
	Revision uint64
	Models   []document.Model
	// Groups holds the groups of all fabric domains by ID.
	Groups map[string]Versioned[Row]
	// VMs holds the rows of the domain's VMs by ID.
	VMs map[string]Versioned[VMRow]
	// Rollouts holds the rows of roll-outs by model. They are read before
	// Groups.
	Rollouts map[string]Versioned[Rollout]
	// Listed holds the platform's list of the domain's VMs by ID; nil when the
	// list is not known.
	Listed map[string]fleet.VM
	// Reports holds the last answer of each of the domain's VMs by ID.
	Reports map[string]fleet.Report
	// Timers is kept by the caller between plans.
	Timers *StateTimers
}

// Step names a transaction, for logs and tests.
type Step string

// Steps of Plan.
const (
	StepForm     Step = "form"
	StepLoad     Step = "load"
	StepServe    Step = "serve"
	StepDrain    Step = "drain"
	StepResume   Step = "resume"
	StepRetarget Step = "retarget"
	StepAdapt    Step = "adapt"
	StepRepair   Step = "repair"
	StepYield    Step = "yield"
	StepFail     Step = "fail"
	StepDissolve Step = "dissolve"
	StepRelease  Step = "release"
	StepFree     Step = "free"
	StepGone     Step = "gone"
	StepForget   Step = "forget"
)

// VMWrite writes or deletes the row of a VM.
type VMWrite struct {
	Versioned[VMRow]
	Delete bool
}

// Transaction is applied whole on condition that all its rows are at their
// versions and that the lease's term has not changed.
type Transaction struct {
	Step Step
	// Group is nil when no group row is written.
	Group *Versioned[Row]
	VMs   []VMWrite
	// Rollout is nil unless a roll-out takes a serving group out.
	Rollout *Versioned[Rollout]
}

// MemberOrder is an order to give to one VM.
type MemberOrder struct {
	Member string
	Order  fleet.Order
}

// Commands is what Plan asks for. No row occurs in two transactions, and no
// order depends on one of the transactions.
type Commands struct {
	Transactions []Transaction
	Orders       []MemberOrder
}
