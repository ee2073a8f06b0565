package trial

import (
	"testing"
	"time"
)

// Goals at twice the capacity.
const (
	goalGoodput = 0.97
	goalInShare = 0.95
)

func overloaded(load Workload, p Policy, capacity float64) Config {
	return Config{
		Workload:  load,
		Nodes:     20,
		Policy:    p,
		Seed:      1,
		Overload:  2,
		ReportLag: 250 * time.Millisecond,
		Capacity:  capacity,
	}
}

func TestCrestMeetsTheGoals(t *testing.T) {
	for _, load := range []Workload{Cartaz(), Sava()} {
		t.Run(load.Name, func(t *testing.T) {
			capacity := Capacity(load, 1)
			got := Run(overloaded(load, OwnerPerDomain, capacity))
			if got.Goodput < goalGoodput {
				t.Errorf("goodput %.3f of capacity", got.Goodput)
			}
			if got.InShareWorst < goalInShare {
				t.Errorf("%.3f first tokens in time in the worst workspace within its share", got.InShareWorst)
			}
			for _, p := range []Policy{RoundRobin, LeastInFlight} {
				base := Run(overloaded(load, p, capacity))
				if got.Good <= base.Good || got.Goodput <= base.Goodput || got.Fairness <= base.Fairness ||
					got.InShareWorst <= base.InShareWorst || got.ShortWait.P99 >= base.ShortWait.P99 {
					t.Errorf("not better than %s on every line:\n%+v\n%+v", p, got, base)
				}
			}
		})
	}
}

func TestTrialsRepeat(t *testing.T) {
	c := overloaded(Cartaz(), OwnerPerDomain, 17000)
	c.Overload = 1
	if a, b := Run(c), Run(c); a != b {
		t.Errorf("the same seed gave\n%+v\n%+v", a, b)
	}
}
