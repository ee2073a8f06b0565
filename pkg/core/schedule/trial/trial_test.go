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

// capacities holds what capacityOf has measured.
var capacities = make(map[string]float64)

func capacityOf(load Workload) float64 {
	if capacities[load.Name] == 0 {
		capacities[load.Name] = Capacity(load, 1)
	}
	return capacities[load.Name]
}

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
			capacity := capacityOf(load)
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

// TestLongWorkDoesNotHoldUpShortWork holds the rise of the 99th percentile that
// long work brings to a tenth of the objective for the first token.
func TestLongWorkDoesNotHoldUpShortWork(t *testing.T) {
	for _, load := range []Workload{Cartaz(), Sava()} {
		c := overloaded(load, OwnerPerDomain, capacityOf(load))
		c.ConstantDemand, c.Overload = true, 0.8
		with := Run(c).ShortWait.P99
		c.WithoutLong = true
		without := Run(c).ShortWait.P99
		if with-without > firstTokenObjective/10 {
			t.Errorf("%s: short work waits %s beside long work and %s without", load.Name, with, without)
		}
	}
}

// TestPlacingAdaptersAhead holds what the split was taken for: where room is
// short it beats least recent use for both deployments, and costs nothing where
// there is room for all.
func TestPlacingAdaptersAhead(t *testing.T) {
	for _, load := range []Workload{Cartaz(), Sava()} {
		for _, room := range []int{6, 10} {
			recent := RunAdapters(load, AdapterPolicy{Affinity: true, Capacity: room}, 1)
			ahead := RunAdapters(load, AdapterPolicy{Affinity: true, Capacity: room, Proactive: 0.84}, 1)
			if ahead.InTime < recent.InTime-0.005 || (room == 6 && ahead.InTime < recent.InTime+0.1) {
				t.Errorf("%s, room for %d: %.3f in time, %.3f by recent use", load.Name, room, ahead.InTime, recent.InTime)
			}
		}
	}
}

// TestRetryAfterIsHonest has refused callers come back when they were told to:
// most of them have to be served then.
func TestRetryAfterIsHonest(t *testing.T) {
	for _, load := range []Workload{Cartaz(), Sava()} {
		c := overloaded(load, OwnerPerDomain, capacityOf(load))
		c.Retries = 1
		if got := Run(c); got.RetriedGood < 0.5 || got.Goodput < goalGoodput {
			t.Errorf("%s: %.3f of %d retries served, goodput %.3f", load.Name, got.RetriedGood, got.Retried, got.Goodput)
		}
	}
}
