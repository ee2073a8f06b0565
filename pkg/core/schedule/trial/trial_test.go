package trial

import (
	"testing"
	"time"
)

// Goals at a demand of twice the capacity.
const (
	goalGoodput = 0.97
	goalInShare = 0.95
)

// capacities caches the results of capacityOf.
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

// TestOverloadMeetsGoalsAndBeatsBaselines guards against lost goodput and
// unfair waits at twice the capacity: the owner policy must meet the goals and
// beat both baselines in every figure.
func TestOverloadMeetsGoalsAndBeatsBaselines(t *testing.T) {
	for _, load := range []Workload{Cartaz(), Sava()} {
		t.Run(load.Name, func(t *testing.T) {
			capacity := capacityOf(load)
			got := Run(overloaded(load, OwnerPerDomain, capacity))
			if got.Goodput < goalGoodput {
				t.Errorf("goodput is %.3f of capacity, want at least %.2f", got.Goodput, goalGoodput)
			}
			if got.InShareWorst < goalInShare {
				t.Errorf("worst workspace within its share got %.3f of first tokens in time, want at least %.2f", got.InShareWorst, goalInShare)
			}
			for _, p := range []Policy{RoundRobin, LeastInFlight} {
				base := Run(overloaded(load, p, capacity))
				if got.Good <= base.Good || got.Goodput <= base.Goodput || got.Fairness <= base.Fairness ||
					got.InShareWorst <= base.InShareWorst || got.ShortWait.P99 >= base.ShortWait.P99 {
					t.Errorf("not better than %s in every figure:\n got %+v\nbase %+v", p, got, base)
				}
			}
		})
	}
}

// TestSameSeedGivesSameFigures guards against hidden randomness, which would
// make results impossible to reproduce.
func TestSameSeedGivesSameFigures(t *testing.T) {
	c := overloaded(Cartaz(), OwnerPerDomain, 17000)
	c.Overload = 1
	if a, b := Run(c), Run(c); a != b {
		t.Errorf("two runs with the same seed differ:\n%+v\n%+v", a, b)
	}
}

// TestLongRequestsDoNotDelayShortOnes limits the increase of the 99th
// percentile wait of short requests that long ones cause to a tenth of the
// first-token objective.
func TestLongRequestsDoNotDelayShortOnes(t *testing.T) {
	for _, load := range []Workload{Cartaz(), Sava()} {
		c := overloaded(load, OwnerPerDomain, capacityOf(load))
		c.ConstantDemand, c.Overload = true, 0.8
		with := Run(c).ShortWait.P99
		c.WithoutLong = true
		without := Run(c).ShortWait.P99
		if with-without > firstTokenObjective/10 {
			t.Errorf("%s: P99 wait of short requests is %s with long ones and %s without, want a difference of at most %s", load.Name, with, without, firstTokenObjective/10)
		}
	}
}

// TestProactiveAdapterPlacement guards the benefit of placing adapters in
// advance: with little capacity it beats LRU for both deployments, and with
// capacity for all adapters it is not worse.
func TestProactiveAdapterPlacement(t *testing.T) {
	for _, load := range []Workload{Cartaz(), Sava()} {
		for _, capacity := range []int{6, 10} {
			lru := RunAdapters(load, AdapterPolicy{Affinity: true, Capacity: capacity}, 1)
			proactive := RunAdapters(load, AdapterPolicy{Affinity: true, Capacity: capacity, Proactive: 0.84}, 1)
			if proactive.InTime < lru.InTime-0.005 || (capacity == 6 && proactive.InTime < lru.InTime+0.1) {
				t.Errorf("%s, capacity of %d: fraction in time is %.3f with proactive placement and %.3f with LRU", load.Name, capacity, proactive.InTime, lru.InTime)
			}
		}
	}
}

// TestRetryAfterLeadsToService guards against a Retry-After that is too short:
// most refused callers that retry when told must be served.
func TestRetryAfterLeadsToService(t *testing.T) {
	for _, load := range []Workload{Cartaz(), Sava()} {
		c := overloaded(load, OwnerPerDomain, capacityOf(load))
		c.Retries = 1
		if got := Run(c); got.RetriedGood < 0.5 || got.Goodput < goalGoodput {
			t.Errorf("%s: %.3f of %d retries served and goodput %.3f, want at least 0.5 and %.2f", load.Name, got.RetriedGood, got.Retried, got.Goodput, goalGoodput)
		}
	}
}
