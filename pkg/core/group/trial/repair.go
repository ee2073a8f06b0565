package trial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"almondbay.example/core/document"
)

const day = 24 * time.Hour

// Rates are the failures of one VM in a day.
type Rates struct {
	// Losses is the number of times that the VM fails for good.
	Losses float64
	// Restarts is the number of times that the VM restarts.
	Restarts float64
}

// Repair configures a measurement of downtime and stranded accelerators.
type Repair struct {
	// Domains is the number of VMs in each fabric domain.
	Domains map[string]int
	Groups  int
	Span    int
	// Spares is the number of spares that the policy chose to keep in all.
	Spares int
	Rates  Rates
	Length time.Duration
	Seed   uint64
	// ReloadAll makes each repair load all members again, the baseline that
	// rebuilds a group whole.
	ReloadAll bool
}

// Times of the trial.
const (
	loadAlone     = 2 * time.Minute
	storeInterval = time.Minute
	restartTime   = 45 * time.Second
	// delistAfter is how long the platform lists a VM that has failed.
	delistAfter = time.Minute
	replacement = 10 * time.Minute
	// quiet is the time without a plan after which nothing happens any more
	// until the next event; longer than every timeout of the policy but those
	// of loading.
	quiet = 90 * time.Second
)

// Figures is what a measurement found.
type Figures struct {
	// Losses is the number of losses and restarts of members of groups.
	Losses int
	// Downtime is the time that wanted groups could not be dispatched to, over
	// all groups.
	Downtime time.Duration
	// Outages holds the length of each outage of a group, sorted.
	Outages []time.Duration
	// Stranded is the mean share of the live VMs that are neither in a group
	// that can be dispatched to nor among the spares that were chosen.
	Stranded float64
}

// Sort sorts the outages.
func (f *Figures) Sort() {
	slices.Sort(f.Outages)
}

// PerLoss returns the downtime for each loss of a member.
func (f Figures) PerLoss() time.Duration {
	return f.Downtime / time.Duration(max(f.Losses, 1))
}

// Quantile returns the length that the share q of the outages don't exceed.
func (f Figures) Quantile(q float64) time.Duration {
	if len(f.Outages) == 0 {
		return 0
	}
	return f.Outages[min(int(q*float64(len(f.Outages))), len(f.Outages)-1)]
}

// Detection returns the time from a loss until the repair begins.
func Detection() time.Duration {
	return Policy().MemberTimeout + 2*time.Second
}

// LoadTime returns the time that one member takes to load.
func LoadTime() time.Duration {
	return loadAlone
}

// event is something that happens to a VM.
type event struct {
	at time.Time
	do func()
}

// run is one measurement under way.
type run struct {
	config Repair
	fleet  *Fleet
	random *rand.Rand
	events []event
	added  int
	// outSince is when each wanted group went out of service.
	outSince map[string]time.Time
	lastPlan time.Time

	figures  Figures
	stranded time.Duration
	measured time.Duration
}

// Measure forms all groups and then lets VMs fail by a seeded schedule.
func Measure(c Repair) (Figures, error) {
	m := document.Model{Name: "m", Version: "1", Groups: c.Groups, Span: c.Span, MaxUnavailable: 1}
	r := &run{
		config:   c,
		fleet:    NewFleet(c.Domains, m),
		random:   rand.New(rand.NewPCG(c.Seed, 0)),
		outSince: map[string]time.Time{},
	}
	r.fleet.Load = loadAlone
	for r.fleet.Proven()["1"] < c.Groups {
		if err := r.fleet.Step(); err != nil {
			return Figures{}, err
		}
	}
	r.fleet.StoreInterval = storeInterval
	r.fleet.ReloadAll = c.ReloadAll
	// The VMs draw from one source of random numbers, in the order of their IDs.
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

// finish runs until end.
func (r *run) finish(end time.Time) (Figures, error) {
	r.lastPlan = r.fleet.Now
	for r.fleet.Now.Before(end) {
		planned, err := r.fleet.advance(r.next(end))
		if err != nil {
			return Figures{}, err
		}
		if planned || r.fleet.loading() > 0 {
			r.lastPlan = r.fleet.Now
		}
		r.happen()
	}
	r.figures.Sort()
	r.figures.Stranded = float64(r.stranded) / float64(r.measured)
	return r.figures, nil
}

// next returns the time to the next step, and accounts for it. While nothing
// is under way it is the time to the next event.
func (r *run) next(end time.Time) time.Duration {
	by := r.fleet.Tick
	if r.fleet.Now.Sub(r.lastPlan) > quiet {
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

// account adds the time that the fleet stays as it is.
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
			r.figures.Outages = append(r.figures.Outages, r.fleet.Now.Sub(since))
			delete(r.outSince, id)
		case !proven && !out:
			r.outSince[id] = r.fleet.Now
		}
		if _, out := r.outSince[id]; out {
			r.figures.Downtime += by
		} else {
			serving += r.config.Span
		}
	}
	stray := max(0, live-serving-r.config.Spares)
	r.stranded += time.Duration(float64(by) * float64(stray) / float64(live))
	r.measured += by
}

// serves reports whether a group can be dispatched to and all its members are
// up, known to be or not.
func (r *run) serves(id string) bool {
	row := r.fleet.Groups[id].Value
	for _, id := range row.Members {
		if m, ok := r.fleet.Members[id]; !ok || m.Down {
			return false
		}
	}
	return r.fleet.Proves(row)
}

// happen lets the events that are due happen, the earliest first.
func (r *run) happen() {
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

// schedule draws when the VM fails or restarts next.
func (r *run) schedule(id string) {
	rates := r.config.Rates
	wait := r.random.ExpFloat64() / (rates.Losses + rates.Restarts)
	lost := r.random.Float64() < rates.Losses/(rates.Losses+rates.Restarts)
	r.after(time.Duration(wait*float64(day)), func() {
		r.lastPlan = r.fleet.Now
		if r.fleet.VMs[id].Value.Group != "" {
			r.figures.Losses++
		}
		m := r.fleet.Members[id]
		m.Down = true
		if lost {
			r.lose(m.VM.FabricDomain, id)
			return
		}
		r.after(restartTime, func() {
			r.lastPlan = r.fleet.Now
			r.fleet.Reboot(id)
			r.schedule(id)
		})
	})
}

// lose lets the platform drop a VM and put another in its place.
func (r *run) lose(domain, id string) {
	r.after(delistAfter, func() {
		r.lastPlan = r.fleet.Now
		r.fleet.RemoveVM(id)
	})
	r.after(replacement, func() {
		r.lastPlan = r.fleet.Now
		r.added++
		fresh := fmt.Sprintf("%s-new%04d", domain, r.added)
		r.fleet.AddVM(domain, fresh)
		r.schedule(fresh)
	})
}
