package group

import (
	"time"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
)

// Policy holds the timeouts and rates that Plan uses.
type Policy struct {
	// ReportTTL is the maximum age of a report that Plan acts on.
	ReportTTL time.Duration
	// ProofTTL is how long dispatchers rely on a proof; see Prove.
	ProofTTL time.Duration
	// MemberTimeout is the time without a report after which a member is
	// replaced.
	MemberTimeout time.Duration
	// DrainTimeout bounds the wait for requests in flight before a planned
	// change.
	DrainTimeout time.Duration
	// LoadTimeout is the time after which an epoch that is still loading
	// fails.
	LoadTimeout time.Duration
	// RetryBackoff is the delay after the first failed epoch; it grows
	// linearly with the number of consecutive failures.
	RetryBackoff time.Duration
	// ClaimDelay is how long a slot is left to other fabric domains if forming
	// the group here would use up spares, or if the domain that yielded the
	// slot may recover.
	ClaimDelay time.Duration
	// LossRate is the expected number of losses per VM and day.
	LossRate float64
	// Replacement is the time that the platform takes to replace a lost VM.
	Replacement time.Duration
	// Risk is the probability, in (0, 1), that the spares of a domain run out
	// before lost VMs are replaced; see SpareCount. With zero, only the
	// document sets the number of spares.
	Risk float64
}

// View is the input of Plan: what a controller knows of its fabric domain and
// of all groups.
type View struct {
	Now          time.Time
	FabricDomain string
	// Term is the fencing number of the domain's lease.
	Term uint64
	// Revision is the revision of the document that Models is from. While it
	// is zero, no document is known and Plan returns nothing.
	Revision uint64
	Models   []document.Model
	// Groups holds the groups of all fabric domains by ID.
	Groups map[string]Versioned[Row]
	// VMs holds the rows of the domain's VMs by ID.
	VMs map[string]Versioned[VMRow]
	// Rollouts holds the rollout rows by model. They must be read before Groups;
	// see Rollout.
	Rollouts map[string]Versioned[Rollout]
	// Listed holds the platform's list of the domain's VMs by ID; nil when the
	// list is not known.
	Listed map[string]fleet.VM
	// Reports holds the last report of each of the domain's VMs by ID.
	Reports map[string]fleet.Report
	// Timers is kept by the caller between calls of Plan.
	Timers *StateTimers
}

// Step is the kind of a transaction, for logs and tests.
type Step string

// Kinds of transactions.
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

// Transaction is applied atomically, on condition that all its rows are at
// their versions and that the term of the lease has not changed.
type Transaction struct {
	Step Step
	// Group is nil when no group row is written.
	Group *Versioned[Row]
	VMs   []VMWrite
	// Rollout is nil unless a rollout drains a serving group.
	Rollout *Versioned[Rollout]
}

// MemberOrder is an order for one VM.
type MemberOrder struct {
	Member string
	Order  fleet.Order
}

// Commands is the result of Plan. No row occurs in two transactions, and no
// order depends on any of the transactions.
type Commands struct {
	Transactions []Transaction
	Orders       []MemberOrder
}
