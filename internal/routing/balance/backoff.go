package balance

import (
	"slices"
	"sync"
	"time"
)

// backoffs holds until when servers want no requests from this node, by their IDs. A
// pause belongs to the server and not to one of its runs: the registration tells which run
// was known when it asked, not which one did. A server may be head of one group after the
// other, so all pools of a board share it. It is safe for concurrent use.
type backoffs struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newBackoffs() *backoffs {
	return &backoffs{until: map[string]time.Time{}}
}

// record records that a server wants no requests until a time. The latest such time
// holds: a shorter one may come from an answer that was overtaken. It reports whether
// that is later than what was known.
func (b *backoffs) record(id string, until, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	for other, t := range b.until {
		if !now.Before(t) {
			delete(b.until, other)
		}
	}
	if !until.After(b.until[id]) {
		return false
	}
	b.until[id] = until
	return true
}

// of returns until when a server wants no requests; zero if it said nothing.
func (b *backoffs) of(id string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.until[id]
}

// RecordPause records that a head, with its rejection, asked for no requests for some
// time. It is no failure of the head. It reports whether the time is longer than what
// was known.
func (p *Pool) RecordPause(id string, pause time.Duration, now time.Time) bool {
	return p.backoffs.record(id, now.Add(pause), now)
}

// earlier returns the earlier of two times, of which the zero time is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// pauseRetryAfter returns the retry delay when all heads asked for a pause: until the
// first one ends, and a random part of the time after it in which requests end, so
// that rejected callers don't all return at once.
func (p *Pool) pauseRetryAfter(end, now time.Time) time.Duration {
	return max(end.Sub(now), minRetryAfter) + time.Duration(float64(p.meanDuration)*p.policy.Random())
}

// HasUsable reports whether a head other than the excluded ones can be sent requests now,
// if it has room.
func (p *Pool) HasUsable(exclude []string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return slices.ContainsFunc(p.ordered, func(h *head) bool {
		return !slices.Contains(exclude, h.ID) && !now.Before(p.backoffs.of(h.ID)) && !now.Before(h.blockedUntil())
	})
}
