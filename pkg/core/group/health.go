package group

import (
	"slices"

	"almondbay.example/core/fleet"
)

// health classifies the members of a group by their reports.
type health struct {
	// ready members report the identity in the row and PhaseReady; the boot ID
	// must match if the row records one.
	ready []string
	// accepted members report the identity in the row but are not ready yet.
	accepted []string
	// failed members report the identity in the row and a failed load.
	failed []string
	// mismatched members report an identity other than that in the row.
	mismatched []string
	// unseen members have no usable report but have not timed out.
	unseen []string
	// leaving members are shutting down or were asked to by the platform.
	leaving []string
	// lost members timed out or are no longer listed by the platform.
	lost []string
}

// unusable returns the members that must be replaced.
func (h health) unusable() []string {
	return slices.Concat(h.lost, h.leaving)
}

// answering returns the number of members that report and are not leaving.
func (h health) answering() int {
	return len(h.ready) + len(h.accepted) + len(h.failed) + len(h.mismatched)
}

func (p *planner) health(r Row) health {
	var h health
	since := p.stateSince(r)
	for _, m := range r.Members {
		report, ok := p.freshReport(m)
		switch {
		case p.delisted(m):
			h.lost = append(h.lost, m)
		case !ok && p.timedOut(m, r):
			h.lost = append(h.lost, m)
		case !ok:
			h.unseen = append(h.unseen, m)
		case report.Leaving || p.Listed[m].State == fleet.VMLeaving:
			h.leaving = append(h.leaving, m)
		case r.matchesIdentity(m, report):
			h.classify(r, m, report)
		case report.SeenAt.After(since):
			h.mismatched = append(h.mismatched, m)
		default:
			// The report predates the row, so it says nothing about this epoch.
			h.unseen = append(h.unseen, m)
		}
	}
	return h
}

// classify adds a member that reports the identity in the row.
func (h *health) classify(r Row, m string, report fleet.Report) {
	boot, known := r.Boots[m]
	switch {
	case known && boot != report.Identity.Boot:
		h.mismatched = append(h.mismatched, m)
	case report.Phase == fleet.PhaseReady:
		h.ready = append(h.ready, m)
	case report.Phase == fleet.PhaseFailed:
		h.failed = append(h.failed, m)
	case known:
		h.mismatched = append(h.mismatched, m)
	default:
		h.accepted = append(h.accepted, m)
	}
}

// timedOut reports whether a member without a fresh report counts as lost.
func (p *planner) timedOut(m string, r Row) bool {
	last := p.stateSince(r)
	if report, ok := p.Reports[m]; ok && report.SeenAt.After(last) {
		last = report.SeenAt
	}
	return p.Now.Sub(last) > p.policy.MemberTimeout
}
