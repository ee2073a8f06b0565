package entry

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/fleet/formation"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/serving/metric"
	"almondbay.example/serving/platform"
)

// instrumentedStore records the result and duration of each call to the store.
type instrumentedStore struct {
	store   Store
	clock   clockwork.Clock
	metrics *metric.Entry
	// failedAt is the time of the last call if it got no response, in Unix
	// nanoseconds of the clock, and zero otherwise.
	failedAt atomic.Int64
}

var _ Store = (*instrumentedStore)(nil)

// unreachable reports whether the last call got no response within
// unreachableTTL. The state expires so that a node that rarely calls the store
// tries again.
func (s *instrumentedStore) unreachable() bool {
	at := s.failedAt.Load()
	return at != 0 && s.clock.Now().UnixNano()-at < int64(unreachableTTL)
}

// unreachableTTL is how long the store counts as unreachable after a call
// without a response. It exceeds the time from one call to the end of the next
// while the node defers to its peers (see maxDeferral).
const unreachableTTL = 5 * time.Second

// record counts a call that started at the given time and updates failedAt.
func (s *instrumentedStore) record(call string, start time.Time, err error) {
	result := resultOf(err)
	s.metrics.RecordStoreCall(call, result, s.clock.Since(start))
	switch result {
	case resultRefused, resultUnknown:
		s.failedAt.Store(s.clock.Now().UnixNano())
	default:
		s.failedAt.Store(0)
	}
}

// Results of calls to which the store sent no response.
const (
	resultRefused = "refused"
	resultUnknown = "unknown"
)

// resultOf returns the metric label of a store call's outcome.
func resultOf(err error) string {
	var conflict *platform.ConflictError
	var refused *platform.RefusedError
	var unknown *platform.UnknownError
	var lost *platform.HistoryLostError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &refused):
		return resultRefused
	case errors.As(err, &unknown):
		return resultUnknown
	case errors.As(err, &lost):
		return "historyLost"
	default:
		return "failed"
	}
}

// Read implements platform.Table.
func (s *instrumentedStore) Read(ctx context.Context, key string) (platform.Row, error) {
	start := s.clock.Now()
	row, err := s.store.Read(ctx, key)
	s.record("read", start, err)
	return row, err
}

// Range implements platform.Table.
func (s *instrumentedStore) Range(ctx context.Context, prefix string) ([]platform.Row, error) {
	start := s.clock.Now()
	rows, err := s.store.Range(ctx, prefix)
	s.record("range", start, err)
	return rows, err
}

// Commit implements platform.Table.
func (s *instrumentedStore) Commit(ctx context.Context, t platform.Transaction) error {
	_, err := s.CommitVersion(ctx, t)
	return err
}

// CommitVersion implements platform.Committer.
func (s *instrumentedStore) CommitVersion(ctx context.Context, t platform.Transaction) (uint64, error) {
	start := s.clock.Now()
	version, err := s.store.CommitVersion(ctx, t)
	s.record("commit", start, err)
	return version, err
}

// Scan implements platform.Feed.
func (s *instrumentedStore) Scan(ctx context.Context, table string) (platform.Changes, error) {
	start := s.clock.Now()
	c, err := s.store.Scan(ctx, table)
	s.record("scan/"+table, start, err)
	return c, err
}

// Changes implements platform.Feed.
func (s *instrumentedStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
	start := s.clock.Now()
	c, err := s.store.Changes(ctx, table, after, wait)
	s.record("changes/"+table, start, err)
	return c, err
}

// instrumentedOrders counts the orders to backend servers by response status.
type instrumentedOrders struct {
	control.Orders
	metrics *metric.Entry
	// onLeaving is called when a server states in a report that it is about to shut
	// down.
	onLeaving func(registry.Life)
}

// Send implements control.Orders.
func (o *instrumentedOrders) Send(ctx context.Context, order formation.Order, accepted, term uint64) (int, error) {
	status, err := o.Orders.Send(ctx, order, accepted, term)
	o.metrics.Orders.WithLabelValues(string(order.Operation), strconv.Itoa(status)).Inc()
	return status, err
}

// QueryState implements control.Orders.
func (o *instrumentedOrders) QueryState(ctx context.Context, s registry.Server) (control.State, error) {
	state, err := o.Orders.QueryState(ctx, s)
	status := "200"
	if err != nil {
		status = "0"
	}
	o.metrics.Orders.WithLabelValues("report", status).Inc()
	if state.Leaving {
		o.onLeaving(registry.Life{ID: s.ID, Incarnation: state.Incarnation})
	}
	return state, err
}
