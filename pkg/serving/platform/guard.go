package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Priority orders the uses of the table service when the budget runs short.
type Priority int

// Priorities of a table's use, the least important first.
const (
	// PriorityBackground is for polls, which lose nothing by waiting.
	PriorityBackground Priority = iota
	// PriorityControl is for leases and replica groups.
	PriorityControl
	// PriorityBooking is for callers' non-idempotent requests.
	PriorityBooking

	priorities = int(PriorityBooking) + 1
)

// burstSeconds is how many seconds' worth of calls a node may make at once.
const burstSeconds = 5

// GuardConfig configures a Guard.
type GuardConfig struct {
	Table Table
	Clock clockwork.Clock
	// ReadsPerSecond and WritesPerSecond are what the table service gives to
	// all nodes together.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// MinReads and MinWrites are what a node may use a second however many
	// nodes there are.
	MinReads  float64
	MinWrites float64
	// FailuresToOpen is the number of calls in a row without an answer after
	// which the table service counts as out of service.
	FailuresToOpen int
	// ProbeInterval is the time between two calls let through while the table
	// service counts as out of service.
	ProbeInterval time.Duration
}

// Guard keeps one node within its part of the table service's budget and
// refuses calls at once while the table service is out of service, so that
// nobody waits for a timeout to learn that a request was not run. It never
// changes what is known of a call that was sent.
type Guard struct {
	config GuardConfig
	reads  *rate.Limiter
	writes *rate.Limiter

	mu       sync.Mutex
	failures int
	// nextTry is when the next call is let through; it is meaningful while
	// failures is at least FailuresToOpen.
	nextTry time.Time
}

// NewGuard returns a guard in front of c.Table for the only node.
func NewGuard(c GuardConfig) *Guard {
	return &Guard{
		config: c,
		reads:  rate.NewLimiter(rate.Limit(c.ReadsPerSecond), burst(c.ReadsPerSecond)),
		writes: rate.NewLimiter(rate.Limit(c.WritesPerSecond), burst(c.WritesPerSecond)),
	}
}

// SetNodes sets the number of nodes that share the table service, at least
// one. Each node keeps to an equal part, or to MinReads and MinWrites where that
// is more: among many nodes only the few that poll or hold leases use their
// part at all, and those need more than it.
func (g *Guard) SetNodes(nodes int) {
	now := g.config.Clock.Now()
	n := float64(max(1, nodes))
	share(g.reads, now, max(g.config.MinReads, g.config.ReadsPerSecond/n))
	share(g.writes, now, max(g.config.MinWrites, g.config.WritesPerSecond/n))
}

// share sets the rate of a limiter and the burst that goes with it.
func share(l *rate.Limiter, now time.Time, perSecond float64) {
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, burst(perSecond))
}

// burst is burstSeconds' worth of calls, but at least one call per priority.
func burst(perSecond float64) int {
	return max(int(perSecond*burstSeconds), priorities)
}

// Table returns the guarded table for uses of one priority.
func (g *Guard) Table(p Priority) Table {
	return &guardedTable{guard: g, priority: p}
}

// Open reports whether the table service counts as out of service.
func (g *Guard) Open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.failures >= g.config.FailuresToOpen
}

// admit takes one call from the limiter's budget. A use of lower priority
// leaves part of the burst to those above it.
func (g *Guard) admit(l *rate.Limiter, p Priority) error {
	now := g.config.Clock.Now()
	if err := g.admitOutage(now); err != nil {
		return err
	}
	above := float64(priorities-1-int(p)) / float64(priorities)
	reserve := above * float64(l.Burst())
	if l.TokensAt(now)-1 < reserve || !l.AllowN(now, 1) {
		return &RefusedError{Reason: "the node's budget of calls is used up"}
	}
	return nil
}

// admitOutage refuses calls during an outage, but for one per ProbeInterval.
func (g *Guard) admitOutage(now time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.failures < g.config.FailuresToOpen {
		return nil
	}
	if now.Before(g.nextTry) {
		return &RefusedError{Reason: "the table service is out of service"}
	}
	g.nextTry = now.Add(g.config.ProbeInterval)
	return nil
}

// observe counts the calls in a row that had no answer. A call that its own
// caller gave up tells nothing.
func (g *Guard) observe(ctx context.Context, err error) {
	var refused *RefusedError
	var unknown *UnknownError
	unanswered := errors.As(err, &refused) || errors.As(err, &unknown)
	if unanswered && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()

	if !unanswered {
		g.failures = 0
		return
	}
	g.failures++
	if g.failures == g.config.FailuresToOpen {
		g.nextTry = g.config.Clock.Now().Add(g.config.ProbeInterval)
	}
}

// guardedTable is the table as seen by uses of one priority.
type guardedTable struct {
	guard    *Guard
	priority Priority
}

// Read implements Table.
func (t *guardedTable) Read(ctx context.Context, key string) (Row, error) {
	if err := t.guard.admit(t.guard.reads, t.priority); err != nil {
		return Row{}, err
	}
	row, err := t.guard.config.Table.Read(ctx, key)
	t.guard.observe(ctx, err)
	return row, err
}

// Range implements Table.
func (t *guardedTable) Range(ctx context.Context, prefix string) ([]Row, error) {
	if err := t.guard.admit(t.guard.reads, t.priority); err != nil {
		return nil, err
	}
	rows, err := t.guard.config.Table.Range(ctx, prefix)
	t.guard.observe(ctx, err)
	return rows, err
}

// Commit implements Table.
func (t *guardedTable) Commit(ctx context.Context, transaction Transaction) error {
	if err := t.guard.admit(t.guard.writes, t.priority); err != nil {
		return err
	}
	err := t.guard.config.Table.Commit(ctx, transaction)
	t.guard.observe(ctx, err)
	return err
}
