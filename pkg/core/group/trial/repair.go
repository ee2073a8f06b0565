package trial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"almondbay.example/core/document"
)

const day = 24 * time.Hour

// Rates holds the number of failures per VM and day.
type Rates struct {
	// Losses is the number of permanent failures of the VM.
	Losses float64
	// Restarts is the number of restarts of the VM.
	Restarts float64
}

// RepairConfig configures a measurement of downtime and stranded accelerators.
type RepairConfig struct {
	// Domains is the number of VMs in each fabric domain.
	Domains map[string]int
	Groups  int
	Span    int
	// Spares is the total number of spares in all fabric domains.
	Spares int
	Rates  Rates
	Length time.Duration
	Seed   uint64
	// ReloadAll makes all members load again in each repair: the baseline,
	// which rebuilds the whole group.
	ReloadAll bool
}

// Durations in the simulation.
const (
	// loadTime is the time to load weights while no other member loads.
	loadTime = 2 * time.Minute
	// storeInterval is Fleet.StoreInterval.
	storeInterval = time.Minute
	restartTime   = 45 * time.Second
	// delistAfter is how long the platform keeps a failed VM in its list.
	delistAfter = time.Minute
	replacement = 10 * time.Minute
	// settleTime is the time without a plan after which the fleet stays
	// unchanged until the next event. It is longer than every timeout of the
	// policy except those for loading.
	settleTime = 90 * time.Second
)

// Result holds the results of a measurement.
type Result struct {
	// Losses is the number of losses and restarts of VMs that were in groups.
	Losses int
	// Downtime is the total time, over all wanted groups, in which a group
	// could not serve.
	Downtime time.Duration
	// Outages holds the duration of each outage of a group, sorted.
	Outages []time.Duration
	// Stranded is the mean fraction of live VMs that are neither in a serving
	// group nor spares.
	Stranded float64
}

// Sort sorts the outages by duration.
func (r *Result) Sort() {
	slices.Sort(r.Outages)
}

// PerLoss returns the mean downtime per loss or restart of a member.
func (r Result) PerLoss() time.Duration {
	return r.Downtime / time.Duration(max(r.Losses, 1))
}

// Quantile returns the q-quantile of the durations of the outages.
func (r Result) Quantile(q float64) time.Duration {
	if len(r.Outages) == 0 {
		return 0
	}
	return r.Outages[min(int(q*float64(len(r.Outages))), len(r.Outages)-1)]
}

// Detection returns the time from the loss of a member until the repair
// starts.
func Detection() time.Duration {
	return Policy().MemberTimeout + 2*time.Second
}

// LoadTime returns the time that one member takes to load its weights while no
// other member loads.
func LoadTime() time.Duration {
	return loadTime
}

// event is a scheduled change of a VM.
type event struct {
	at time.Time
	do func()
}

// run is the state of one measurement.
type run struct {
	config RepairConfig
	fleet  *Fleet
	random *rand.Rand
	events []event
	added  int
	// outSince maps each wanted group that is out of service to the start of
	// its outage.
	outSince map[string]time.Time
	lastPlan time.Time

	result   Result
	stranded time.Duration
	measured time.Duration
}

// Measure forms all groups, then lets VMs fail at random times drawn from the
// seed.
func Measure(c RepairConfig) (Result, error) {
	m := document.Model{Name: "m", Version: "1", Groups: c.Groups, Span: c.Span, MaxUnavailable: 1}
	r := &run{
		config:   c,
		fleet:    NewFleet(c.Domains, m),
		random:   rand.New(rand.NewPCG(c.Seed, 0)),
		outSince: map[string]time.Time{},
	}
	r.fleet.LoadTime = loadTime
	for r.fleet.Proven()["1"] < c.Groups {
		if err := r.fleet.Step(); err != nil {
			return Result{}, err
		}
	}
	r.fleet.StoreInterval = storeInterval
	r.fleet.ReloadAll = c.ReloadAll
	// All VMs share one source of random numbers: sorting the IDs makes a run
	// reproducible.
	for _, id := range r.ids() {
		r.schedule(id)
	}
	return r.finish(r.fleet.Now.Add(c.Length))
}

