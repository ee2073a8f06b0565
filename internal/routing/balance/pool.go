// Package balance selects the head that serves a request, or rejects the request
// when it would have to queue too long. It does no I/O and reads no clock.
//
// A head is a server that accepts requests: a backend server of a plain service,
// or the first member of a replica group. Each service and model has a pool of
// heads with a lock of its own. A pool tracks this node's requests in flight,
// those that other nodes reported, and the recent errors of each head.
package balance

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"almondbay.example/internal/fleet/registry"
)

// Policy holds the parameters of head selection.
type Policy struct {
	// FailureDomain is the failure domain of this node.
	FailureDomain string
	// RemotePenalty is added to the load of heads in other failure domains, in
	// requests: a local head is preferred until its load exceeds that of a remote one
	// by this much.
	RemotePenalty float64
	// QueueShare is the fraction of the time left within a request's objective
	// that the request may be expected to queue at a head.
	QueueShare float64
	// SuspendFirst is how long a head is excluded after its first failure. The
	// time doubles with each consecutive failure, up to SuspendMax.
	SuspendFirst time.Duration
	SuspendMax   time.Duration
	// FullFor is how long a head is excluded after it rejected a request for lack
	// of capacity.
	FullFor time.Duration
	// StalledFor is how long a head is excluded after this or another node found
	// it stalled.
	StalledFor time.Duration
	// Random returns a random number in [0, 1); rand.Float64 if nil.
	Random func() float64
	// MeanDuration is the initial value of the mean request duration, used
	// until requests have been measured.
	MeanDuration time.Duration
}

// Key identifies a pool.
type Key struct {
	Service string
	// Model is empty for plain services.
	Model string
}

// head is the state of one head in a pool.
type head struct {
	registry.Head
	// localInFlight is the number of requests of this node in flight.
	localInFlight int
	// remoteInFlight is the number of requests in flight that other nodes
	// reported.
	remoteInFlight int
	// failures is the number of consecutive failures.
	failures       int
	suspendedUntil time.Time
	fullUntil      time.Time
	// stalledUntil is set from this node's own streams, reportedStalledUntil from
	// the reports of other nodes.
	stalledUntil         time.Time
	reportedStalledUntil time.Time
	// localProgressAt is when the head last sent response data to this node,
	// progressAt when it last did so to this or any reporting node.
	localProgressAt time.Time
	progressAt      time.Time
	// errorRate is the moving average of failed responses, in [0, 1].
	errorRate float64
}

// Pool balances requests over the heads of one service and model.
type Pool struct {
	key    Key
	policy Policy
	// backoffs holds until when servers want no requests, by their own word.
	backoffs *backoffs

	mu    sync.Mutex
	heads map[string]*head
	// ordered holds the heads in the order of their IDs.
	ordered []*head
	// meanDuration is the moving mean of the duration of a request.
	meanDuration time.Duration
	// meanFirstByte is the moving mean of the time to the first byte, over
	// requests that started in a free slot.
	meanFirstByte time.Duration
	// unreported is the number of requests in flight at other nodes, each multiplied
	// by the age in seconds that its report may have.
	unreported float64
	// reportAge is the usual age of the loads that other nodes of this failure domain
	// reported.
	reportAge time.Duration
	// lateShare is the moving mean of the share of responses whose first byte was late,
	// over requests that could still meet their objective when they were sent.
	lateShare float64
	// urgent is the most urgent rank of the recent requests.
	urgent urgentRank
	// candidates is reused between calls of Choose.
	candidates []candidate
	// refused is the number of requests rejected since the last call of Demand.
	refused int
}

func newPool(key Key, policy Policy, b *backoffs) *Pool {
	return &Pool{key: key, policy: policy, backoffs: b, heads: map[string]*head{}, meanDuration: policy.MeanDuration}
}

// setHeads replaces the heads. A head keeps its state unless its server
// restarted, changed its address, or joined another epoch of a group; then only
// this node's requests in flight are kept.
func (p *Pool) setHeads(heads []registry.Head) {
	p.mu.Lock()
	defer p.mu.Unlock()

	next := make(map[string]*head, len(heads))
	for _, h := range heads {
		old, ok := p.heads[h.ID]
		switch {
		case ok && old.Incarnation == h.Incarnation && old.Epoch == h.Epoch && old.Address == h.Address:
			old.Head = h
			next[h.ID] = old
		case ok:
			next[h.ID] = &head{Head: h, localInFlight: old.localInFlight}
		default:
			next[h.ID] = &head{Head: h}
		}
	}
	p.heads = next
	p.ordered = p.ordered[:0]
	for _, id := range slices.Sorted(maps.Keys(next)) {
		p.ordered = append(p.ordered, next[id])
	}
}

