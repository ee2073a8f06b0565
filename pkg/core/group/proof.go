package group

import (
	"fmt"
	"time"

	"almondbay.example/core/fleet"
)

// Reason is the cause of an UnprovenError.
type Reason string

// Reasons of an UnprovenError.
const (
	ReasonState    Reason = "state"
	ReasonUnseen   Reason = "unseen"
	ReasonIdentity Reason = "identity"
	ReasonBoot     Reason = "boot"
	ReasonPhase    Reason = "phase"
	ReasonLeaving  Reason = "leaving"
)

// UnprovenError reports that requests must not be dispatched to a group,
// because its state or a member was not verified.
type UnprovenError struct {
	Group  string
	Reason Reason
	// Member is empty when Reason is ReasonState.
	Member string
}

func (e *UnprovenError) Error() string {
	return fmt.Sprintf("group: %s is not proven: %s %s", e.Group, e.Reason, e.Member)
}

// Prove returns nil if, within the last ttl, every member of the group
// reported the group, epoch and version in the row, and the boot ID that it
// had when the group started to serve. Requests may be dispatched to the group
// only then. Otherwise it returns an UnprovenError.
//
// Report.SeenAt must not be later than the time when the report was received.
// A caller that needs a stricter bound sets SeenAt to the time when the probe
// was sent.
func Prove(r Row, report func(member string) (fleet.Report, bool), now time.Time, ttl time.Duration) error {
	if r.State != StateServing || len(r.Members) == 0 {
		return &UnprovenError{Group: r.ID, Reason: ReasonState}
	}
	for _, m := range r.Members {
		answer, ok := report(m)
		if !ok || now.Sub(answer.SeenAt) > ttl {
			return &UnprovenError{Group: r.ID, Reason: ReasonUnseen, Member: m}
		}
		if reason := r.mismatch(m, answer); reason != "" {
			return &UnprovenError{Group: r.ID, Reason: reason, Member: m}
		}
	}
	return nil
}

// mismatch returns how a member's report differs from a serving group's row,
// or an empty Reason if it matches.
func (r Row) mismatch(member string, report fleet.Report) Reason {
	switch {
	case !r.matchesIdentity(member, report):
		return ReasonIdentity
	case report.Identity.Boot != r.Boots[member]:
		return ReasonBoot
	case report.Phase != fleet.PhaseReady:
		return ReasonPhase
	case report.Leaving:
		return ReasonLeaving
	}
	return ""
}

// matchesIdentity reports whether a member's report carries the group, epoch,
// model and version of the row. It ignores the boot ID.
func (r Row) matchesIdentity(member string, report fleet.Report) bool {
	want := fleet.Identity{
		Member:  member,
		Boot:    report.Identity.Boot,
		Group:   r.ID,
		Epoch:   r.Epoch,
		Model:   r.Model,
		Version: r.Version,
	}
	return report.Identity == want
}

// CheckHead returns nil if the identity in the headers of a response is
// that of the leader in the row. On an error, the caller must drop the response before
// forwarding any byte.
func CheckHead(r Row, head fleet.Identity) error {
	if len(r.Members) == 0 {
		return &UnprovenError{Group: r.ID, Reason: ReasonState}
	}
	leader := r.Members[0]
	if !r.matchesIdentity(leader, fleet.Report{Identity: head}) {
		return &UnprovenError{Group: r.ID, Reason: ReasonIdentity, Member: leader}
	}
	if head.Boot != r.Boots[leader] {
		return &UnprovenError{Group: r.ID, Reason: ReasonBoot, Member: leader}
	}
	return nil
}
