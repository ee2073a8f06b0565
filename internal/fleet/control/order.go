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
			d.sendOrder(ctx, o, term)
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

// headProbe tracks the probes of a head without a registration.
type headProbe struct {
	// since is when the head was first considered for a probe.
	since time.Time
	// probedAt is when the last probe ended.
	probedAt time.Time
	// reachedAt is when the head last replied; zero if it never did.
	reachedAt time.Time
	// failures counts consecutive probes in which a quorum of nodes failed to reach
	// the head.
	failures int
	// left is set once the head is known to have left its group.
	left bool
	// probing is set while a probe is in progress.
	probing bool
}

const (
	// probeInterval is the minimum time between two probes of a head without a
	// registration.
	probeInterval = 700 * time.Millisecond
	// maxProbeFailures is the number of consecutive failed probes after which a
	// head counts as stopped.
	maxProbeFailures = 2
)

// headStopped reports whether a head without a registration is known not to
// serve.
func (d *domain) headStopped(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	p, ok := d.probes[id]
	if !ok {
		return false
	}
	last := p.since
	if p.reachedAt.After(last) {
		last = p.reachedAt
	}
	return p.left || p.failures >= maxProbeFailures || p.probedAt.Sub(last) >= d.config.UnreachableTimeout
}

// probeHeads probes heads without a registration and orders those that still
// serve to leave their groups. It doesn't wait for the replies.
func (d *domain) probeHeads(ctx context.Context, heads []registry.Server, now time.Time) {
	listed := map[string]bool{}
	for _, s := range heads {
		listed[s.ID] = true
		if d.startProbe(s.ID, now) {
			term := d.term
			d.tasks.Go(func() error {
				d.probeHead(ctx, s, term)
				return nil
			})
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()

	for id, p := range d.probes {
		if !listed[id] && !p.probing && now.Sub(p.probedAt) > leaseDuration {
			delete(d.probes, id)
		}
	}
}

// startProbe reports whether a head is due for a probe, and marks it as being
// probed if so.
func (d *domain) startProbe(id string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	p, ok := d.probes[id]
	if !ok {
		p.since = now
	}
	due := !p.probing && now.Sub(p.probedAt) >= probeInterval
	p.probing = p.probing || due
	d.probes[id] = p
	return due
}

// probeHead probes one head and orders it to leave its group if it still serves.
func (d *domain) probeHead(ctx context.Context, s registry.Server, term uint64) {
	probeCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	result := d.config.ProbeHead(probeCtx, s)
	cancel()
	now := d.config.Clock.Now()
	left := result.Reached && !serves(s, result.State)
	if result.Reached && !left {
		d.setOrderCount(s, result.State.Accepted, true)
		left = d.sendOrder(ctx, formation.Order{
			Server: s, Operation: formation.OperationLeave, Group: s.Group.Name, Epoch: s.Group.Epoch,
			Model: s.Model, Reason: "registration gone, head still serves",
		}, term)
	}
	d.mu.Lock()
	defer d.mu.Unlock()

	p := d.probes[s.ID]
	p.probing = false
	p.probedAt = now
	p.left = left
	switch {
	case result.Reached:
		p.reachedAt = now
		p.failures = 0
	case result.Probed >= d.config.ProbeQuorum && result.SameDomain > 0:
		p.failures++
	}
	d.probes[s.ID] = p
	event.HeadProbed.Log(d.config.Logger, zap.String("server", s.ID), zap.Int("asked", result.Probed), zap.Int("near", result.SameDomain), zap.Bool("reached", result.Reached),
		zap.Bool("left", left), zap.Duration("missingFor", now.Sub(p.since)))
}

// serves reports whether a head is still in the group that it was last
// registered with.
func serves(s registry.Server, state State) bool {
	sameIncarnation := state.Incarnation == 0 || state.Incarnation == s.Incarnation
	return sameIncarnation && state.Group.Name == s.Group.Name && state.Group.Epoch == s.Group.Epoch &&
		state.Group.State != registry.StateBroken
}
