package caller

import (
	"context"
	"slices"
	"time"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/view"
)

// Query describes the request for which a replica group is picked.
type Query struct {
	Workspace string
	Model     string
	// Kind is the path of the request.
	Kind string
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens is the caller's limit on the length of the answer; zero for
	// none.
	MaxTokens int
	// Prefix is a hash of the part of the prompt that is shared with other
	// requests; zero when there is none.
	Prefix   uint64
	Priority Priority
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// Avoid lists replica groups that must not be picked.
	Avoid []string
	// AvoidSites lists crash sites, as returned by Site, that are picked only
	// if no group elsewhere is allowed.
	AvoidSites []string
	// Version is the only version that may be picked; empty allows any.
	Version string
}

// Choice is the replica group to which an attempt is sent.
type Choice struct {
	Group   string
	Address string
	// Expected is the identity that the response headers must carry.
	Expected fleet.Identity
	// Site is the crash site of the group, as returned by Site.
	Site string
	// Members lists the VMs of all members, the leader first.
	Members []fleet.VM
	// Boots maps the ID of each member to its boot ID.
	Boots map[string]string
	// Long is set when the request is predicted to run long; the engine may run
	// other requests first.
	Long bool
	// Slot must be released exactly once, when the attempt has ended.
	Slot Slot
}

// Slot is the capacity reserved for an attempt.
type Slot interface {
	// Progress records the number of tokens of the answer received so far.
	Progress(tokens int)
	// Finish records that the answer is complete. Release must still be called.
	Finish(tokens int)
	// Release releases the capacity.
	Release()
}

// Picker chooses the replica group for each attempt.
type Picker interface {
	// Pick waits until a replica group can accept the request. It returns an
	// UnavailableError when none can in time.
	Pick(ctx context.Context, q Query) (Choice, error)
}

// ChoiceOf returns a Choice for the target.
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

// Allowed returns the targets that a query permits. It omits those at sites to
// avoid, unless no others remain.
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

// Site returns the crash site of a target: what a crash of it may have in
// common with crashes of other targets of its model. This is the fabric domain
// if the targets span several, else the group if there are several, else the
// boot of the leader.
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
