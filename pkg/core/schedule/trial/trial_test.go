package trial

import "testing"

func TestTry(t *testing.T) {
	for _, load := range []Workload{Cartaz(), Sava()} {
		capacity := Capacity(load, 1)
		t.Logf("%s capacity %.0f mean %.0f", load.Name, capacity, load.meanWork())
		for _, p := range []Policy{RoundRobin, LeastInFlight, Independent, OwnerPerGroup, OwnerPerDomain, Lent} {
			f := Run(Config{Workload: load, Nodes: 20, Policy: p, Seed: 1, Overload: 2, ReportLag: 250e6, Capacity: capacity})
			t.Logf("%-15s %+v", p, f)
		}
	}
}
