package trial_test

import (
	"flag"
	"testing"
	"time"

	"almondbay.example/core/group/trial"
)

var (
	days  = flag.Int("days", 4, "days of each trial")
	seeds = flag.Uint64("seeds", 1, "seeds of each trial")
)

// deployment is a fleet of 60 VMs in three failure domains.
type deployment struct {
	name string
	// domains leaves spares in each fabric domain; full has no spares.
	domains, full map[string]int
	groups        int
}

var deployments = []deployment{
	{
		name:    "Cartaz, one fabric domain in each failure domain",
		domains: map[string]int{"a": 21, "b": 21, "c": 18},
		full:    map[string]int{"a": 20, "b": 20, "c": 20},
		groups:  14,
	},
	{
		name:    "Sava, two fabric domains in each failure domain",
		domains: map[string]int{"a1": 13, "a2": 9, "b1": 9, "b2": 9, "c1": 9, "c2": 11},
		full:    map[string]int{"a1": 12, "a2": 8, "b1": 12, "b2": 8, "c1": 12, "c2": 8},
		groups:  13,
	},
}

// rates holds failures per VM and day: 120 failures among 8,900 VMs, without
// and with 590 restarts.
var rates = map[string]trial.Rates{
	"failures":              {Losses: 120. / 8900},
	"failures and restarts": {Losses: 120. / 8900, Restarts: 590. / 8900},
}

// TestRepairDowntimeAndStrandedVMs guards against repairs that take longer than detecting the
// loss and loading one member, and against more than 3 % of the VMs left
// unused. For comparison it logs a rebuild of whole groups and a fleet without
// spares.
func TestRepairDowntimeAndStrandedVMs(t *testing.T) {
	const span, vms = 4, 60
	for _, d := range deployments {
		for name, r := range rates {
			spares := vms - span*d.groups
			policy := trial.RepairConfig{Domains: d.domains, Groups: d.groups, Span: span, Spares: spares, Rates: r}
			whole := policy
			whole.ReloadAll = true
			none := trial.RepairConfig{Domains: d.full, Groups: vms / span, Span: span, Rates: r}
			t.Logf("%s, %s", d.name, name)
			f := measure(t, "spares and repair", policy)
			measure(t, "rebuild whole group", whole)
			measure(t, "no spares", none)
			if goal := trial.Detection() + trial.LoadTime(); f.PerLoss() > goal {
				t.Errorf("downtime per loss %v, want at most %v", f.PerLoss(), goal)
			}
			if f.Stranded > 0.03 {
				t.Errorf("%.2f%% of the VMs stranded beyond the spares, want at most 3%%", 100*f.Stranded)
			}
		}
	}
}

func measure(t *testing.T, name string, c trial.RepairConfig) trial.Result {
	t.Helper()
	c.Length = time.Duration(*days) * 24 * time.Hour
	var all trial.Result
	for seed := range *seeds {
		c.Seed = seed
		f, err := trial.Measure(c)
		if err != nil {
			t.Fatal(err)
		}
		all.Losses += f.Losses
		all.Downtime += f.Downtime
		all.Stranded += f.Stranded / float64(*seeds)
		all.Outages = append(all.Outages, f.Outages...)
	}
	all.Sort()
	t.Logf("%-18s losses %4d, downtime per loss %8v, outage p50/p99 %v/%v, stranded beyond spares %.3f%%, spares %.1f%%",
		name, all.Losses, all.PerLoss().Round(time.Second), all.Quantile(0.5), all.Quantile(0.99),
		100*all.Stranded, 100*float64(c.Spares)/60)
	return all
}
