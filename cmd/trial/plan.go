package main

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"almondbay.example/core/schedule/trial"
)

const (
	// peakOverload is the ratio of the demand at the peak to the capacity.
	peakOverload = 2
	// mildOverload is a second peak ratio for the trials with retries, and
	// maxRetries the most retries of one request there.
	mildOverload = 1.5
	maxRetries   = 3
	// constantLoad is the ratio of the constant demand to the capacity in the
	// trials of head-of-line blocking.
	constantLoad = 0.8
	// defaultReportLag is the delay of load reports between nodes.
	defaultReportLag = 250 * time.Millisecond
)

// measurement is one trial to run.
type measurement struct {
	// label names the variant in the output.
	label  string
	config trial.Config
}

// result is a completed trial.
type result struct {
	measurement
	figures trial.Figures
}

func workloadOf(name string) trial.Workload {
	if name == "sava" {
		return trial.Sava()
	}
	return trial.Cartaz()
}

// plan lists the trials of the chosen set.
func (o options) plan() []measurement {
	var plan []measurement
	for _, deployment := range o.Deployments {
		load := workloadOf(deployment)
		for _, nodes := range o.Nodes {
			for _, seed := range o.Seeds {
				base := trial.Config{
					Workload:  load,
					Nodes:     nodes,
					Seed:      seed,
					Overload:  peakOverload,
					ReportLag: defaultReportLag,
					Capacity:  trial.Capacity(load, seed),
				}
				plan = append(plan, o.variants(base)...)
			}
		}
	}
	return plan
}

// variants lists the trials of the chosen set that derive from one configuration.
func (o options) variants(base trial.Config) []measurement {
	switch o.Set {
	case "head":
		return headVariants(base, o.policies(trial.RoundRobin, trial.LeastInFlight, trial.Independent, trial.OwnerPerDomain))
	case "reports":
		return reportVariants(base, o.policies(trial.Independent, trial.OwnerPerDomain))
	case "retries":
		return retryVariants(base, o.policies(trial.OwnerPerDomain))
	case "faults":
		return faultVariants(base, o.policies(trial.RoundRobin, trial.LeastInFlight, trial.Independent, trial.OwnerPerDomain))
	default:
		all := o.policies(
			trial.RoundRobin, trial.LeastInFlight, trial.Independent,
			trial.OwnerPerGroup, trial.OwnerPerDomain, trial.LeasedSlots,
		)
		return forPolicies(base, "crest", all)
	}
}

// forPolicies lists one trial for each policy.
func forPolicies(base trial.Config, label string, policies []trial.Policy) []measurement {
	var list []measurement
	for _, p := range policies {
		c := base
		c.Policy = p
		list = append(list, measurement{label: label, config: c})
	}
	return list
}

// headVariants measures head-of-line blocking: it lists trials with a constant
// demand and with a peak, each with and without long requests.
func headVariants(base trial.Config, policies []trial.Policy) []measurement {
	constant := base
	constant.ConstantDemand = true
	constant.Overload = constantLoad
	list := forPolicies(constant, "steady, long", policies)
	constant.WithoutLong = true
	list = append(list, forPolicies(constant, "steady, no long", policies)...)
	list = append(list, forPolicies(base, "crest, long", policies)...)
	base.WithoutLong = true
	return append(list, forPolicies(base, "crest, no long", policies)...)
}

// reportVariants lists trials with late, lost and wrong load reports.
func reportVariants(base trial.Config, policies []trial.Policy) []measurement {
	var list []measurement
	for _, lag := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		c := base
		c.ReportLag = lag
		list = append(list, forPolicies(c, fmt.Sprintf("lag %s", lag), policies)...)
	}
	for _, loss := range []float64{0.3, 1} {
		c := base
		c.ReportLoss = loss
		list = append(list, forPolicies(c, fmt.Sprintf("lost %.0f%%", 100*loss), policies)...)
	}
	for _, fault := range []trial.Fault{trial.FaultUnderreport, trial.FaultOverreport} {
		c := base
		c.Fault = fault
		list = append(list, forPolicies(c, string(fault), policies)...)
	}
	return list
}

// faultVariants lists trials in which engines become slow, a failure domain fails,
// or nodes leave and join.
func faultVariants(base trial.Config, policies []trial.Policy) []measurement {
	var list []measurement
	for _, fault := range []trial.Fault{trial.FaultSlow, trial.FaultDomainOutage, trial.FaultChurn} {
		c := base
		c.Fault = fault
		list = append(list, forPolicies(c, string(fault), policies)...)
	}
	return list
}

// retryVariants lists trials in which callers retry refused requests after the
// Retry-After of the refusal.
func retryVariants(base trial.Config, policies []trial.Policy) []measurement {
	base.Retries = maxRetries
	mild := base
	mild.Overload = mildOverload
	return append(forPolicies(mild, "retries, 1.5", policies), forPolicies(base, "retries, 2", policies)...)
}

// measure runs the trials, up to parallel at the same time, and returns their
// results in the order of the plan.
func measure(plan []measurement, parallel int) ([]result, error) {
	results := make([]result, len(plan))
	var workers errgroup.Group
	workers.SetLimit(max(1, parallel))
	for i, m := range plan {
		workers.Go(func() error {
			results[i] = result{measurement: m, figures: trial.Run(m.config)}
			return nil
		})
	}
	return results, workers.Wait()
}
