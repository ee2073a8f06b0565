// Package balance decides which head a request goes to, and when it is better
// refused. It does no I/O and reads no clock.
//
// Each service and model has a pool with a lock of its own. A pool knows the
// requests that this node has in flight, what the other nodes last said of
// theirs, and how each head has answered lately.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"almondbay.example/internal/fleet/registry"
)

// Policy holds the figures that a pool decides by.
type Policy struct {
	// FailureDomain is the failure domain of this node.
	FailureDomain string
	// RemotePenalty is how much fuller, in parts of its slots, a head of the own
	// failure domain may be before one elsewhere is preferred.
	RemotePenalty float64
	// QueueShare is the part of a request's objective that it may be expected to
	// wait at a head.
	QueueShare float64
	// SuspendFirst is how long a head is passed over after its first failure;
	// it doubles with each failure in a row up to SuspendMax.
	SuspendFirst time.Duration
	SuspendMax   time.Duration
	// FullFor is how long a head that refused for want of room counts as full.
	FullFor time.Duration
	// StalledFor is how long another node's word that a head stands still counts.
	StalledFor time.Duration
	// InitialServiceTime is the duration of a request that is assumed before any was
	// measured.
	InitialServiceTime time.Duration
}

// Key names a pool.
type Key struct {
	Service string
	// Model is empty for plain services.
	Model string
}

// head is what a pool knows of one head.
type head struct {
	registry.Head
	// own is the number of requests of this node in flight.
	own int
	// others is the number of requests in flight that other nodes told of.
	others int
	// failures counts the failures in a row.
	failures       int
	suspendedUntil time.Time
	fullUntil      time.Time
	// stalledUntil is by this node's own streams, toldStalledUntil by the word
	// of other nodes.
	stalledUntil     time.Time
	toldStalledUntil time.Time
	// movedAt is when an answer of the head last moved at this node, progressAt
	// at any node of the failure domain.
	movedAt    time.Time
	progressAt time.Time
	// errorRate is the recent share of answers that failed, in [0, 1].
	errorRate float64
}

// Pool chooses among the heads of one service and model.
type Pool struct {
	key    Key
	policy Policy

	mu    sync.Mutex
	heads map[string]*head
	// service is the moving mean of the duration of a request.
	service time.Duration
	// first is the moving mean of the time to the first byte of requests that
	// found a free slot.
	first time.Duration
	// refused is the number of requests refused since it was last taken.
	refused int
}

func newPool(key Key, policy Policy) *Pool {
	return &Pool{key: key, policy: policy, heads: map[string]*head{}, service: policy.InitialServiceTime}
}

// setHeads replaces the heads. A head keeps its state as long as it is the same
// life of the same server in the same group.
func (p *Pool) setHeads(heads []registry.Head) {
	p.mu.Lock()
	defer p.mu.Unlock()

	next := make(map[string]*head, len(heads))
	for _, h := range heads {
		old, ok := p.heads[h.ID]
		switch {
		case ok && old.Born == h.Born && old.Epoch == h.Epoch && old.Address == h.Address:
			old.Head = h
			next[h.ID] = old
		case ok:
			next[h.ID] = &head{Head: h, own: old.own}
		default:
			next[h.ID] = &head{Head: h}
		}
	}
	p.heads = next
}

// setOthers sets what other nodes have in flight.
func (p *Pool) setOthers(loads map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for id, h := range p.heads {
		h.others = loads[id]
	}
}

// Request is what the choice depends on.
type Request struct {
	// Objective is the time to the first byte that the caller hopes for.
	Objective time.Duration
	// Late requests can't meet their objective any more.
	Late bool
	// Failed requests have run in vain at another head.
	Failed bool
	// Exclude names servers that the request must not go to again.
	Exclude []string
}

// Choice is the outcome of Choose.
type Choice struct {
	Head registry.Head
	// OK is false when the request is better refused.
	OK bool
	// Known is the number of heads, Usable the number that could be asked.
	Known, Usable int
	// InFlight is the number of requests believed to be at the head, or at the
	// least full one when refused.
	InFlight int
	// RetryAfter is set when refused: the time until there should be room.
	RetryAfter time.Duration
}

