package schedule

import (
	"math"
	"time"
)

const (
	// rateHalfLife is the age at which a sample of the rate counts half.
	rateHalfLife = 5 * time.Second
	// minRetryAfter is the shortest Retry-After; the header counts seconds.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// refusalGap is the time without refusals after which the next one counts as
	// the first.
	refusalGap = 5 * time.Second
)

// slotRate learns how much cost one slot works off in a second.
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

// perSlot returns the cost per second of one slot; zero when not known.
func (r *slotRate) perSlot() float64 {
	if r.seconds <= 0 {
		return 0
	}
	return r.cost / r.seconds
}

// expectedWait estimates how long a ticket that joins its queue now waits for a
// slot: the cost that the workspace has ahead of it, over the rate that its
// share gives it.
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

// slotsFor returns the slots that work of the class can count on.
func (s *shard) slotsFor(c class) float64 {
	slots := float64(max(1, s.slots))
	if c == classLong {
		return max(1, slots*s.config.LongShare)
	}
	return max(1, slots-float64(s.longRunning))
}

// retryAfter returns when a request that has to wait this much longer than it
// can may be sent again.
//
// While more comes in than can be served, new requests take every slot that
// becomes free, and the backlog tells nothing of the end. The best guess is then
// that refusals will go on for as long as they have gone on. The time is spread,
// so that callers do not return together.
func (s *shard) retryAfter(q *workspaceQueue, excess time.Duration, now time.Time) time.Duration {
	if now.Sub(q.refusedLast) > refusalGap {
		q.refusedFirst = now
	}
	q.refusedLast = now
	after := max(excess+minRetryAfter, now.Sub(q.refusedFirst))
	after = scale(after, 1+s.chooser.random.Float64()/2)
	return min(max(after, minRetryAfter), maxRetryAfter)
}
