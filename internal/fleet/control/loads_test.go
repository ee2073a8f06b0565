package control_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/fleet/formation"
	"almondbay.example/internal/fleet/registry"
)

// silentOrders simulates servers that execute orders without a reply while
// silent is set, and refuse orders that expect another order count.
type silentOrders struct {
	mu       sync.Mutex
	silent   bool
	accepted map[string]uint64
	// executed holds the executed orders by server ID.
	executed map[string][]formation.Operation
}

func (o *silentOrders) Send(_ context.Context, order formation.Order, accepted, _ uint64) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()

	id := order.Server.ID
	if accepted != o.accepted[id] {
		return 409, errors.New("order count differs")
	}
	o.accepted[id]++
	o.executed[id] = append(o.executed[id], order.Operation)
	if o.silent {
		return 0, errors.New("no reply")
	}
	return 202, nil
}

func (o *silentOrders) QueryState(_ context.Context, s registry.Server) (control.State, error) {
	o.mu.Lock()
	defer o.mu.Unlock()

	return control.State{Accepted: o.accepted[s.ID]}, nil
}

// countExecuted returns the number of orders that servers have executed.
func (o *silentOrders) countExecuted() int {
	o.mu.Lock()
	defer o.mu.Unlock()

	n := 0
	for _, operations := range o.executed {
		n += len(operations)
	}
	return n
}

// TestOrdersWithoutReplyDoNotBlockOthers covers orders that servers execute
// without a reply (fault pattern applied_late). The controller must query the
// order count of such servers, and loads without a reply must not use up the
// load budget forever.
func TestOrdersWithoutReplyDoNotBlockOthers(t *testing.T) {
	orders := &silentOrders{silent: true, accepted: map[string]uint64{}, executed: map[string][]formation.Operation{}}
	f := newFixtureWith(t, "node", nil, fixtureOptions{orders: orders, serving: true})
	f.register(1, engine("a"), engine("b"), engine("c"), engine("d"), engine("e"))
	f.run(t, 6*time.Second)
	first := orders.countExecuted()
	if first == 0 {
		t.Fatal("no order was executed")
	}
	orders.mu.Lock()
	orders.silent = false
	orders.mu.Unlock()
	f.run(t, 10*time.Second)
	orders.mu.Lock()
	defer orders.mu.Unlock()
	for _, id := range []string{"a", "b", "c", "d"} {
		if len(orders.executed[id]) < 2 {
			t.Errorf("server %s executed %v, want at least 2 orders: an order without a reply blocks later ones", id, orders.executed[id])
		}
	}
}

// refusingOrders simulates servers of which one refuses all orders.
type refusingOrders struct {
	silentOrders
	// refusing is the ID of the server that refuses.
	refusing string
}

func (o *refusingOrders) Send(ctx context.Context, order formation.Order, accepted, term uint64) (int, error) {
	if order.Server.ID == o.refusing {
		return 409, errors.New("order refused")
	}
	return o.silentOrders.Send(ctx, order, accepted, term)
}

// TestRefusedLoadFreesItsBudget guards against counting a refused load as in
// progress, which would block the loads of all other servers.
func TestRefusedLoadFreesItsBudget(t *testing.T) {
	orders := &refusingOrders{
		silentOrders: silentOrders{accepted: map[string]uint64{}, executed: map[string][]formation.Operation{}},
		refusing:     "a",
	}
	f := newFixtureWith(t, "node", nil, fixtureOptions{orders: orders, serving: true, loadsAtOnce: 1})
	f.register(1, engine("a"), engine("b"), engine("c"))
	f.run(t, 10*time.Second)
	if orders.countExecuted() == 0 {
		t.Error("no order was executed: a refused load blocks all others")
	}
}