// Choose picks a head and counts the request as in flight there until Done.
func (p *Pool) Choose(r Request, now time.Time) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()

	c := Choice{Known: len(p.heads)}
	var best *head
	bestScore := math.Inf(1)
	var soonest time.Time
	for _, h := range p.heads {
		if slices.Contains(r.Exclude, h.ID) {
			continue
		}
		if until := h.blockedUntil(); now.Before(until) {
			if soonest.IsZero() || until.Before(soonest) {
				soonest = until
			}
			continue
		}
		c.Usable++
		score := p.score(h)
		if score < bestScore {
			best, bestScore = h, score
		}
	}
	if best == nil {
		p.refused++
		c.RetryAfter = p.untilUnblocked(soonest, now)
		return c
	}
	c.InFlight = best.own + best.others
	if c.InFlight >= best.Slots+p.queueAllowance(best, r) {
		c.RetryAfter = p.untilRoom()
		p.refused++
		return c
	}
	best.own++
	c.Head = best.Head
	c.OK = true
	return c
}

// blockedUntil returns until when a head is passed over.
func (h *head) blockedUntil() time.Time {
	until := h.suspendedUntil
	for _, t := range []time.Time{h.fullUntil, h.stalledUntil, h.toldStalledUntil} {
		if t.After(until) {
			until = t
		}
	}
	return until
}

// score orders heads; the lowest is chosen. A small random part spreads the
// choices of nodes that know the same.
func (p *Pool) score(h *head) float64 {
	slots := float64(max(1, h.Slots))
	score := float64(h.own+h.others)/slots + rand.Float64()/slots
	if h.FailureDomain != p.policy.FailureDomain {
		score += p.policy.RemotePenalty
	}
	return score + h.errorRate
}

// queueAllowance is the number of requests that may wait at a head so that r
// is still likely to meet its objective. Those that can't meet theirs any more
// take free slots only; those that a backend server has failed may wait longer,
// since no answer is worth less than a late one.
func (p *Pool) queueAllowance(h *head, r Request) int {
	switch {
	case r.Failed:
		return h.Slots / failedShare
	case r.Late:
		return h.Slots / patientShare
	}
	wait := float64(max(0, r.Objective-p.first)) * p.policy.QueueShare
	return int(math.Round(wait / float64(max(p.service, time.Millisecond)) * float64(h.Slots)))
}

// patientShare is the part of its slots, one in so many, that a head may have
// waiting when it takes a request that can't meet its objective. Such requests
// wait behind all others there.
const patientShare = 6

// failedShare is the part of its slots, one in so many, that a head may have
// waiting when it takes over a request that failed elsewhere.
const failedShare = 3

// untilRoom estimates when there is room for one more request: when those that
// run now have ended. It is spread so that callers don't come back at once.
func (p *Pool) untilRoom() time.Duration {
	spread := 0.8 + 0.8*rand.Float64()
	return max(time.Duration(float64(p.service)*spread), minRetryAfter)
}

// minRetryAfter keeps refused callers from coming back before anything can have
// changed.
const minRetryAfter = 200 * time.Millisecond

// noHeadRetryAfter is when a caller may come back while there is no head: the
// time in which a group is joined from staged weights and opened.
const noHeadRetryAfter = 1500 * time.Millisecond

func (p *Pool) untilUnblocked(soonest, now time.Time) time.Duration {
	if soonest.IsZero() {
		return noHeadRetryAfter
	}
	return min(max(soonest.Sub(now), minRetryAfter), noHeadRetryAfter)
}

// Done ends a request at a head.
func (p *Pool) Done(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if h, ok := p.heads[id]; ok && h.own > 0 {
		h.own--
	}
}

// errorWeight is the weight of one answer in the moving error rate.
const errorWeight = 0.1