func (r *run) ids() []string {
	var ids []string
	for id := range r.fleet.Members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// finish runs the simulation until end and returns the result.
func (r *run) finish(end time.Time) (Result, error) {
	r.lastPlan = r.fleet.Now
	for r.fleet.Now.Before(end) {
		planned, err := r.fleet.advance(r.next(end))
		if err != nil {
			return Result{}, err
		}
		if planned || r.fleet.loading() > 0 {
			r.lastPlan = r.fleet.Now
		}
		r.runEvents()
	}
	r.result.Sort()
	r.result.Stranded = float64(r.stranded) / float64(r.measured)
	return r.result, nil
}

// next returns the time until the next step and accounts for it. While the
// fleet is settled, that is the time until the next event.
func (r *run) next(end time.Time) time.Duration {
	by := r.fleet.Tick
	if r.fleet.Now.Sub(r.lastPlan) > settleTime {
		by = max(by, r.until(end)-r.fleet.Tick)
	}
	r.account(by)
	return by
}

func (r *run) until(end time.Time) time.Duration {
	for _, e := range r.events {
		if e.at.Before(end) {
			end = e.at
		}
	}
	return end.Sub(r.fleet.Now)
}

// account adds a period of the given length, in which the fleet stays as it
// is, to the result.
func (r *run) account(by time.Duration) {
	live, serving := 0, 0
	for _, m := range r.fleet.Members {
		if !m.Down {
			live++
		}
	}
	for slot := range r.config.Groups {
		id := fmt.Sprintf("m-%d", slot)
		since, out := r.outSince[id]
		switch proven := r.serves(id); {
		case proven && out:
			r.result.Outages = append(r.result.Outages, r.fleet.Now.Sub(since))
			delete(r.outSince, id)
		case !proven && !out:
			r.outSince[id] = r.fleet.Now
		}
		if _, out := r.outSince[id]; out {
			r.result.Downtime += by
		} else {
			serving += r.config.Span
		}
	}
	stranded := max(0, live-serving-r.config.Spares)
	r.stranded += time.Duration(float64(by) * float64(stranded) / float64(live))
	r.measured += by
}

// serves reports whether requests may be dispatched to a group and all its
// members are up. The latter matters because a proof remains valid for some
// time after a member fails.
func (r *run) serves(id string) bool {
	row := r.fleet.Groups[id].Value
	for _, id := range row.Members {
		if m, ok := r.fleet.Members[id]; !ok || m.Down {
			return false
		}
	}
	return r.fleet.Proves(row)
}

// runEvents executes the events that are due, in order of time.
func (r *run) runEvents() {
	slices.SortStableFunc(r.events, func(a, b event) int { return a.at.Compare(b.at) })
	for len(r.events) > 0 && !r.events[0].at.After(r.fleet.Now) {
		e := r.events[0]
		r.events = r.events[1:]
		e.do()
	}
}

func (r *run) after(d time.Duration, do func()) {
	r.events = append(r.events, event{at: r.fleet.Now.Add(d), do: do})
}

// schedule draws the time and kind of the next failure of a VM.
func (r *run) schedule(id string) {
	rates := r.config.Rates
	wait := r.random.ExpFloat64() / (rates.Losses + rates.Restarts)
	lost := r.random.Float64() < rates.Losses/(rates.Losses+rates.Restarts)
	r.after(time.Duration(wait*float64(day)), func() {
		r.lastPlan = r.fleet.Now
		if r.fleet.VMs[id].Value.Group != "" {
			r.result.Losses++
		}
		m := r.fleet.Members[id]
		m.Down = true
		if lost {
			r.replaceVM(m.VM.FabricDomain, id)
			return
		}
		r.after(restartTime, func() {
			r.lastPlan = r.fleet.Now
			r.fleet.Reboot(id)
			r.schedule(id)
		})
	})
}

// replaceVM schedules the removal of a failed VM from the platform's list and
// the addition of its replacement.
func (r *run) replaceVM(domain, id string) {
	r.after(delistAfter, func() {
		r.lastPlan = r.fleet.Now
		r.fleet.RemoveVM(id)
	})
	r.after(replacement, func() {
		r.lastPlan = r.fleet.Now
		r.added++
		added := fmt.Sprintf("%s-new%04d", domain, r.added)
		r.fleet.AddVM(domain, added)
		r.schedule(added)
	})
}
