// Package retry keeps the retries of all nodes together within one budget,
// without a message: each node spends a part of what its own requests earn and
// an equal part of the slack.
package retry

import (
	"sync"
	"time"
)

// Config configures a Budget.
type Config struct {
	// Ratio is the number of retries that one request earns.
	Ratio float64
	// Slack is the number of retries that all nodes together have in a window
	// without any request.
	Slack float64
	// Window is the span over which retries are counted; any such span counts.
	Window time.Duration
	// UsableFraction is the part of the budget that is spent; the rest covers nodes that
	// start anew and have forgotten what they spent.
	UsableFraction float64
}

// buckets is the number of parts of a window that are counted apart. One more is
// kept, so that the sum covers any span of a window's length.
const buckets = 10

// spending counts what one service was sent.
type spending struct {
	requests [buckets + 1]int
	retries  [buckets + 1]int
	// last is the number of the newest bucket.
	last int64
}

// Budget is one node's part of the retry budget of each service. It is safe for
// use by several goroutines.
type Budget struct {
	config Config

	mu       sync.Mutex
	nodes    int
	services map[string]*spending
}

// NewBudget returns the budget of the only node.
func NewBudget(c Config) *Budget {
	return &Budget{config: c, nodes: 1, services: map[string]*spending{}}
}

// SetNodes sets the number of nodes that share the slack.
func (b *Budget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.nodes = max(1, n)
}

// RecordRequest notes a caller's request to a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	s := b.at(service, now)
	s.requests[s.last%(buckets+1)]++
}

// Acquire spends one retry. It reports false when none is left.
func (b *Budget) Acquire(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	s := b.at(service, now)
	requests, retries := 0, 0
	for i := range s.requests {
		requests += s.requests[i]
		retries += s.retries[i]
	}
	allowed := b.config.UsableFraction * (b.config.Ratio*float64(requests) + b.config.Slack/float64(b.nodes))
	if float64(retries+1) > allowed {
		return false
	}
	s.retries[s.last%(buckets+1)]++
	return true
}

// at returns the spending of a service with its buckets moved up to now.
func (b *Budget) at(service string, now time.Time) *spending {
	number := now.UnixNano() / int64(b.config.Window/buckets)
	s, ok := b.services[service]
	if !ok {
		s = &spending{last: number}
		b.services[service] = s
	}
	for i := max(s.last+1, number-buckets); i <= number; i++ {
		s.requests[i%(buckets+1)] = 0
		s.retries[i%(buckets+1)] = 0
	}
	s.last = max(s.last, number)
	return s
}