// RecordSuccess notes a good answer and how long it took from its sending.
func (p *Pool) RecordSuccess(id string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.service += (took - p.service) / serviceWindow
	if h, ok := p.heads[id]; ok {
		h.failures = 0
		h.errorRate -= h.errorRate * errorWeight
	}
}

// serviceWindow is the number of answers over which durations are averaged.
const serviceWindow = 32

// RecordFirstByte notes the time to the first byte of a request that found so many others
// in flight.
func (p *Pool) RecordFirstByte(id string, inFlight int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	h, ok := p.heads[id]
	if !ok || inFlight >= h.Slots {
		return
	}
	if p.first == 0 {
		p.first = took
	}
	p.first += (took - p.first) / serviceWindow
}

// Demand returns the slots that are in use or were asked for in vain since the
// last call, which was so long ago.
func (p *Pool) Demand(elapsed time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	demand := 0.0
	for _, h := range p.heads {
		demand += float64(h.own)
	}
	if elapsed > 0 {
		demand += float64(p.refused) * float64(p.service) / float64(elapsed)
	}
	p.refused = 0
	return demand
}

// RecordProgress notes that an answer of the head made progress.
func (p *Pool) RecordProgress(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if h, ok := p.heads[id]; ok {
		h.movedAt = now
		h.progressAt = now
		h.failures = 0
		h.suspendedUntil = time.Time{}
		h.stalledUntil = time.Time{}
		h.toldStalledUntil = time.Time{}
	}
}

// SinceProgress reports for how long no answer of the head has moved; it counts from
// since at the earliest.
func (p *Pool) SinceProgress(id string, since, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	if h, ok := p.heads[id]; ok && h.progressAt.After(since) {
		since = h.progressAt
	}
	return now.Sub(since)
}

// RecordFailure notes that a head could not be reached or broke off.
func (p *Pool) RecordFailure(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	h, ok := p.heads[id]
	if !ok {
		return
	}
	wait := p.policy.SuspendFirst << min(h.failures, maxDoublings)
	h.failures++
	h.suspendedUntil = now.Add(min(wait, p.policy.SuspendMax))
	h.errorRate += (1 - h.errorRate) * errorWeight
}

// maxDoublings keeps the shift in RecordFailure from overflowing.
const maxDoublings = 8

// RecordError notes an answer that failed though the head is up.
func (p *Pool) RecordError(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if h, ok := p.heads[id]; ok {
		h.errorRate += (1 - h.errorRate) * errorWeight
	}
}

// RecordFull notes that a head refused for want of room.
func (p *Pool) RecordFull(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if h, ok := p.heads[id]; ok {
		h.fullUntil = now.Add(p.policy.FullFor)
	}
}

// RecordStall notes that this node saw a head stand still.
func (p *Pool) RecordStall(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if h, ok := p.heads[id]; ok {
		h.stalledUntil = now.Add(p.policy.StalledFor)
	}
}

// toldMoved notes that another node saw the head's answers move.
func (p *Pool) toldMoved(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if h, ok := p.heads[id]; ok {
		h.progressAt = now
		h.stalledUntil = time.Time{}
		h.toldStalledUntil = time.Time{}
	}
}

// toldStalled notes that another node saw a head stand still. It counts only
// while the head's answers don't move here.
func (p *Pool) toldStalled(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if h, ok := p.heads[id]; ok && now.Sub(h.progressAt) > p.policy.StalledFor {
		h.toldStalledUntil = now.Add(p.policy.StalledFor)
	}
}

// snapshot adds this node's loads, the heads that it saw move since a time, and
// those that it saw stand still.
func (p *Pool) snapshot(r *Report, since, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for id, h := range p.heads {
		if h.own > 0 {
			r.Loads[id] = h.own
		}
		if h.movedAt.After(since) {
			r.Progressed = append(r.Progressed, id)
		}
		if now.Before(h.stalledUntil) {
			r.Stalled = append(r.Stalled, id)
		}
	}
}
