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

// lateOrders are servers that carry orders out without an answer while silent,
// and refuse those that expect another count.
type lateOrders struct {
	mu       sync.Mutex
	silent   bool
	accepted map[string]uint64
	// taken holds the orders that were carried out, by server.
	taken map[string][]formation.Operation
}

func (o *lateOrders) Send(_ context.Context, order formation.Order, accepted, _ uint64) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()

	id := order.Server.ID
	if accepted != o.accepted[id] {
		return 409, errors.New("count differs")
	}
	o.accepted[id]++
	o.taken[id] = append(o.taken[id], order.Operation)
	if o.silent {
		return 0, errors.New("no answer")
	}
	return 202, nil
}

func (o *lateOrders) QueryState(_ context.Context, s registry.Server) (control.State, error) {
	o.mu.Lock()
	defer o.mu.Unlock()

	return control.State{Accepted: o.accepted[s.ID]}, nil
}

// given returns the number of orders that servers have carried out.
func (o *lateOrders) given() int {
	o.mu.Lock()
	defer o.mu.Unlock()

	n := 0
	for _, operations := range o.taken {
		n += len(operations)
	}
	return n
}

// TestOrdersWithoutAnswer answers the pattern applied_late: servers whose orders
// got no answer are asked for their count, and what was lost doesn't take the
// place of other loads for good.
func TestOrdersWithoutAnswer(t *testing.T) {
	orders := &lateOrders{silent: true, accepted: map[string]uint64{}, taken: map[string][]formation.Operation{}}
	r := newRigWith(t, "node", nil, rigOptions{orders: orders, serving: true})
	r.register(1, engine("a"), engine("b"), engine("c"), engine("d"), engine("e"))
	r.run(t, 6*time.Second)
	first := orders.given()
	if first == 0 {
		t.Fatal("nothing was ordered")
	}
	orders.mu.Lock()
	orders.silent = false
	orders.mu.Unlock()
	r.run(t, 10*time.Second)
	orders.mu.Lock()
	defer orders.mu.Unlock()
	for _, id := range []string{"a", "b", "c", "d"} {
		if len(orders.taken[id]) < 2 {
			t.Errorf("server %s carried out %v: an order that it took in silence blocks all others", id, orders.taken[id])
		}
	}
}

// refusingOrders are servers that refuse all orders to one of them.
type refusingOrders struct {
	lateOrders
	refuses string
}

func (o *refusingOrders) Send(ctx context.Context, order formation.Order, accepted, term uint64) (int, error) {
	if order.Server.ID == o.refuses {
		return 409, errors.New("does not fit")
	}
	return o.lateOrders.Send(ctx, order, accepted, term)
}

// TestRefusedLoadsLeaveRoom has a server refuse to load: the loads at once are
// for the others then.
func TestRefusedLoadsLeaveRoom(t *testing.T) {
	orders := &refusingOrders{
		lateOrders: lateOrders{accepted: map[string]uint64{}, taken: map[string][]formation.Operation{}},
		refuses:    "a",
	}
	r := newRigWith(t, "node", nil, rigOptions{orders: orders, serving: true, loadsAtOnce: 1})
	r.register(1, engine("a"), engine("b"), engine("c"))
	r.run(t, 10*time.Second)
	if orders.given() == 0 {
		t.Error("a load that was refused blocks all others")
	}
}
