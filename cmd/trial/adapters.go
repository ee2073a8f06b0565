package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"almondbay.example/core/schedule/trial"
)

// adapterResult is a completed adapter trial.
type adapterResult struct {
	deployment string
	seed       uint64
	policy     trial.AdapterPolicy
	figures    trial.AdapterFigures
}

func adapterPolicies() []trial.AdapterPolicy {
	var list []trial.AdapterPolicy
	for _, capacity := range []int{6, 10} {
		list = append(
			list,
			trial.AdapterPolicy{Name: "demand, LRU", Capacity: capacity},
			trial.AdapterPolicy{Name: "affinity, LRU", Affinity: true, Capacity: capacity},
		)
		for _, proactive := range []float64{0.34, 0.5, 0.84} {
			name := fmt.Sprintf("affinity, %.0f%% ahead", 100*proactive)
			list = append(list, trial.AdapterPolicy{Name: name, Affinity: true, Proactive: proactive, Capacity: capacity})
		}
	}
	return list
}

func (o options) measureAdapters() []adapterResult {
	var results []adapterResult
	for _, deployment := range o.Deployments {
		for _, seed := range o.Seeds {
			for _, p := range adapterPolicies() {
				results = append(results, adapterResult{
					deployment: deployment,
					seed:       seed,
					policy:     p,
					figures:    trial.RunAdapters(workloadOf(deployment), p, seed),
				})
			}
		}
	}
	return results
}

func writeAdapters(w io.Writer, results []adapterResult, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		for _, r := range results {
			if err := encoder.Encode(wireAdapterResultOf(r)); err != nil {
				return err
			}
		}
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "deployment\tseed\troom\tpolicy\trequests\tin time\thit\tloads\twait50\twait95\twait99\t")
	for _, r := range results {
		f := r.figures
		_, _ = fmt.Fprintf(
			t, "%s\t%d\t%d\t%s\t%d\t%.3f\t%.3f\t%d\t%s\t%s\t%s\t\n",
			r.deployment, r.seed, r.policy.Capacity, r.policy.Name, f.Requests, f.InTime, f.Hit, f.Loads,
			millisText(f.Wait.P50), millisText(f.Wait.P95), millisText(f.Wait.P99),
		)
	}
	return t.Flush()
}