// setRemoteLoads sets the requests that other nodes have in flight, by head ID: those
// of this failure domain and those of others.
func (p *Pool) setRemoteLoads(peers, domains map[string]int, age ReportAge) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.unreported = 0
	for id, h := range p.heads {
		h.remoteInFlight = peers[id] + domains[id]
		p.unreported += float64(peers[id])*age.Peer.Seconds() + float64(domains[id])*age.Domain.Seconds()
	}
	p.reportAge = age.Peer
}

// Request holds the properties of a request that head selection depends on.
type Request struct {
	// Rank is the priority of the request; 0 is the most urgent.
	Rank int
	// Objective is the route's target for the time to the first byte.
	Objective time.Duration
	// Late is set when the request can no longer meet its objective.
	Late bool
	// Failed is set when an attempt at another head has failed.
	Failed bool
	// Exclude lists the IDs of heads that must not be selected.
	Exclude []string
}

// Choice is the outcome of Choose.
type Choice struct {
	Head registry.Head
	// OK is false when the request is rejected.
	OK bool
	// Known is the number of heads, Usable the number of those that were neither
	// in Request.Exclude nor suspended, full, stalled or in a pause that they asked
	// for. Paused is the number of the last.
	Known, Usable, Paused int
	// InFlight is the estimated number of requests in flight at the selected
	// head, not counting this one, or at the best candidate when rejected.
	InFlight int
	// Load is the number of requests in flight at the usable heads as a fraction of
	// their slots.
	Load float64
	// RetryAfter is set on rejection: the estimated time until a request can be
	// accepted.
	RetryAfter time.Duration
}

// Choose selects a usable head and counts the request as in flight there until
// Done. It rejects the request when no head is usable, when the queue is too long at
// all of them, or by the load of all heads.
func (p *Pool) Choose(r Request, now time.Time) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.urgent.record(r.Rank, now)
	c := Choice{Known: len(p.heads)}
	var earliest, pauseEnd time.Time
	p.candidates = p.candidates[:0]
	least, inFlight, slots := math.MaxInt, 0, 0
	for _, h := range p.ordered {
		if slices.Contains(r.Exclude, h.ID) {
			continue
		}
		pausedUntil := p.backoffs.of(h.ID)
		if now.Before(pausedUntil) {
			c.Paused++
			pauseEnd = earlier(pauseEnd, pausedUntil)
			continue
		}
		if until := h.blockedUntil(); now.Before(until) {
			earliest = earlier(earliest, until)
			continue
		}
		c.Usable++
		least = min(least, h.inFlight())
		inFlight += h.inFlight()
		slots += h.Slots
		if h.inFlight() < h.Slots+p.queueAllowance(h, r) {
			p.candidates = append(p.candidates, candidate{head: h, load: p.load(h)})
		}
	}
	if c.Usable == 0 {
		p.refused++
		c.RetryAfter = p.blockedRetryAfter(earliest, now)
		if earliest.IsZero() && !pauseEnd.IsZero() {
			c.RetryAfter = p.pauseRetryAfter(pauseEnd, now)
		}
		return c
	}
	c.Load = float64(inFlight) / float64(max(1, slots))
	if len(p.candidates) == 0 || p.policy.Random() < p.rejectedShare(r, c.Load) {
		p.refused++
		c.InFlight = least
		c.RetryAfter = p.fullRetryAfter()
		return c
	}
	best := pick(p.candidates, p.expectedArrivals(), p.policy.Random())
	c.InFlight = best.inFlight()
	best.localInFlight++
	c.Head = best.Head
	c.OK = true
	return c
}

// inFlight returns the estimated number of requests in flight.
func (h *head) inFlight() int {
	return h.localInFlight + h.remoteInFlight
}

// blockedUntil returns the time until which the head is suspended, full or
// stalled.
func (h *head) blockedUntil() time.Time {
	until := h.suspendedUntil
	for _, t := range []time.Time{h.fullUntil, h.stalledUntil, h.reportedStalledUntil} {
		if t.After(until) {
			until = t
		}
	}
	return until
}

// fullRetryAfter returns the retry delay when all heads are full: about one mean
// request duration, after which running requests have freed their slots. It is
// randomized so that rejected callers don't all retry at the same time.
func (p *Pool) fullRetryAfter() time.Duration {
	spread := 0.8 + 0.8*p.policy.Random()
	return max(time.Duration(float64(p.meanDuration)*spread), minRetryAfter)
}

// minRetryAfter keeps rejected callers from retrying before the state of the
// heads can have changed.
const minRetryAfter = 200 * time.Millisecond

// noHeadRetryAfter is the retry delay while there is no head: the time to form
// and open a replica group whose weights are already staged.
const noHeadRetryAfter = 1500 * time.Millisecond

// blockedRetryAfter returns the retry delay when no head is usable. earliest is
// when the first blocked head becomes usable; zero when none is blocked.
func (p *Pool) blockedRetryAfter(earliest, now time.Time) time.Duration {
	if earliest.IsZero() {
		return noHeadRetryAfter
	}
	return min(max(earliest.Sub(now), minRetryAfter), noHeadRetryAfter)
}

