package control_test

import (
	"context"
	"testing"
	"time"

	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/fleet/formation"
	"almondbay.example/internal/fleet/registry"
)

// joined returns a copy of an engine that is a member of the group of a join order.
func joined(e *registry.Server, o formation.Order, state registry.GroupState) *registry.Server {
	next := *e
	next.Model = o.Model
	next.Staged = []string{o.Model}
	next.Group = registry.Membership{Name: o.Group, Epoch: o.Epoch, State: state}
	if e.ID != o.Members[0] {
		next.Group.Rank = 1
		next.Group.State = registry.StateReady
	}
	return &next
}

// takeOrders returns the orders that were sent since the last call.
func (f *fixture) takeOrders() []formation.Order {
	var orders []formation.Order
	for len(f.orders.sent) > 0 {
		orders = append(orders, <-f.orders.sent)
	}
	return orders
}

// openGroup has the controller form a group of two engines and registers it as open. It
// returns the head and the other member.
func openGroup(t *testing.T, f *fixture) (head, member *registry.Server) {
	t.Helper()
	a, b := engine("a"), engine("b")
	f.register(1, a, b)
	f.run(t, 3*time.Second)
	orders := f.takeOrders()
	if len(orders) == 0 || orders[0].Operation != formation.OperationJoin {
		t.Fatalf("got orders %+v, want joins of a group", orders)
	}
	head, member = joined(a, orders[0], registry.StateOpen), joined(b, orders[0], registry.StateOpen)
	if head.Group.Rank != 0 {
		head, member = member, head
	}
	f.register(2, head, member)
	f.run(t, time.Second)
	f.takeOrders()
	return head, member
}

// joinsElsewhere reports whether an order has a server join a group other than its own.
func joinsElsewhere(orders []formation.Order, s *registry.Server) bool {
	for _, o := range orders {
		if o.Server.ID == s.ID && o.Operation == formation.OperationJoin && o.Group != s.Group.Name {
			return true
		}
	}
	return false
}

// TestMemberOfHeadThatRefusesConnectionsIsNotJoinedElsewhere guards against members that
// join another group while their head, which left unseen and accepts nothing new, still works.
func TestMemberOfHeadThatRefusesConnectionsIsNotJoinedElsewhere(t *testing.T) {
	const maxWork = 10 * time.Second
	f := newFixtureWith(t, "node", nil, fixtureOptions{
		// Six nodes asked it, and its address refused all of them.
		probe: func(registry.Server) control.ProbeResult {
			return control.ProbeResult{Probed: 6, Refused: 6}
		},
	})
	head, member := openGroup(t, f)
	spare := engine("c")
	spare.Staged = member.Staged
	f.register(3, member, spare)
	f.run(t, maxWork)
	if orders := f.takeOrders(); joinsElsewhere(orders, member) {
		t.Errorf("%s joined another group less than %s after its head %s refused a connection: %+v", member.ID, maxWork, head.ID, orders)
	}
	f.run(t, 3*time.Second)
	if orders := f.takeOrders(); !joinsElsewhere(orders, member) {
		t.Errorf("%s did not join another group once its head can no longer work: %+v", member.ID, orders)
	}
}

// reachableOrders accepts all orders and answers state queries.
type reachableOrders struct {
	*orderRecorder
}

func (reachableOrders) QueryState(context.Context, registry.Server) (control.State, error) {
	return control.State{Accepted: 1, Incarnation: 1}, nil
}

// TestHeadThatNoNodeSawIsProbed guards against members that stay bound for ever: after a
// restart of all nodes, none has ever seen a head whose registration is missing.
func TestHeadThatNoNodeSawIsProbed(t *testing.T) {
	first := newFixture(t, "first", nil)
	head, member := openGroup(t, first)
	var probed []registry.Server
	orders := &orderRecorder{sent: make(chan formation.Order, 100)}
	restarted := newFixtureWith(t, "second", first, fixtureOptions{
		orders: reachableOrders{orders},
		probe: func(s registry.Server) control.ProbeResult {
			probed = append(probed, s)
			return control.ProbeResult{Probed: 6, Replies: []control.State{{Incarnation: head.Incarnation}}}
		},
	})
	spare := engine("c")
	spare.Staged = member.Staged
	restarted.register(3, member, spare)
	restarted.run(t, 15*time.Second)
	if len(probed) == 0 || probed[0].ID != head.ID || probed[0].Address != head.Address || probed[0].Incarnation != head.Incarnation {
		t.Fatalf("got probes of %+v, want one of %+v", probed, head)
	}
	restarted.orders = orders
	if orders := restarted.takeOrders(); !joinsElsewhere(orders, member) {
		t.Errorf("%s stayed bound to a head that said that it is in no group: %+v", member.ID, orders)
	}
}

