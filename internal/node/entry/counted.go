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

// countedStore counts the calls to the store.
type countedStore struct {
	store   Store
	clock   clockwork.Clock
	metrics *metric.Entry
	// troubledAt is when a call last got no answer, in Unix nanoseconds of the
	// clock; zero since one was answered.
	troubledAt atomic.Int64
}

var _ Store = (*countedStore)(nil)

// troubled reports whether the last call got no answer, and that lately: a node
// that rarely calls must try again.
func (s *countedStore) troubled() bool {
	at := s.troubledAt.Load()
	return at != 0 && s.clock.Now().UnixNano()-at < int64(troubledFor)
}

// troubledFor is how long a node counts as cut off from the store after a call
// without an answer: longer than the time from one call to the end of the next
// while it leaves looking out for the store to others.
const troubledFor = 5 * time.Second

// count notes a call that began at a time.
func (s *countedStore) count(call string, begun time.Time, err error) {
	result := resultOf(err)
	s.metrics.StoreCall(call, result, s.clock.Since(begun))
	switch result {
	case resultRefused, resultUnknown:
		s.troubledAt.Store(s.clock.Now().UnixNano())
	default:
		s.troubledAt.Store(0)
	}
}

// Results of calls that the store did not answer.
const (
	resultRefused = "refused"
	resultUnknown = "unknown"
)

// resultOf names the outcome of a call to the store.
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
func (s *countedStore) Read(ctx context.Context, key string) (platform.Row, error) {
	begun := s.clock.Now()
	row, err := s.store.Read(ctx, key)
	s.count("read", begun, err)
	return row, err
}

// Range implements platform.Table.
func (s *countedStore) Range(ctx context.Context, prefix string) ([]platform.Row, error) {
	begun := s.clock.Now()
	rows, err := s.store.Range(ctx, prefix)
	s.count("range", begun, err)
	return rows, err
}

// Commit implements platform.Table.
func (s *countedStore) Commit(ctx context.Context, t platform.Transaction) error {
	_, err := s.CommitVersion(ctx, t)
	return err
}

// CommitVersion implements platform.Committer.
func (s *countedStore) CommitVersion(ctx context.Context, t platform.Transaction) (uint64, error) {
	begun := s.clock.Now()
	version, err := s.store.CommitVersion(ctx, t)
	s.count("commit", begun, err)
	return version, err
}

// Scan implements platform.Feed.
func (s *countedStore) Scan(ctx context.Context, table string) (platform.Changes, error) {
	begun := s.clock.Now()
	c, err := s.store.Scan(ctx, table)
	s.count("scan/"+table, begun, err)
	return c, err
}

// Changes implements platform.Feed.
func (s *countedStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
	begun := s.clock.Now()
	c, err := s.store.Changes(ctx, table, after, wait)
	s.count("changes/"+table, begun, err)
	return c, err
}

// countedOrders counts the orders to backend servers.
type countedOrders struct {
	control.Orders
	metrics *metric.Entry
}

// Send implements control.Orders.
func (o *countedOrders) Send(ctx context.Context, order formation.Order, accepted, term uint64) (int, error) {
	status, err := o.Orders.Send(ctx, order, accepted, term)
	o.metrics.Orders.WithLabelValues(string(order.Operation), strconv.Itoa(status)).Inc()
	return status, err
}

// QueryState implements control.Orders.
func (o *countedOrders) QueryState(ctx context.Context, s registry.Server) (control.State, error) {
	state, err := o.Orders.QueryState(ctx, s)
	status := "200"
	if err != nil {
		status = "0"
	}
	o.metrics.Orders.WithLabelValues("report", status).Inc()
	return state, err
}
