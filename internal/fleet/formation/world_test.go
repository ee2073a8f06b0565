package formation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"almondbay.example/internal/fleet/formation"
	"almondbay.example/internal/fleet/registry"
)

// engine is a backend server of the model world. Orders may reach it late, or
// after it has started anew.
type engine struct {
	registry.Server
	alive bool
	// cut engines serve on but renew no registration.
	cut      bool
	accepted uint64
	joinAt   int
}

// pendingOrder is an order on its way.
type pendingOrder struct {
	formation.Order
	accepted uint64
	at       int
}

// world plays servers under a controller that may be replaced at any time.
type world struct {
	t       *testing.T
	random  *rand.Rand
	now     int
	engines map[string]*engine
	// order lists the engines, so that a seed always plays the same.
	order   []*engine
	pending []pendingOrder
	plan    formation.Plan
	// ready holds the members that were ever ready by group and epoch.
	ready map[string]bool
	lists map[string][]string
}

func (w *world) time() time.Time { return noon.Add(time.Duration(w.now) * 100 * time.Millisecond) }

func (w *world) view() formation.View {
	v := view(w.plan)
	v.Now = w.time()
	for _, e := range w.order {
		r := registry.Record{Server: e.Server, SeenAt: noon.Add(-time.Minute), ChangedAt: w.time()}
		if !e.alive || e.cut {
			r.MissingSince = w.time().Add(-time.Minute)
		}
		v.Servers.Servers = append(v.Servers.Servers, r)
	}
	// A head that is cut off from the store can still be asked.
	v.HeadStopped = func(id string) bool { return !w.engines[id].alive }
	return v
}

// carryOut carries out an order as the contract says, if it still fits.
func (w *world) carryOut(o pendingOrder) {
	e := w.engines[o.Server.ID]
	if !e.alive || e.accepted != o.accepted || e.Group.Epoch > o.Epoch && o.Operation == formation.OperationJoin {
		return
	}
	mine := e.Group.Name == o.Group && e.Group.Epoch == o.Epoch
	switch o.Operation {
	case formation.OperationJoin:
		w.checkLeft(e, o)
		rank := 0
		for i, m := range o.Members {
			if m == e.ID {
				rank = i
			}
		}
		e.Group = registry.Membership{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: registry.StateJoining}
		e.Model = o.Model
		e.Staged = []string{o.Model}
		e.joinAt = w.now + 1 + w.random.IntN(5)
		w.lists[o.Group] = o.Members
	case formation.OperationOpen:
		if !mine || e.Group.State != registry.StateReady {
			return
		}
		w.checkWhole(o)
		e.Group.State = registry.StateOpen
	case formation.OperationClose:
		if mine && e.Group.State == registry.StateOpen {
			e.Group.State = registry.StateReady
		}
	case formation.OperationLeave:
		if mine {
			e.Group = registry.Membership{}
		}
	case formation.OperationStage:
		e.Staged = []string{o.Model}
	}
	e.accepted++
}

// checkLeft fails when a server joins a group while the head of its own serves.
func (w *world) checkLeft(e *engine, o pendingOrder) {
	if e.Group.Name == "" || e.Group.Name == o.Group {
		return
	}
	head := w.engines[w.lists[e.Group.Name][0]]
	if head.alive && head.In(e.Group.Name, e.Group.Epoch) && head.Group.State == registry.StateOpen {
		w.t.Fatalf("step %d: %s joins %s while the head of %s is open", w.now, e.ID, o.Group, e.Group.Name)
	}
}

// checkWhole fails when a head is opened though a member never was ready.
func (w *world) checkWhole(o pendingOrder) {
	for _, m := range w.lists[o.Group] {
		if !w.ready[fmt.Sprint(o.Group, o.Epoch, m)] {
			w.t.Fatalf("step %d: %s opens though %s never was ready", w.now, o.Group, m)
		}
	}
}

func (w *world) step() {
	w.now++
	for _, e := range w.order {
		if e.Group.State == registry.StateJoining && w.now >= e.joinAt {
			e.Group.State = registry.StateReady
			w.ready[fmt.Sprint(e.Group.Name, e.Group.Epoch, e.ID)] = true
		}
	}
	rest := w.pending[:0]
	for _, o := range w.pending {
		if o.at <= w.now {
			w.carryOut(o)
		} else {
			rest = append(rest, o)
		}
	}
	w.pending = rest
	w.disturb()
	d := formation.Decide(w.view())
	if d.Changed {
		if w.random.IntN(5) == 0 {
			return
		}
		w.plan = d.Plan
	}
	for _, s := range d.UnregisteredHeads {
		// A head that answers is ordered out directly.
		e := w.engines[s.ID]
		if e.alive {
			e.Group = registry.Membership{}
			e.accepted++
		}
	}
	for _, o := range d.Orders {
		late := 0
		if w.random.IntN(4) == 0 {
			late = w.random.IntN(60)
		}
		w.pending = append(w.pending, pendingOrder{Order: o, accepted: w.engines[o.Server.ID].accepted, at: w.now + late})
	}
}

// disturb crashes, restarts, cuts off and drains servers.
func (w *world) disturb() {
	for _, e := range w.order {
		switch w.random.IntN(150) {
		case 0:
			e.alive = false
		case 1:
			if !e.alive {
				e.alive, e.cut, e.Draining = true, false, false
				e.Incarnation++
				e.accepted = 0
				e.Group = registry.Membership{}
				e.Model = ""
			}
		case 2:
			e.cut = !e.cut
		case 3:
			e.Draining = !e.Draining
		}
	}
}

// TestNoMemberTwiceAndNoGroupInPart plays servers that crash, return, are cut
// off from the store and carry orders out late.
func TestNoMemberTwiceAndNoGroupInPart(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := &world{
				t: t, random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{},
				ready: map[string]bool{}, lists: map[string][]string{},
			}
			for i := range 10 {
				id := fmt.Sprintf("s%d", i)
				e := &engine{Server: server(id).Server, alive: true}
				w.engines[id] = e
				w.order = append(w.order, e)
			}
			for range 400 {
				w.step()
			}
		})
	}
}