// TestGroupOfSilentHeadIsBroken guards against members that idle for as long as a silent head
// may work: one leaves the group, so that it breaks, and none joins another group before.
func TestGroupOfSilentHeadIsBroken(t *testing.T) {
	f := newFixtureWith(t, "node", nil, fixtureOptions{
		probe: func(registry.Server) control.ProbeResult { return control.ProbeResult{Probed: 6, Witnesses: 6} },
	})
	head, member := openGroup(t, f)
	spare := engine("c")
	spare.Staged = member.Staged
	f.register(3, member, spare)
	f.run(t, 2*time.Second)
	left := false
	for _, o := range f.takeOrders() {
		left = left || o.Operation == formation.OperationLeave && o.Server.ID == member.ID && o.Epoch == member.Group.Epoch
	}
	if !left {
		t.Fatalf("%s was not ordered to leave the group of the silent head %s", member.ID, head.ID)
	}
	out := *member
	out.Group = registry.Membership{}
	f.register(4, &out, spare)
	f.run(t, groupStall-2*time.Second)
	if orders := f.takeOrders(); joinsElsewhere(orders, member) {
		t.Errorf("%s joined another group before that of its head can be broken: %+v", member.ID, orders)
	}
	f.run(t, 3*time.Second)
	if orders := f.takeOrders(); !joinsElsewhere(orders, member) {
		t.Errorf("%s did not join another group once that of its head is broken: %+v", member.ID, orders)
	}
}

// TestGroupOfWorkingHeadIsNotBroken guards against streams that are lost since a member leaves
// the group of a head that finishes them.
func TestGroupOfWorkingHeadIsNotBroken(t *testing.T) {
	f := newFixtureWith(t, "node", nil, fixtureOptions{
		probe: func(registry.Server) control.ProbeResult {
			return control.ProbeResult{Probed: 6, Refused: 6}
		},
	})
	_, member := openGroup(t, f)
	f.register(3, member)
	f.run(t, 8*time.Second)
	for _, o := range f.takeOrders() {
		if o.Operation == formation.OperationLeave {
			t.Errorf("%s was ordered to leave", o.Server.ID)
		}
	}
}

// statefulOrders accepts all orders; servers answer state queries with the state that is set.
type statefulOrders struct {
	*orderRecorder
	states map[string]control.State
}

func (o statefulOrders) QueryState(_ context.Context, s registry.Server) (control.State, error) {
	return o.states[s.ID], nil
}

// TestLateReportDoesNotReleaseOpenHead guards against members, the head among them, that join
// another group while the head is open: the store wrote a report late in which the head
// still joined, or had not joined yet, while a member begins to drain.
func TestLateReportDoesNotReleaseOpenHead(t *testing.T) {
	tests := []struct {
		name string
		late func(head *registry.Server)
	}{
		{"still joining", func(head *registry.Server) { head.Group.State = registry.StateJoining }},
		{"not yet joined", func(head *registry.Server) { head.Group = registry.Membership{} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			orders := statefulOrders{&orderRecorder{sent: make(chan formation.Order, 100)}, map[string]control.State{}}
			f := newFixtureWith(t, "node", nil, fixtureOptions{orders: orders})
			f.orders = orders.orderRecorder
			head, member := openGroup(t, f)
			orders.states[head.ID] = control.State{Accepted: 2, Incarnation: head.Incarnation, Group: head.Group}
			late, leaving, spare := *head, *member, engine("c")
			tt.late(&late)
			leaving.Draining = true
			spare.Staged = member.Staged
			f.register(3, &late, &leaving, spare)
			f.run(t, time.Second)
			for _, o := range f.takeOrders() {
				if o.Server.ID == head.ID {
					t.Errorf("the open head was ordered to %s group %s on a late report", o.Operation, o.Group)
				}
			}
			f.register(4, head, &leaving, spare)
			f.run(t, time.Second)
			closed := false
			for _, o := range f.takeOrders() {
				closed = closed || o.Server.ID == head.ID && o.Operation == formation.OperationClose
			}
			if !closed {
				t.Error("the head was not ordered to close once its present report was read")
			}
			out := *head
			out.Group = registry.Membership{}
			orders.states[head.ID] = control.State{Accepted: 4, Incarnation: head.Incarnation}
			f.register(5, &out, &leaving, spare)
			f.run(t, 2*time.Second)
			if sent := f.takeOrders(); !joinsElsewhere(sent, head) {
				t.Errorf("%s did not join another group after it said that it left: %+v", head.ID, sent)
			}
		})
	}
}
