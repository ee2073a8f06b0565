package group

import (
	"slices"
	"time"

	"almondbay.example/core/document"
)

// step plans the next transaction of one of the domain's groups.
func (p *planner) step(g Versioned[Row]) {
	switch g.Value.State {
	case StateForming, StateLoading:
		p.stepLoading(g)
	case StateServing:
		p.stepServing(g)
	case StateDraining:
		p.stepDraining(g)
	case StateDissolving:
		p.stepDissolving(g)
	}
}

// modelOf returns the model of a group, and false if the document no longer
// has the model or the slot.
func (p *planner) modelOf(r Row) (document.Model, bool) {
	m, ok := p.models[r.Model]
	return m, ok && r.Slot < m.Groups
}

func (p *planner) stepLoading(g Versioned[Row]) {
	r := g.Value
	m, ok := p.modelOf(r)
	if !ok || m.Span != len(r.Members) {
		p.dissolve(g)
		return
	}
	h := p.health(r)
	to := p.target(r, m)
	switch {
	case len(h.unusable()) > 0:
		p.repair(g, h, to)
	case to.version != r.Version:
		p.advance(StepRetarget, g, r.Members, to)
	case r.Failed:
		p.retry(g, h, to)
	case len(h.failed) > 0 || p.Now.Sub(p.stateSince(r)) > p.policy.LoadTimeout:
		p.fail(g)
	case len(h.ready) == len(r.Members):
		p.serve(g)
	case r.State == StateForming && len(h.ready)+len(h.accepted) == len(r.Members):
		next := r.clone()
		next.State = StateLoading
		p.write(StepLoad, g, next, nil)
	}
}

// serve records that all members are ready, with their boot IDs.
func (p *planner) serve(g Versioned[Row]) {
	next := g.Value.clone()
	next.State = StateServing
	next.Failures = 0
	next.Yielded = false
	for _, m := range next.Members {
		next.Boots[m] = p.Reports[m].Identity.Boot
	}
	p.write(StepServe, g, next, nil)
}

// fail records that the epoch failed to load, so that other controllers see it
// before they drain another group for the same version.
func (p *planner) fail(g Versioned[Row]) {
	next := g.Value.clone()
	next.Failed = true
	next.Failures++
	p.write(StepFail, g, next, nil)
}

// retry starts a new epoch after a failed one. If a single member failed, not
// for the first time, and another group serves the version, that member is
// replaced.
func (p *planner) retry(g Versioned[Row], h health, to target) {
	r := g.Value
	wait := p.policy.RetryBackoff * time.Duration(min(r.Failures, maxBackoffFactor))
	if p.Now.Sub(p.stateSince(r)) < wait {
		return
	}
	if r.Failures > 1 && len(h.failed) == 1 && len(p.idle) > 0 && p.servesVersion(r.Model, r.Version) {
		p.replaceFailed(g, h.failed[0], to)
		return
	}
	p.advance(StepRetarget, g, r.Members, to)
}

// maxBackoffFactor is the maximum delay between failed epochs, as a multiple
// of RetryBackoff.
const maxBackoffFactor = 8

func (p *planner) replaceFailed(g Versioned[Row], member string, to target) {
	spare, _ := p.takeIdle(1)
	p.advance(StepRepair, g, append(without(g.Value.Members, []string{member}), spare...), to)
	row := p.VMs[member]
	row.Value.Failures++
	row.Value.Term = p.Term
	last := &p.commands.Transactions[len(p.commands.Transactions)-1]
	last.VMs = append(last.VMs, VMWrite{Versioned: row})
}

func (p *planner) stepServing(g Versioned[Row]) {
	r := g.Value
	h := p.health(r)
	m, wanted := p.modelOf(r)
	to := p.target(r, m)
	switch {
	case len(h.lost)+len(h.mismatched)+len(h.failed) > 0 && !wanted:
		p.dissolve(g)
	case len(h.lost)+len(h.mismatched)+len(h.failed) > 0:
		p.repair(g, h, to)
	case !wanted:
		p.drain(g)
	case len(h.leaving) > len(p.idle):
		p.recordShortage(g, h)
	case len(h.leaving) > 0:
		p.idle = p.idle[len(h.leaving):]
		p.drain(g)
	case len(h.unseen) > 0:
		// The member may recover before it times out; change nothing until then.
	case r.Yielded:
		next := r.clone()
		next.Yielded = false
		p.write(StepResume, g, next, nil)
	case m.Span != len(r.Members) || to.version != r.Version:
		p.startRollout(g, m)
	case !slices.Equal(to.adapters, r.Adapters):
		next := r.clone()
		next.Adapters = to.adapters
		p.write(StepAdapt, g, next, nil)
	}
}

// drain stops new requests to a group before a planned change.
func (p *planner) drain(g Versioned[Row]) {
	next := g.Value.clone()
	next.State = StateDraining
	p.write(StepDrain, g, next, nil)
}

func (p *planner) stepDraining(g Versioned[Row]) {
	r := g.Value
	h := p.health(r)
	m, wanted := p.modelOf(r)
	to := p.target(r, m)
	remove := !wanted || m.Span != len(r.Members)
	lost := len(h.lost)+len(h.mismatched)+len(h.failed) > 0
	switch {
	case remove && (lost || p.drained(r)):
		p.dissolve(g)
	case remove:
		// Requests are still in flight.
	case lost:
		p.repair(g, h, to)
	case len(h.leaving) > 0 && len(h.leaving) <= len(p.idle):
		if p.drained(r) {
			p.repair(g, h, to)
		}
	case to.version != r.Version:
		if p.drained(r) {
			p.advance(StepRetarget, g, r.Members, to)
		}
	default:
		next := r.clone()
		next.State = StateServing
		p.write(StepResume, g, next, nil)
	}
}

// drained reports whether the group has no requests in flight, or DrainTimeout
// has passed. Dispatchers may rely on an earlier proof for ProofTTL after the
// row was written, so older reports of an empty queue do not count.
func (p *planner) drained(r Row) bool {
	since := p.stateSince(r)
	if p.Now.Sub(since) > p.policy.DrainTimeout {
		return true
	}
	leader, ok := p.freshReport(r.Members[0])
	return ok && leader.SeenAt.After(since.Add(p.policy.ProofTTL)) &&
		leader.Load.Running == 0 && leader.Load.Waiting == 0
}

// dissolve starts to release the members.
func (p *planner) dissolve(g Versioned[Row]) {
	next := g.Value.clone()
	next.State = StateDissolving
	next.Boots = nil
	next.Yielded = false
	p.releasing = true
	p.write(StepDissolve, g, next, nil)
}

// stepDissolving releases the group once every member has confirmed its
// release or can't be reached. An unreachable VM stays assigned by its own
// row.
func (p *planner) stepDissolving(g Versioned[Row]) {
	r := g.Value
	p.releasing = true
	for _, m := range r.Members {
		row := p.VMs[m].Value
		bound := row.Group == r.ID && row.Epoch == r.Epoch
		_, fresh := p.freshReport(m)
		if bound && (fresh || !p.timedOut(m, r)) && !p.delisted(m) {
			return
		}
	}
	next := r.clone()
	next.State = StateReleased
	next.Members = nil
	next.Boots = nil
	p.write(StepRelease, g, next, nil)
}
