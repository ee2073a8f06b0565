package formation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"almondbay.example/internal/fleet/formation"
	"almondbay.example/internal/fleet/registry"
)

// engine is a simulated backend server. Orders may arrive late, or after a
// restart.
type engine struct {
	registry.Server
	alive bool
	// partitioned engines continue to serve but can't renew their registration.
	partitioned bool
	// accepted counts the orders that this incarnation has accepted.
	accepted uint64
	// joinAt is the step at which the current join completes.
	joinAt int
	// reports holds what the server reported in the last lateSteps steps.
	reports []registry.Server
}

// lateSteps is how late the store may perform the write of a report.
const lateSteps = 60

// pendingOrder is an order in transit.
type pendingOrder struct {
	formation.Order
	// accepted is the order count that the sender expects of the server.
	accepted uint64
	// at is the step at which the order arrives.
	at int
}

// simulation runs servers and a controller that keeps no state but its plan.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	now     int
	engines map[string]*engine
	// ordered lists the engines in a fixed order, so that a seed is reproducible.
	ordered []*engine
	pending []pendingOrder
	plan    formation.Plan
	// ready records the members that have been ready, by group and epoch.
	ready map[string]bool
	// members holds the member IDs of each group by rank.
	members map[string][]string
	// lateReports is set if the controller may read a report that the store wrote late.
	lateReports bool
}

func (s *simulation) time() time.Time { return noon.Add(time.Duration(s.now) * 100 * time.Millisecond) }

func (s *simulation) view() formation.View {
	v := view(s.plan)
	v.Now = s.time()
	for _, e := range s.ordered {
		r := registry.Record{Server: e.Server, SeenAt: noon.Add(-time.Minute), ChangedAt: s.time()}
		if s.lateReports && len(e.reports) > 0 && s.random.IntN(10) == 0 {
			r.Server = e.reports[s.random.IntN(len(e.reports))]
		}
		if !e.alive || e.partitioned {
			r.MissingSince = s.time().Add(-time.Minute)
		}
		v.Servers.Servers = append(v.Servers.Servers, r)
	}
	// A head that is partitioned from the store can still be probed.
	v.HeadStopped = func(r registry.Record) bool {
		e := s.engines[r.ID]
		return !e.alive || !e.In(r.Group.Name, r.Group.Epoch) || e.Group.State == registry.StateJoining
	}
	return v
}

// execute executes an order as a server does: it ignores orders that expect
// another order count or join a group with a lower epoch.
func (s *simulation) execute(o pendingOrder) {
	e := s.engines[o.Server.ID]
	if !e.alive || e.accepted != o.accepted || e.Group.Epoch > o.Epoch && o.Operation == formation.OperationJoin {
		return
	}
	inGroup := e.Group.Name == o.Group && e.Group.Epoch == o.Epoch
	switch o.Operation {
	case formation.OperationJoin:
		s.checkHeadStopped(e, o)
		rank := 0
		for i, m := range o.Members {
			if m == e.ID {
				rank = i
			}
		}
		e.Group = registry.Membership{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: registry.StateJoining}
		e.Model = o.Model
		e.Staged = []string{o.Model}
		e.joinAt = s.now + 1 + s.random.IntN(5)
		s.members[o.Group] = o.Members
	case formation.OperationOpen:
		if !inGroup || e.Group.State != registry.StateReady {
			return
		}
		s.checkAllReady(o)
		e.Group.State = registry.StateOpen
	case formation.OperationClose:
		if inGroup && e.Group.State == registry.StateOpen {
			e.Group.State = registry.StateReady
		}
	case formation.OperationLeave:
		if inGroup {
			e.Group = registry.Membership{}
		}
	case formation.OperationStage:
		e.Staged = []string{o.Model}
	}
	e.accepted++
}

