package main

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"almondbay.example/core/schedule/trial"
)

const (
	// overload is the demand at the crest over the capacity.
	overload = 2
	// mildOverload is a second demand that retries are measured at, and
	// maxRetries how often a caller comes back.
	mildOverload = 1.5
	maxRetries   = 3
	// steady is the demand over the capacity when head-of-line blocking is
	// measured.
	steady = 0.8
	// usualLag is the age of a load report when it arrives.
	usualLag = 250 * time.Millisecond
)

// measurement is one trial to run.
type measurement struct {
	// label tells what is special about the trial.
	label  string
	config trial.Config
}

// result is a trial that has run.
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
					Overload:  overload,
					ReportLag: usualLag,
					Capacity:  trial.Capacity(load, seed),
				}
				plan = append(plan, o.variants(base)...)
			}
		}
	}
	return plan
}

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
		return forEach(base, "crest", all)
	}
}

func forEach(base trial.Config, label string, policies []trial.Policy) []measurement {
	var list []measurement
	for _, p := range policies {
		c := base
		c.Policy = p
		list = append(list, measurement{label: label, config: c})
	}
	return list
}

// headVariants compare a steady load, and the crest, with the same load without
// its long requests.
func headVariants(base trial.Config, policies []trial.Policy) []measurement {
	flat := base
	flat.ConstantDemand = true
	flat.Overload = steady
	list := forEach(flat, "steady, long", policies)
	flat.WithoutLong = true
	list = append(list, forEach(flat, "steady, no long", policies)...)
	list = append(list, forEach(base, "crest, long", policies)...)
	base.WithoutLong = true
	return append(list, forEach(base, "crest, no long", policies)...)
}

func reportVariants(base trial.Config, policies []trial.Policy) []measurement {
	var list []measurement
	for _, lag := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		c := base
		c.ReportLag = lag
		list = append(list, forEach(c, fmt.Sprintf("lag %s", lag), policies)...)
	}
	for _, loss := range []float64{0.3, 1} {
		c := base
		c.ReportLoss = loss
		list = append(list, forEach(c, fmt.Sprintf("lost %.0f%%", 100*loss), policies)...)
	}
	for _, fault := range []trial.Fault{trial.FaultUnderreport, trial.FaultOverreport} {
		c := base
		c.Fault = fault
		list = append(list, forEach(c, string(fault), policies)...)
	}
	return list
}

func faultVariants(base trial.Config, policies []trial.Policy) []measurement {
	var list []measurement
	for _, fault := range []trial.Fault{trial.FaultSlow, trial.FaultDomainOutage, trial.FaultChurn} {
		c := base
		c.Fault = fault
		list = append(list, forEach(c, string(fault), policies)...)
	}
	return list
}

// retryVariants have refused callers come back as they were told to.
func retryVariants(base trial.Config, policies []trial.Policy) []measurement {
	base.Retries = maxRetries
	mild := base
	mild.Overload = mildOverload
	return append(forEach(mild, "retries, 1.5", policies), forEach(base, "retries, 2", policies)...)
}

// measure runs the trials, some at the same time.
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
