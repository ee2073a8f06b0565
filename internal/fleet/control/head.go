package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"almondbay.example/internal/fleet/formation"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/serving/event"
)

// headProbe is what the probes of one head without a registration, or whose registration
// says that it has left its group, have shown in the current term. It answers whether the
// head can no longer have work, which must be known before its members join another group.
//
// A head that leaves stops listening first and finishes its requests then, so that a
// refused connection proves only that it accepts nothing new; silence and a lapsed
// registration prove less. What proves that it has no work is its own reply, another
// incarnation, or the time since it accepted nothing new. For a silent one, it is the time
// since it was last heard of, or since a member left its group, which breaks by that.
// spec/head.pml is a model of this.
type headProbe struct {
	// since is when the head was first considered for a probe.
	since time.Time
	// heardAt is when it may last have renewed its registration; since, if that isn't
	// known.
	heardAt time.Time
	// probedAt is when the last probe ended.
	probedAt time.Time
	// reachedAt is when the head last replied; zero if it never did.
	reachedAt time.Time
	// unreachableSince and unreachableAt are when the first and the last of the latest
	// probes ended which showed that the head accepts nothing new or is silent; zero if it
	// has replied since.
	unreachableSince, unreachableAt time.Time
	// witnesses is the number of failures to reach the head in these probes, each by a node
	// that reached another server of its failure domain.
	witnesses int
	// refusedSince is when the first of these probes ended in which its address refused a
	// connection; zero if none did. A head that was silent until then may have been cut
	// off and may have served.
	refusedSince time.Time
	// registered is set if the head has a registration, which says that it has left. The
	// store may have written it late.
	registered bool
	// epoch is that of the group, and memberLeftAt when one of its members obeyed an order to
	// leave it; zero if none did. Whatever nodes can reach, the group then stands still and
	// breaks.
	epoch        uint64
	memberLeftAt time.Time
	// left is set once the head itself has shown that it doesn't serve the group.
	left bool
	// probing is set while a probe is in progress.
	probing bool
}

const (
	// probeInterval is the minimum time between two probes of a head without a
	// registration.
	probeInterval = 700 * time.Millisecond
	// departedProbeInterval is that of a head whose registration says that it has left.
	// Replies lag by some hundred milliseconds, its members wait, and it is one query.
	departedProbeInterval = 200 * time.Millisecond
	// maxProbeGap is the longest time between two probes that still show that the head
	// was unreachable in between.
	maxProbeGap = 3 * time.Second
	// maxHeadWork is how long a head that accepts nothing new may still have work.
	maxHeadWork = 10 * time.Second
	// headWorkMargin covers a timer of the head that fires late.
	headWorkMargin = 500 * time.Millisecond
	// minWitnesses is the number of failures to reach a head, of one or several nodes, after
	// which its group is broken. Fewer may be due to lost packets.
	minWitnesses = 4
)

// record adds the result of a probe that ended at a time. The head has left if its replies
// show that, or if it has obeyed an order to. How many nodes there are doesn't matter: any
// that could have reached the head and didn't is a proof for that moment, unless another
// one got a reaction.
func (p *headProbe) record(r ProbeResult, left bool, now time.Time) {
	p.probing = false
	p.probedAt = now
	p.left = left
	switch {
	case len(r.Replies) > 0:
		p.reachedAt = now
		p.unreachableSince, p.unreachableAt, p.refusedSince = time.Time{}, time.Time{}, time.Time{}
	case r.Unclear == 0 && r.Refused+r.Witnesses > 0:
		if p.unreachableSince.IsZero() || now.Sub(p.unreachableAt) > maxProbeGap {
			p.unreachableSince, p.refusedSince, p.witnesses = now, time.Time{}, 0
		}
		if r.Refused > 0 && p.refusedSince.IsZero() {
			p.refusedSince = now
		}
		p.witnesses += r.Witnesses
		p.unreachableAt = now
	}
}

// stopped reports whether the head can no longer have work.
func (p *headProbe) stopped(c Config) bool {
	last := p.since
	if p.reachedAt.After(last) {
		last = p.reachedAt
	}
	broken := !p.memberLeftAt.IsZero() && c.Clock.Since(p.memberLeftAt) >= c.GroupStall+headWorkMargin
	return p.left || broken || p.unreachableFor() >= maxHeadWork+headWorkMargin || p.probedAt.Sub(last) >= c.UnreachableTimeout
}

// silent reports whether the head gave no sign of life since its registration lapsed.
func (p *headProbe) silent() bool {
	return !p.unreachableAt.IsZero() && p.refusedSince.IsZero() && p.reachedAt.IsZero() && p.unreachableSince.Sub(p.since) <= maxProbeGap
}

// unreachableFor returns how long the head is known to have accepted nothing new, or to
// have been silent.
func (p *headProbe) unreachableFor() time.Duration {
	switch {
	case !p.refusedSince.IsZero():
		return p.unreachableAt.Sub(p.refusedSince)
	case p.silent():
		return p.unreachableAt.Sub(p.heardAt)
	default:
		return p.unreachableAt.Sub(p.unreachableSince)
	}
}

// probeOf returns what probes have shown of a head and its group; nil if none did. What
// they showed before the registration was last there doesn't count. The caller must hold mu.
func (d *domain) probeOf(r registry.Record) *headProbe {
	p, ok := d.probes[r.ID]
	if !ok || p.since.Before(r.MissingSince) || p.epoch != r.Group.Epoch {
		return nil
	}
	return p
}

