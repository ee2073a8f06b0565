package schedule

import (
	"math"
	"time"
)

const (
	// rateHalfLife is the half-life of the weight of a rate sample.
	rateHalfLife = 5 * time.Second
	// minRetryAfter is the shortest Retry-After; the header has a resolution of
	// seconds.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// refusalStreakGap is the time without refusals that ends a streak of
	// refusals.
	refusalStreakGap = 5 * time.Second
)

// slotRate estimates how much cost one slot processes per second.
type slotRate struct {
	cost    float64
	seconds float64
	at      time.Time
}

func (r *slotRate) add(cost float64, spent time.Duration, now time.Time) {
	if age := now.Sub(r.at); age > 0 {
		keep := math.Exp2(-float64(age) / float64(rateHalfLife))
		r.cost *= keep
		r.seconds *= keep
		r.at = now
	}
	r.cost += cost
	r.seconds += spent.Seconds()
}

// perSlot returns the cost per second of one slot; zero when unknown.
func (r *slotRate) perSlot() float64 {
	if r.seconds <= 0 {
		return 0
	}
	return r.cost / r.seconds
}

// expectedWait estimates how long a ticket that joins its queue now waits for a
// slot: the cost queued ahead of it in its workspace, divided by the rate that
// the share of the workspace yields.
func (s *shard) expectedWait(t *Ticket) time.Duration {
	if s.queue.waiting[t.class] == 0 && len(s.chooser.local.groups) > 0 {
		return 0
	}
	rate := s.rate.perSlot() * s.slotsFor(t.class)
	if rate <= 0 {
		return 0
	}
	q := t.queue
	shares := s.queue.activeShares
	if q.len() == 0 {
		shares += q.share
	}
	lead := max(0, q.virtualTime-s.queue.virtualTime) * q.share
	ahead := q.backlogUpTo(t.bucket) + lead
	return time.Duration(ahead * shares / (rate * q.share) * float64(time.Second))
}

// slotsFor returns the number of slots available to requests of the class.
func (s *shard) slotsFor(c class) float64 {
	slots := float64(max(1, s.slots))
	if c == classLong {
		return max(1, slots*s.config.LongShare)
	}
	return max(1, slots-float64(s.longRunning))
}

// retryAfter returns the Retry-After of a request whose expected wait exceeds
// its acceptable wait by excess.
//
// During sustained overload new requests take every slot that becomes free, so
// the backlog does not predict when the overload ends. The estimate is then
// that refusals continue for as long as they have lasted so far. Random jitter
// keeps callers from returning at the same time.
func (s *shard) retryAfter(q *workspaceQueue, excess time.Duration, now time.Time) time.Duration {
	if now.Sub(q.lastRefusal) > refusalStreakGap {
		q.firstRefusal = now
	}
	q.lastRefusal = now
	after := max(excess+minRetryAfter, now.Sub(q.firstRefusal))
	after = scale(after, 1+s.chooser.random.Float64()/2)
	return min(max(after, minRetryAfter), maxRetryAfter)
}