// Done removes a request from those in flight at a head.
func (p *Pool) Done(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if h, ok := p.heads[id]; ok && h.localInFlight > 0 {
		h.localInFlight--
	}
}

// errorWeight is the weight of one response in the moving error rate.
const errorWeight = 0.1

// RecordSuccess records a successful response and the duration of its request.
func (p *Pool) RecordSuccess(id string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.meanDuration += (took - p.meanDuration) / meanWindow
	if h, ok := p.heads[id]; ok {
		h.failures = 0
		h.errorRate -= h.errorRate * errorWeight
	}
}

// meanWindow is the number of responses over which the moving means average.
const meanWindow = 32

// FirstByte describes the first byte of a response.
type FirstByte struct {
	// Head is the ID of the head that sent it.
	Head string
	// InFlight is the number of other requests at the head when it was selected.
	InFlight int
	// Took is the time since the request was sent to the head.
	Took time.Duration
	// Objective is the target for that time; zero if the request could not meet its
	// objective any more when it was sent.
	Objective time.Duration
}

// RecordFirstByte records the first byte of a response. For the mean time, it ignores
// requests that had to queue: those sent to a head with no free slot.
func (p *Pool) RecordFirstByte(f FirstByte) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if f.Objective > 0 {
		late := 0.0
		if f.Took > f.Objective {
			late = 1
		}
		p.lateShare += (late - p.lateShare) / lateWindow
	}
	h, ok := p.heads[f.Head]
	if !ok || f.InFlight >= h.Slots {
		return
	}
	if p.meanFirstByte == 0 {
		p.meanFirstByte = f.Took
	}
	p.meanFirstByte += (f.Took - p.meanFirstByte) / meanWindow
}

// Demand returns the demand in slots: this node's requests in flight, plus the
// slots that would have served the requests rejected since the previous call.
// elapsed is the time since that call.
func (p *Pool) Demand(elapsed time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	demand := 0.0
	for _, h := range p.heads {
		demand += float64(h.localInFlight)
	}
	if elapsed > 0 {
		demand += float64(p.refused) * float64(p.meanDuration) / float64(elapsed)
	}
	p.refused = 0
	return demand
}

// RecordProgress records that the head sent response data to this node. It ends
// a suspension or stall of the head.
func (p *Pool) RecordProgress(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if h, ok := p.heads[id]; ok {
		h.localProgressAt = now
		h.progressAt = now
		h.failures = 0
		h.suspendedUntil = time.Time{}
		h.stalledUntil = time.Time{}
		h.reportedStalledUntil = time.Time{}
	}
}

// SinceProgress returns the time since the head last sent response data to any
// reporting node, or since the given time if that is later.
func (p *Pool) SinceProgress(id string, since, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	if h, ok := p.heads[id]; ok && h.progressAt.After(since) {
		since = h.progressAt
	}
	return now.Sub(since)
}

// RecordFailure records that a head could not be reached or closed the
// connection early. It suspends the head with exponential backoff.
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

// RecordError records an error response of a head that is reachable.
func (p *Pool) RecordError(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if h, ok := p.heads[id]; ok {
		h.errorRate += (1 - h.errorRate) * errorWeight
	}
}

// RecordFull records that a head rejected a request for lack of capacity.
func (p *Pool) RecordFull(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if h, ok := p.heads[id]; ok {
		h.fullUntil = now.Add(p.policy.FullFor)
	}
}

// RecordStall records that this node found the head stalled.
func (p *Pool) RecordStall(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if h, ok := p.heads[id]; ok {
		h.stalledUntil = now.Add(p.policy.StalledFor)
	}
}

// recordRemoteProgress records that another node received response data from
// the head. It ends a stall, but no suspension.
func (p *Pool) recordRemoteProgress(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if h, ok := p.heads[id]; ok {
		h.progressAt = now
		h.stalledUntil = time.Time{}
		h.reportedStalledUntil = time.Time{}
	}
}

// recordRemoteStall records that another node found the head stalled. It is
// ignored when the head made progress within the last StalledFor.
func (p *Pool) recordRemoteStall(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if h, ok := p.heads[id]; ok && now.Sub(h.progressAt) > p.policy.StalledFor {
		h.reportedStalledUntil = now.Add(p.policy.StalledFor)
	}
}

// addTo adds to r this node's loads, the heads that made progress here after
// since, and the heads that this node found stalled.
func (p *Pool) addTo(r *Report, since, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for id, h := range p.heads {
		if h.localInFlight > 0 {
			r.Loads[id] = h.localInFlight
		}
		if h.localProgressAt.After(since) {
			r.Progressed = append(r.Progressed, id)
		}
		if now.Before(h.stalledUntil) {
			r.Stalled = append(r.Stalled, id)
		}
	}
}