// headStopped reports whether a head that was probed is known not to have work of its group.
func (d *domain) headStopped(r registry.Record) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	p := d.probeOf(r)
	return p != nil && p.stopped(d.config)
}

// headSilent reports whether a head without a registration is silent, and a member is to
// leave its group.
func (d *domain) headSilent(r registry.Record) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	p := d.probeOf(r)
	return p != nil && d.config.GroupStall > 0 && p.memberLeftAt.IsZero() && p.silent() && p.witnesses >= minWitnesses
}

// recordMemberLeft records that a member obeyed an order to leave the group of a head.
func (d *domain) recordMemberLeft(head string, epoch uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if p, ok := d.probes[head]; ok && p.epoch == epoch {
		p.memberLeftAt = d.config.Clock.Now()
	}
}

// clearProbes discards what probes showed in an earlier term: other nodes may have reached
// the heads since.
func (d *domain) clearProbes() {
	d.mu.Lock()
	defer d.mu.Unlock()

	clear(d.probes)
}

// probeHeads probes the heads that may have left their groups, and orders those without a
// registration that still serve to leave. It doesn't wait for the replies.
func (d *domain) probeHeads(ctx context.Context, decision formation.Decision, now time.Time) {
	listed := map[string]bool{}
	start := func(heads []registry.Record, registered bool) {
		for _, r := range heads {
			listed[r.ID] = true
			if p := d.startProbe(r, registered, now); p != nil {
				term := d.term
				d.tasks.Go(func() error {
					d.probeHead(ctx, r.Server, p, term)
					return nil
				})
			}
		}
	}
	start(decision.UnregisteredHeads, false)
	start(decision.DepartedHeads, true)
	d.mu.Lock()
	defer d.mu.Unlock()

	for id, p := range d.probes {
		if !listed[id] && !p.probing && now.Sub(p.probedAt) > leaseDuration {
			delete(d.probes, id)
		}
	}
}

// startProbe marks a head that is due for a probe as being probed. It returns nil if the
// head isn't due.
func (d *domain) startProbe(r registry.Record, registered bool, now time.Time) *headProbe {
	d.mu.Lock()
	defer d.mu.Unlock()

	p := d.probeOf(r)
	if p == nil || p.registered != registered {
		p = &headProbe{since: now, heardAt: now, epoch: r.Group.Epoch, registered: registered}
		if !r.HeardAt.IsZero() {
			p.heardAt = r.HeardAt
		}
		d.probes[r.ID] = p
	}
	interval := probeInterval
	if registered {
		interval = departedProbeInterval
	}
	if p.probing || now.Sub(p.probedAt) < interval {
		return nil
	}
	p.probing = true
	return p
}

// probeHead probes one head. It orders a head without a registration to leave its group if
// it still serves; one with a registration finishes its requests first, as soon as its next
// report is there.
func (d *domain) probeHead(ctx context.Context, s registry.Server, p *headProbe, term uint64) {
	result := d.queryHead(ctx, s, p.registered)
	now := d.config.Clock.Now()
	left := len(result.Replies) > 0
	for _, state := range result.Replies {
		if serves(s, state) && (!p.registered || state.Group.State != registry.StateJoining) {
			left = false
			d.setOrderCount(s, state.Accepted, true)
		}
	}
	if len(result.Replies) > 0 && !left && !p.registered {
		left = d.sendOrder(ctx, formation.Order{
			Server: s, Operation: formation.OperationLeave, Group: s.Group.Name, Epoch: s.Group.Epoch,
			Model: s.Model, Reason: "registration gone, head still serves",
		}, term)
	}
	d.mu.Lock()
	defer d.mu.Unlock()

	p.record(result, left, now)
	event.HeadProbed.Log(d.config.Logger, zap.String("server", s.ID), zap.String("group", s.Group.Name), zap.Bool("registered", p.registered), zap.Int("asked", result.Probed),
		zap.Bool("reached", len(result.Replies) > 0), zap.Int("refused", result.Refused), zap.Int("unclear", result.Unclear),
		zap.Int("witnesses", result.Witnesses), zap.Bool("left", left),
		zap.Duration("missingFor", now.Sub(p.since)), zap.Duration("unreachableFor", p.unreachableFor()),
		zap.Bool("stopped", p.stopped(d.config)))
}

// queryHead queries the state of a head, first from this node alone if it is registered and
// thus likely to reply.
func (d *domain) queryHead(ctx context.Context, s registry.Server, registered bool) ProbeResult {
	if registered {
		queryCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		state, err := d.config.Orders.QueryState(queryCtx, s)
		cancel()
		if err == nil {
			return ProbeResult{Probed: 1, Replies: []State{state}}
		}
	}
	probeCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return d.config.ProbeHead(probeCtx, s)
}

// serves reports whether a reply leaves open that a head is still in its group. A reply
// that doesn't name the incarnation shows nothing if the head did.
func serves(s registry.Server, state State) bool {
	if state.Incarnation != 0 && s.Incarnation != 0 && state.Incarnation != s.Incarnation {
		return false
	}
	if state.Incarnation == 0 && s.Incarnation != 0 {
		return true
	}
	return state.Group.Name == s.Group.Name && state.Group.Epoch == s.Group.Epoch && state.Group.State != registry.StateBroken
}
