package group

import (
	"slices"

	"almondbay.example/core/fleet"
)

// health sorts the members of a group by what is known of them.
type health struct {
	// ready members answer with the group's epoch and are ready; with the boot
	// ID of the row if the row has one.
	ready []string
	// accepted members answer with the group's epoch and are not ready yet.
	accepted []string
	// failed members answer with the group's epoch and that loading has failed.
	failed []string
	// strayed members answer with another identity than the row's.
	strayed []string
	// unseen members have not answered for a short while.
	unseen []string
	// leaving members have been told to stop.
	leaving []string
	// lost members have not answered for long or are no longer listed.
	lost []string
}

// unusable returns the members that have to be replaced.
func (h health) unusable() []string {
	return slices.Concat(h.lost, h.leaving)
}

// answering returns the number of members that answer and stay.
func (h health) answering() int {
	return len(h.ready) + len(h.accepted) + len(h.failed) + len(h.strayed)
}

func (p *planner) health(r Row) health {
	var h health
	since := p.stateSince(r)
	for _, m := range r.Members {
		report, ok := p.fresh(m)
		switch {
		case p.gone(m):
			h.lost = append(h.lost, m)
		case !ok && p.silent(m, r):
			h.lost = append(h.lost, m)
		case !ok:
			h.unseen = append(h.unseen, m)
		case report.Leaving || p.Listed[m].State == fleet.VMLeaving:
			h.leaving = append(h.leaving, m)
		case r.accepted(m, report):
			h.sort(r, m, report)
		case report.SeenAt.After(since):
			h.strayed = append(h.strayed, m)
		default:
			// The answer is older than the row.
			h.unseen = append(h.unseen, m)
		}
	}
	return h
}

// sort enters a member that answers with the group's epoch.
func (h *health) sort(r Row, m string, report fleet.Report) {
	boot, known := r.Boots[m]
	switch {
	case known && boot != report.Identity.Boot:
		h.strayed = append(h.strayed, m)
	case report.Phase == fleet.PhaseReady:
		h.ready = append(h.ready, m)
	case report.Phase == fleet.PhaseFailed:
		h.failed = append(h.failed, m)
	case known:
		h.strayed = append(h.strayed, m)
	default:
		h.accepted = append(h.accepted, m)
	}
}

// silent reports whether a member without a fresh answer counts as lost.
func (p *planner) silent(m string, r Row) bool {
	last := p.stateSince(r)
	if report, ok := p.Reports[m]; ok && report.SeenAt.After(last) {
		last = report.SeenAt
	}
	return p.Now.Sub(last) > p.policy.MemberTimeout
}
