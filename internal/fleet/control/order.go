package control

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"almondbay.example/internal/fleet/formation"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/serving/event"
)

// orderKey identifies what an order is to bring about.
type orderKey struct {
	server    string
	operation formation.Operation
	epoch     uint64
}

// givenOrder is an order that was given.
type givenOrder struct {
	at time.Time
	// orders is the number of orders that the server had accepted then.
	orders uint64
}

// give gives the orders that were not given a moment ago, at the same time.
func (d *domain) give(ctx context.Context, orders []formation.Order) {
	var group errgroup.Group
	for _, o := range orders {
		now := d.config.Clock.Now()
		if !d.candidate.Holds(now) {
			break
		}
		key := orderKey{server: o.Server.ID, operation: o.Operation, epoch: o.Epoch}
		if last, ok := d.given[key]; ok && now.Sub(last.at) < orderRepeat && last.orders == o.Server.Orders {
			continue
		}
		d.given[key] = givenOrder{at: now, orders: o.Server.Orders}
		if o.Loads {
			d.loads = append(d.loads, now)
		}
		group.Go(func() error {
			d.giveOne(ctx, o)
			return nil
		})
	}
	// Orders report their failures by themselves.
	_ = group.Wait()
}

func (d *domain) giveOne(ctx context.Context, o formation.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	status, err := d.config.Orders.Give(ctx, o, d.term)
	event.OrderGiven.Log(d.config.Logger, zap.String("server", o.Server.ID), zap.String("operation", string(o.Operation)),
		zap.String("group", o.Group), zap.Uint64("epoch", o.Epoch), zap.String("model", o.Model),
		zap.Bool("loads", o.Loads), zap.String("reason", o.Reason), zap.Int("status", status), zap.Error(err))
}

// missingHead is a head whose registration is gone.
type missingHead struct {
	since time.Time
	// askedAt is when it was last asked whether it still serves.
	askedAt time.Time
	// reachedAt is when it last answered; zero if never.
	reachedAt time.Time
	// left is set once it has accepted to leave its group.
	left bool
}

// askInterval is the time between two questions to a head without a
// registration.
const askInterval = time.Second

// quiet reports whether a head without a registration is known not to serve.
func (d *domain) quiet(id string) bool {
	m, ok := d.missing[id]
	if !ok {
		return false
	}
	last := m.since
	if m.reachedAt.After(last) {
		last = m.reachedAt
	}
	return m.left || m.askedAt.Sub(last) >= d.config.QuietAfter
}

// ask asks heads without a registration whether they still serve, and orders
// those that do to leave their groups.
func (d *domain) ask(ctx context.Context, suspects []registry.Server, now time.Time) {
	listed := map[string]bool{}
	for _, s := range suspects {
		listed[s.ID] = true
		m, ok := d.missing[s.ID]
		if !ok {
			m.since = now
		}
		if now.Sub(m.askedAt) >= askInterval {
			m = d.askOne(ctx, s, m)
		}
		d.missing[s.ID] = m
	}
	for id, m := range d.missing {
		if !listed[id] && now.Sub(m.askedAt) > leaseDuration {
			delete(d.missing, id)
		}
	}
}

func (d *domain) askOne(ctx context.Context, s registry.Server, m missingHead) missingHead {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	current, reached := d.config.Orders.Reach(ctx, s)
	m.askedAt = d.config.Clock.Now()
	if reached {
		m.reachedAt = m.askedAt
		m.left = current.Group.Name != s.Group.Name || current.Group.Epoch != s.Group.Epoch ||
			current.Group.State == registry.StateBroken
		if !m.left && d.candidate.Holds(m.askedAt) {
			d.giveOne(ctx, formation.Order{
				Server: current, Operation: formation.OperationLeave, Group: s.Group.Name, Epoch: s.Group.Epoch,
				Model: s.Model, Reason: "registration gone, head still serves",
			})
		}
	}
	event.HeadAsked.Log(d.config.Logger, zap.String("server", s.ID), zap.Bool("reached", reached),
		zap.Bool("quiet", m.left), zap.Duration("missingFor", m.askedAt.Sub(m.since)))
	return m
}
