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

// orderKey identifies what an order is to bring about.
type orderKey struct {
	server    string
	operation formation.Operation
	epoch     uint64
	model     string
}

// acceptance is the number of orders that a life of a server has accepted.
type acceptance struct {
	born  int64
	count uint64
	// known is false once an order had no answer, or one that doesn't tell
	// whether it counted.
	known bool
}

// forgetCounts makes all counts be asked for again: an earlier holder of the
// lease may have given orders.
func (d *domain) forgetCounts() {
	d.countMu.Lock()
	defer d.countMu.Unlock()

	clear(d.accepted)
}

// count returns the number of orders that a server has accepted, as counted
// here or else as it says itself.
func (d *domain) count(ctx context.Context, s registry.Server) (uint64, error) {
	d.countMu.Lock()
	a, ordered := d.accepted[s.ID]
	d.countMu.Unlock()
	ordered = ordered && a.born == s.Incarnation
	if ordered && a.known {
		return a.count, nil
	}
	if !ordered && s.Group.Name == "" && s.Model == "" && len(s.Staged) == 0 {
		// Nothing was ever ordered of it; an order that is on its way makes this
		// one fail.
		return 0, nil
	}
	state, err := d.config.Orders.QueryState(ctx, s)
	return state.Accepted, err
}

// setCount keeps the number of orders that a server has accepted, or that it
// must be asked for it.
func (d *domain) setCount(s registry.Server, count uint64, known bool) {
	d.countMu.Lock()
	defer d.countMu.Unlock()

	d.accepted[s.ID] = acceptance{born: s.Incarnation, count: count, known: known}
}

// give gives the orders. It does not wait for their answers: a server that
// doesn't answer must not hold up the others.
func (d *domain) give(ctx context.Context, orders []formation.Order) {
	for _, o := range orders {
		now := d.config.Clock.Now()
		if !d.candidate.Holds(now) {
			return
		}
		term := d.term
		if o.StartsLoad {
			d.noteLoad(o, now)
		}
		begun := d.tasks.TryGo(func() error {
			d.giveOne(ctx, o, term)
			return nil
		})
		if !begun {
			return
		}
		d.given[keyOf(o)] = now
	}
}

// givenLately reports whether an order was given so recently that its effect
// may not show yet.
func (d *domain) givenLately(o formation.Order) bool {
	at, ok := d.given[keyOf(o)]
	return ok && d.config.Clock.Since(at) < orderRepeat
}

func keyOf(o formation.Order) orderKey {
	return orderKey{server: o.Server.ID, operation: o.Operation, epoch: o.Epoch, model: o.Model}
}

// noteLoad notes a load that is about to be ordered, before an answer can come.
func (d *domain) noteLoad(o formation.Order, now time.Time) {
	d.loads = append(d.loads, now)
	d.countMu.Lock()
	defer d.countMu.Unlock()

	l, ok := d.loading[o.Server.ID]
	if ok && l.accepted && l.model == o.Model && l.born == o.Server.Incarnation {
		// The order is given again though the load goes on.
		return
	}
	d.loading[o.Server.ID] = load{model: o.Model, born: o.Server.Incarnation, at: now}
}

// giveOne gives one order and returns whether the server took it.
func (d *domain) giveOne(ctx context.Context, o formation.Order, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	status := 0
	accepted, err := d.count(ctx, o.Server)
	if err == nil {
		status, err = d.config.Orders.Send(ctx, o, accepted, term)
	}
	switch status {
	case http.StatusAccepted:
		d.setCount(o.Server, accepted+1, true)
	default:
		// An order that is done at once may have counted or not.
		d.setCount(o.Server, 0, false)
	}
	if o.StartsLoad {
		d.loadAnswered(o, status)
	}
	event.OrderGiven.Log(d.config.Logger, zap.String("server", o.Server.ID), zap.String("operation", string(o.Operation)),
		zap.String("group", o.Group), zap.Uint64("epoch", o.Epoch), zap.String("model", o.Model),
		zap.Bool("loads", o.StartsLoad), zap.Uint64("accepted", accepted), zap.String("reason", o.Reason),
		zap.Int("status", status), zap.Error(err))
	return status == http.StatusAccepted || status == http.StatusOK
}

