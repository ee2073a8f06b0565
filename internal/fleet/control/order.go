package control

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"almondbay.example/internal/fleet/formation"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/serving/event"
)

// orderKey identifies orders with the same effect.
type orderKey struct {
	server    string
	operation formation.Operation
	epoch     uint64
	model     string
}

// acceptedOrders is the number of orders that one incarnation of a server has
// accepted.
type acceptedOrders struct {
	incarnation int64
	count       uint64
	// known is false after an order without a reply, or with a reply that doesn't
	// show whether the server counted it.
	known bool
}

// clearOrderCounts discards all counts, so that they are queried again: the
// previous holder of the lease may have sent orders.
func (d *domain) clearOrderCounts() {
	d.mu.Lock()
	defer d.mu.Unlock()

	clear(d.orderCounts)
}

// orderCount returns the number of orders that a server has accepted. It queries
// the server if this node doesn't know the count.
func (d *domain) orderCount(ctx context.Context, s registry.Server) (uint64, error) {
	d.mu.Lock()
	a, ordered := d.orderCounts[s.ID]
	d.mu.Unlock()
	ordered = ordered && a.incarnation == s.Incarnation
	if ordered && a.known {
		return a.count, nil
	}
	if !ordered && s.Group.Name == "" && s.Model == "" && len(s.Staged) == 0 {
		// The server has executed no order. If it accepts another one that is in
		// transit first, it rejects this one.
		return 0, nil
	}
	state, err := d.config.Orders.QueryState(ctx, s)
	return state.Accepted, err
}

// setOrderCount records the number of orders that a server has accepted. If
// known is false, the count is queried before the next order.
func (d *domain) setOrderCount(s registry.Server, count uint64, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.orderCounts[s.ID] = acceptedOrders{incarnation: s.Incarnation, count: count, known: known}
}

// sendOrders sends orders without waiting for the replies, so that an
// unresponsive server doesn't delay orders to others.
func (d *domain) sendOrders(ctx context.Context, orders []formation.Order) {
	for _, o := range orders {
		now := d.config.Clock.Now()
		if !d.candidate.Holds(now) {
			return
		}
		term := d.term
		if o.StartsLoad {
			d.recordLoad(o, now)
		}
		started := d.tasks.TryGo(func() error {
			if d.sendOrder(ctx, o, term) && o.Head != "" {
				d.recordMemberLeft(o.Head, o.Epoch)
			}
			return nil
		})
		if !started {
			return
		}
		d.sentAt[keyOf(o)] = now
	}
}

// recentlySent reports whether an order was sent so recently that its effect may
// not be visible yet.
func (d *domain) recentlySent(o formation.Order) bool {
	at, ok := d.sentAt[keyOf(o)]
	return ok && d.config.Clock.Since(at) < orderRepeat
}

// keyOf returns the key of an order.
func keyOf(o formation.Order) orderKey {
	return orderKey{server: o.Server.ID, operation: o.Operation, epoch: o.Epoch, model: o.Model}
}

// recordLoad records a load before its order is sent, so that the reply always
// finds the record.
func (d *domain) recordLoad(o formation.Order, now time.Time) {
	d.loadStarts = append(d.loadStarts, now)
	d.mu.Lock()
	defer d.mu.Unlock()

	l, ok := d.loading[o.Server.ID]
	if ok && l.accepted && l.model == o.Model && l.incarnation == o.Server.Incarnation {
		// The order is repeated while the load that it started is in progress.
		return
	}
	d.loading[o.Server.ID] = load{model: o.Model, incarnation: o.Server.Incarnation, at: now}
}

// sendOrder sends one order and reports whether the server accepted it.
func (d *domain) sendOrder(ctx context.Context, o formation.Order, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	status := 0
	accepted, err := d.orderCount(ctx, o.Server)
	if err == nil {
		status, err = d.config.Orders.Send(ctx, o, accepted, term)
	}
	switch status {
	case http.StatusAccepted:
		d.setOrderCount(o.Server, accepted+1, true)
	default:
		// After a reply other than 202 it is unknown whether the server counted the
		// order.
		d.setOrderCount(o.Server, 0, false)
	}
	if o.StartsLoad {
		d.recordLoadReply(o, status)
	}
	event.OrderSent.Log(d.config.Logger, zap.String("server", o.Server.ID), zap.String("operation", string(o.Operation)),
		zap.String("group", o.Group), zap.Uint64("epoch", o.Epoch), zap.String("model", o.Model),
		zap.Bool("loads", o.StartsLoad), zap.Uint64("accepted", accepted), zap.String("reason", o.Reason),
		zap.Int("status", status), zap.Error(err))
	return status == http.StatusAccepted || status == http.StatusOK
}
