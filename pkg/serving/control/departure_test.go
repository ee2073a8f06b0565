package control

import (
	"testing"
	"testing/synctest"
	"time"

	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
)

// newServingSimulation returns a simulation in which m-0 serves, its row, and the
// process that holds the lease of its fabric domain.
func newServingSimulation(t *testing.T) (s *simulation, r group.Row, holder *process) {
	s = newSimulation(t, *matrixSeed, false, nil, mutant{})
	s.acceptDocument("1", 3)
	for range 20 {
		s.step()
	}
	groups, _ := s.rows()
	r = groups["m-0"].Value
	for _, p := range s.nodes {
		if d := p.controller.domains[r.FabricDomain]; d != nil {
			if _, held := d.heldTerm(s.clock.Now()); held {
				return s, r, p
			}
		}
	}
	t.Fatalf("no process holds the lease of %s", r.FabricDomain)
	return nil, group.Row{}, nil
}

// TestOrderOfPausedProcessTakenForOnTime guards against a check that takes an
// order on its way, held up by a pause in another operation, for one on time.
func TestOrderOfPausedProcessTakenForOnTime(t *testing.T) {
	for name, paused := range map[string]bool{"paused": true, "on time": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				t.Logf("seed %d", *matrixSeed)
				s, r, holder := newServingSimulation(t)
				if paused {
					s.mu.Lock()
					holder.pause(s.clock.Now().Add(pauseDuration))
					s.mu.Unlock()
				}
				s.group.Go(func() error {
					return faultyEngine{p: holder}.Order(t.Context(), r.Members[1], fleet.Order{Term: 1})
				})
				s.schedule.run()
				for range 2 * pauseDuration / tick {
					s.step()
				}
				if got := len(s.violations) == 0; got != paused {
					t.Errorf("got violations %v, want some: %v", s.violations, !paused)
				}
				if left, ok := s.members[r.Members[1]].left[membership{r.ID, r.Epoch}]; !ok || left.lateOrder != paused {
					t.Errorf("got departure %+v (%v) from %s/%d, want one with lateOrder %v", left, ok, r.ID, r.Epoch, paused)
				}
				if !s.converged() {
					t.Error("the fleet did not converge after the order")
				}
				s.stop()
			})
		})
	}
}

// TestLaterOrderExcusesDeparture guards against a check that excuses a member that
// left on time, or longer than proofTTL ago, because of another order.
func TestLaterOrderExcusesDeparture(t *testing.T) {
	tests := map[string]struct {
		// late tells of each order in turn, one tick apart, whether it is late.
		late []bool
		// age is the time since the first of them.
		age  time.Duration
		want int
	}{
		"on time":                        {late: []bool{false}, want: 1},
		"late":                           {late: []bool{true}},
		"late, end of the proof":         {late: []bool{true}, age: proofTTL},
		"late, after the proof":          {late: []bool{true}, age: proofTTL + tick, want: 1},
		"on time, then late":             {late: []bool{false, true}, age: tick, want: 1},
		"late, then on time":             {late: []bool{true, false}, age: proofTTL},
		"late, then late, after a proof": {late: []bool{true, true}, age: proofTTL + tick, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, r, _ := newServingSimulation(t)
				m := s.members[r.Members[1]]
				now := s.clock.Now()
				for i, late := range test.late {
					o := fleet.Order{Group: "other", Epoch: uint64(i + 1)}
					if err := m.receive(o, now.Add(time.Duration(i)*tick), late); err != nil {
						t.Fatal(err)
					}
				}
				s.gateways[0].checkAnswer(r, now.Add(test.age), nil)
				if len(s.violations) != test.want {
					t.Errorf("got violations %v, want %d", s.violations, test.want)
				}
				s.stop()
			})
		})
	}
}
