package caller

import (
	"context"
	"slices"
	"time"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/view"
)

// Query describes the request that a replica group is wanted for.
type Query struct {
	Workspace string
	Model     string
	// Kind is the path that the request came in by.
	Kind string
	// PromptTokens is an estimate of the length of the prompt.
	PromptTokens int
	// MaxTokens is the caller's bound on the answer; zero when it has none.
	MaxTokens int
	// Prefix is a hash of the part of the prompt that other requests share;
	// zero when there is none.
	Prefix   uint64
	Priority Priority
	// Deadline is when the answer is due.
	Deadline time.Time
	// Avoid lists replica groups that must not be picked.
	Avoid []string
	// AvoidSites lists fabric domains that are picked only if no other has a
	// group.
	AvoidSites []string
	// Version is the only version that may be picked; empty allows any.
	Version string
}

// Choice is the replica group that an attempt is sent to.
type Choice struct {
	Group   string
	Address string
	// Expected is the identity that the answer's head must carry.
	Expected fleet.Identity
	// Site is what crashes of the group may have in common with others: its
	// fabric domain, unless the model has groups in one only.
	Site string
	// Members lists the VMs of all members, the leader first.
	Members []fleet.VM
	// Boots holds the boot ID of each member, by its ID.
	Boots map[string]string
	// Long is set when the request is predicted to run long; the engine may put
	// it behind others.
	Long bool
	// Slot must be released once, when the attempt has ended.
	Slot Slot
}

// Slot is the place that an attempt takes up.
type Slot interface {
	// Progress notes the tokens of the answer received so far.
	Progress(tokens int)
	// Finish notes that the answer is complete. Release follows it.
	Finish(tokens int)
	// Release gives the place back.
	Release()
}

// Picker chooses the replica group for each attempt.
type Picker interface {
	// Pick waits until a replica group can take the request. It returns an
	// UnavailableError when none will in time.
	Pick(ctx context.Context, q Query) (Choice, error)
}

// ChoiceOf returns the choice of a target.
func ChoiceOf(t view.Target, site string, s Slot) Choice {
	return Choice{
		Group:    t.Group.ID,
		Address:  t.Address,
		Expected: t.Leader,
		Site:     site,
		Members:  t.Members,
		Boots:    t.Group.Boots,
		Slot:     s,
	}
}

// Allowed returns the targets that a query allows. Those at sites to avoid are
// left out if others remain.
func Allowed(targets []view.Target, q Query) []view.Target {
	var allowed, preferred []view.Target
	for _, t := range targets {
		if slices.Contains(q.Avoid, t.Group.ID) {
			continue
		}
		if q.Version != "" && q.Version != t.Group.Version {
			continue
		}
		allowed = append(allowed, t)
		if !slices.Contains(q.AvoidSites, Site(targets, t)) {
			preferred = append(preferred, t)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return allowed
}

// Site returns what crashes of a target may have in common with crashes of the
// other targets of its model.
func Site(targets []view.Target, t view.Target) string {
	for _, o := range targets {
		if o.FabricDomain != t.FabricDomain {
			return t.FabricDomain
		}
	}
	if len(targets) > 1 {
		return t.Group.ID
	}
	return t.Group.ID + "@" + t.Leader.Boot
}
