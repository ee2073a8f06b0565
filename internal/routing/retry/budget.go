// Package retry limits the retries of all nodes together to one budget, without
// communication between them: each node may spend a fraction of the retries that
// its own requests earn, plus an equal share of the common slack.
package retry

import (
	"sync"
	"time"
)

// Config configures a Budget.
type Config struct {
	// Ratio is the number of retries that one request earns.
	Ratio float64
	// Slack is the number of retries that all nodes together may make in a window
	// in addition to those earned.
	Slack float64
	// Window is the length of the sliding window over which requests and retries
	// are counted. The budget holds in every window of this length.
	Window time.Duration
	// UsableFraction is the fraction of the budget that is spent. The remainder
	// covers nodes that the others don't know yet.
	UsableFraction float64
	// Start is when this node started. It has no slack until Window has passed: its last run
	// may have spent it.
	Start time.Time
}

// buckets is the number of buckets in a window. One more is kept, so that the
// sum over all buckets always covers a full window.
const buckets = 10

// usage counts the requests and retries of one service in a ring of buckets.
type usage struct {
	requests [buckets + 1]int
	retries  [buckets + 1]int
	// last is the number of the newest bucket, counted from the Unix epoch.
	last int64
}

// Budget is one node's share of the retry budget of each service. It is safe for
// concurrent use.
type Budget struct {
	config Config

	mu       sync.Mutex
	nodes    int
	services map[string]*usage
}

// NewBudget returns the budget for a single node; see SetNodes.
func NewBudget(c Config) *Budget {
	return &Budget{config: c, nodes: 1, services: map[string]*usage{}}
}

// SetNodes sets the number of nodes that share the slack, at least one.
func (b *Budget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.nodes = max(1, n)
}

// RecordRequest counts a caller's request to a service, which earns
// Config.Ratio retries.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	s := b.current(service, now)
	s.requests[s.last%(buckets+1)]++
}

// Acquire charges one retry to the budget of a service. It reports false if the
// budget is exhausted.
func (b *Budget) Acquire(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	s := b.current(service, now)
	requests, retries := 0, 0
	for i := range s.requests {
		requests += s.requests[i]
		retries += s.retries[i]
	}
	allowed := b.config.UsableFraction * (b.config.Ratio*float64(requests) + b.slack(now))
	if float64(retries+1) > allowed {
		return false
	}
	s.retries[s.last%(buckets+1)]++
	return true
}

// slack returns this node's share of the common slack. The caller must hold mu.
func (b *Budget) slack(now time.Time) float64 {
	if now.Sub(b.config.Start) < b.config.Window {
		return 0
	}
	return b.config.Slack / float64(b.nodes)
}

// current returns the usage of a service after it has cleared the buckets that
// have expired by now.
func (b *Budget) current(service string, now time.Time) *usage {
	number := now.UnixNano() / int64(b.config.Window/buckets)
	s, ok := b.services[service]
	if !ok {
		s = &usage{last: number}
		b.services[service] = s
	}
	for i := max(s.last+1, number-buckets); i <= number; i++ {
		s.requests[i%(buckets+1)] = 0
		s.retries[i%(buckets+1)] = 0
	}
	s.last = max(s.last, number)
	return s
}