// missingHead is a head whose registration is gone.
type missingHead struct {
	since time.Time
	// askedAt is when it was last asked whether it still serves.
	askedAt time.Time
	// reachedAt is when it last answered; zero if never.
	reachedAt time.Time
	// vain counts the questions in a row that enough nodes asked in vain.
	vain int
	// left is set once it is known to be out of its group.
	left bool
	// asking is set while a question is under way.
	asking bool
}

const (
	// askInterval is the time between two questions to a head without a
	// registration.
	askInterval = 700 * time.Millisecond
	// vainQuestions is the number of questions in vain that a head counts as
	// gone after.
	vainQuestions = 2
)

// quiet reports whether a head without a registration is known not to serve.
func (d *domain) quiet(id string) bool {
	d.countMu.Lock()
	defer d.countMu.Unlock()

	m, ok := d.missing[id]
	if !ok {
		return false
	}
	last := m.since
	if m.reachedAt.After(last) {
		last = m.reachedAt
	}
	return m.left || m.vain >= vainQuestions || m.askedAt.Sub(last) >= d.config.UnreachableTimeout
}

// ask asks heads without a registration whether they still serve, and orders
// those that do to leave their groups.
func (d *domain) ask(ctx context.Context, suspects []registry.Server, now time.Time) {
	listed := map[string]bool{}
	for _, s := range suspects {
		listed[s.ID] = true
		if d.beginAsking(s.ID, now) {
			term := d.term
			d.tasks.Go(func() error {
				d.askOne(ctx, s, term)
				return nil
			})
		}
	}
	d.countMu.Lock()
	defer d.countMu.Unlock()

	for id, m := range d.missing {
		if !listed[id] && !m.asking && now.Sub(m.askedAt) > leaseDuration {
			delete(d.missing, id)
		}
	}
}

// beginAsking reports whether a head should be asked now.
func (d *domain) beginAsking(id string, now time.Time) bool {
	d.countMu.Lock()
	defer d.countMu.Unlock()

	m, ok := d.missing[id]
	if !ok {
		m.since = now
	}
	ask := !m.asking && now.Sub(m.askedAt) >= askInterval
	m.asking = m.asking || ask
	d.missing[id] = m
	return ask
}

func (d *domain) askOne(ctx context.Context, s registry.Server, term uint64) {
	asking, cancel := context.WithTimeout(ctx, orderTimeout)
	v := d.config.ProbeHead(asking, s)
	cancel()
	now := d.config.Clock.Now()
	left := v.Reached && !serves(s, v.State)
	if v.Reached && !left {
		d.setCount(s, v.State.Accepted, true)
		left = d.giveOne(ctx, formation.Order{
			Server: s, Operation: formation.OperationLeave, Group: s.Group.Name, Epoch: s.Group.Epoch,
			Model: s.Model, Reason: "registration gone, head still serves",
		}, term)
	}
	d.countMu.Lock()
	defer d.countMu.Unlock()

	m := d.missing[s.ID]
	m.asking = false
	m.askedAt = now
	m.left = left
	switch {
	case v.Reached:
		m.reachedAt = now
		m.vain = 0
	case v.Probed >= d.config.ProbeQuorum && v.SameDomain > 0:
		m.vain++
	}
	d.missing[s.ID] = m
	event.HeadAsked.Log(d.config.Logger, zap.String("server", s.ID), zap.Int("asked", v.Probed), zap.Int("near", v.SameDomain), zap.Bool("reached", v.Reached),
		zap.Bool("left", left), zap.Duration("missingFor", now.Sub(m.since)))
}

// serves reports whether a head still is in the group that it was registered
// with.
func serves(s registry.Server, state State) bool {
	sameLife := state.Incarnation == 0 || state.Incarnation == s.Incarnation
	return sameLife && state.Group.Name == s.Group.Name && state.Group.Epoch == s.Group.Epoch &&
		state.Group.State != registry.StateBroken
}
