package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Priority ranks calls to the table service. When the budget is nearly used up,
// calls of lower priority are refused first.
type Priority int

// Priorities of calls, the lowest first.
const (
	// PriorityBackground is for polling, which can be delayed without harm.
	PriorityBackground Priority = iota
	// PriorityControl is for leases and replica groups.
	PriorityControl
	// PriorityBooking is for the booking rows of callers' non-idempotent
	// requests.
	PriorityBooking

	priorityCount = int(PriorityBooking) + 1
)

// burstSeconds is the number of seconds whose calls, at the rate limit, a node may
// make at once.
const burstSeconds = 5

// GuardConfig configures a Guard.
type GuardConfig struct {
	Table Table
	Clock clockwork.Clock
	// ReadsPerSecond and WritesPerSecond are the budget of the table service for
	// all nodes together.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// MinReads and MinWrites are the calls per second that each node may make
	// regardless of the number of nodes.
	MinReads  float64
	MinWrites float64
	// FailuresToOpen is the number of consecutive calls without an answer that
	// opens the circuit.
	FailuresToOpen int
	// ProbeInterval is the time between two calls that are admitted while the
	// circuit is open.
	ProbeInterval time.Duration
}

// Guard is a rate limiter and circuit breaker in front of the table service. It
// keeps one node within its share of the budget. During an outage of the table
// service the circuit is open: calls are refused immediately, so that callers
// need not wait for a timeout to learn that a call was not executed. A Guard
// never changes the result of a call that was sent.
type Guard struct {
	config GuardConfig
	reads  *rate.Limiter
	writes *rate.Limiter

	mu       sync.Mutex
	failures int
	// nextProbe is when the next call is admitted; it is only valid while the
	// circuit is open, that is while failures is at least FailuresToOpen.
	nextProbe time.Time
}

// NewGuard returns a guard for c.Table. It assumes a single node until SetNodes
// is called.
func NewGuard(c GuardConfig) *Guard {
	return &Guard{
		config: c,
		reads:  rate.NewLimiter(rate.Limit(c.ReadsPerSecond), burst(c.ReadsPerSecond)),
		writes: rate.NewLimiter(rate.Limit(c.WritesPerSecond), burst(c.WritesPerSecond)),
	}
}

// SetNodes sets the number of nodes that share the budget. Numbers below one
// count as one. The rates of each node are an equal share of the budget, but at
// least MinReads and MinWrites: among many nodes only the few that poll or hold
// leases make calls, and they need more than an equal share.
func (g *Guard) SetNodes(nodes int) {
	now := g.config.Clock.Now()
	n := float64(max(1, nodes))
	setRate(g.reads, now, max(g.config.MinReads, g.config.ReadsPerSecond/n))
	setRate(g.writes, now, max(g.config.MinWrites, g.config.WritesPerSecond/n))
}

// setRate sets the rate of a limiter and the matching burst.
func setRate(l *rate.Limiter, now time.Time, perSecond float64) {
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, burst(perSecond))
}

// burst returns the burst for a rate: the calls of burstSeconds, but at least one
// call per priority.
func burst(perSecond float64) int {
	return max(int(perSecond*burstSeconds), priorityCount)
}

// Table returns the guarded table for calls of one priority.
func (g *Guard) Table(p Priority) Table {
	return &guardedTable{guard: g, priority: p}
}

// Open reports whether the circuit is open because of an outage of the table
// service.
func (g *Guard) Open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.failures >= g.config.FailuresToOpen
}

// admit takes one call from the limiter's budget or returns a RefusedError. Each
// priority leaves an equal part of the burst in reserve for every priority above
// it.
func (g *Guard) admit(l *rate.Limiter, p Priority) error {
	now := g.config.Clock.Now()
	if err := g.checkCircuit(now); err != nil {
		return err
	}
	reservedPart := float64(priorityCount-1-int(p)) / float64(priorityCount)
	reserve := reservedPart * float64(l.Burst())
	if l.TokensAt(now)-1 < reserve || !l.AllowN(now, 1) {
		return &RefusedError{Reason: "the node's call budget for the table service is exhausted"}
	}
	return nil
}

// checkCircuit refuses calls while the circuit is open, except one per
// ProbeInterval.
func (g *Guard) checkCircuit(now time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.failures < g.config.FailuresToOpen {
		return nil
	}
	if now.Before(g.nextProbe) {
		return &RefusedError{Reason: "circuit open after consecutive failures of the table service"}
	}
	g.nextProbe = now.Add(g.config.ProbeInterval)
	return nil
}

// recordResult counts consecutive calls without an answer. Calls that were
// canceled by their callers are not counted, as they say nothing about the table
// service.
func (g *Guard) recordResult(ctx context.Context, err error) {
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
		g.nextProbe = g.config.Clock.Now().Add(g.config.ProbeInterval)
	}
}

// guardedTable implements Table for calls of one priority.
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
	t.guard.recordResult(ctx, err)
	return row, err
}

// Range implements Table.
func (t *guardedTable) Range(ctx context.Context, prefix string) ([]Row, error) {
	if err := t.guard.admit(t.guard.reads, t.priority); err != nil {
		return nil, err
	}
	rows, err := t.guard.config.Table.Range(ctx, prefix)
	t.guard.recordResult(ctx, err)
	return rows, err
}

// Commit implements Table.
func (t *guardedTable) Commit(ctx context.Context, transaction Transaction) error {
	if err := t.guard.admit(t.guard.writes, t.priority); err != nil {
		return err
	}
	err := t.guard.config.Table.Commit(ctx, transaction)
	t.guard.recordResult(ctx, err)
	return err
}