// checkHeadStopped fails the test if a server joins a group while the head of
// its current group serves.
func (s *simulation) checkHeadStopped(e *engine, o pendingOrder) {
	if e.Group.Name == "" || e.Group.Name == o.Group {
		return
	}
	head := s.engines[s.members[e.Group.Name][0]]
	if head.alive && head.In(e.Group.Name, e.Group.Epoch) && head.Group.State == registry.StateOpen {
		s.t.Fatalf("step %d: %s joins %s while the head of %s is open", s.now, e.ID, o.Group, e.Group.Name)
	}
}

// checkAllReady fails the test if a head is opened before every member has been
// ready.
func (s *simulation) checkAllReady(o pendingOrder) {
	for _, m := range s.members[o.Group] {
		if !s.ready[fmt.Sprint(o.Group, o.Epoch, m)] {
			s.t.Fatalf("step %d: %s opens although member %s has never been ready", s.now, o.Group, m)
		}
	}
}

// step advances the simulation by 100 ms: it completes joins, delivers orders,
// injects faults and runs the controller once.
func (s *simulation) step() {
	s.now++
	for _, e := range s.ordered {
		e.reports = append(e.reports, e.Server)
		e.reports = e.reports[max(0, len(e.reports)-lateSteps):]
		if e.Group.State == registry.StateJoining && s.now >= e.joinAt {
			e.Group.State = registry.StateReady
			s.ready[fmt.Sprint(e.Group.Name, e.Group.Epoch, e.ID)] = true
		}
	}
	remaining := s.pending[:0]
	for _, o := range s.pending {
		if o.at <= s.now {
			s.execute(o)
		} else {
			remaining = append(remaining, o)
		}
	}
	s.pending = remaining
	s.injectFaults()
	d := formation.Decide(s.view())
	if d.Changed {
		if s.random.IntN(5) == 0 {
			return
		}
		s.plan = d.Plan
	}
	for _, h := range d.UnregisteredHeads {
		// The controller orders a head that answers a probe to leave its group.
		e := s.engines[h.ID]
		if e.alive {
			e.Group = registry.Membership{}
			e.accepted++
		}
	}
	for _, o := range d.Orders {
		delay := 0
		if s.random.IntN(4) == 0 {
			delay = s.random.IntN(60)
		}
		s.pending = append(s.pending, pendingOrder{Order: o, accepted: s.engines[o.Server.ID].accepted, at: s.now + delay})
	}
}

// injectFaults crashes, restarts, partitions and drains servers at random.
func (s *simulation) injectFaults() {
	for _, e := range s.ordered {
		switch s.random.IntN(150) {
		case 0:
			e.alive = false
		case 1:
			if !e.alive {
				e.alive, e.partitioned, e.Draining = true, false, false
				e.Incarnation++
				e.accepted = 0
				e.Group = registry.Membership{}
				e.Model = ""
			}
		case 2:
			e.partitioned = !e.partitioned
		case 3:
			e.Draining = !e.Draining
		}
	}
}

// TestInvariantsHoldUnderRandomFaults guards against a server in two serving
// groups and a head that serves an incomplete group. Servers crash, restart,
// lose the connection to the store and execute orders late.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	playSeeds(t, false)
}

// TestInvariantsHoldUnderLateReports guards against the same if the controller reads reports
// of its servers that are seconds old, of an ended life too, as after a late write of the
// store.
func TestInvariantsHoldUnderLateReports(t *testing.T) {
	playSeeds(t, true)
}

// playSeeds plays the simulation with many seeds.
func playSeeds(t *testing.T, lateReports bool) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := &simulation{
				t: t, random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{},
				ready: map[string]bool{}, members: map[string][]string{}, lateReports: lateReports,
			}
			for i := range 10 {
				id := fmt.Sprintf("s%d", i)
				e := &engine{Server: server(id).Server, alive: true}
				s.engines[id] = e
				s.ordered = append(s.ordered, e)
			}
			for range 400 {
				s.step()
			}
		})
	}
}
