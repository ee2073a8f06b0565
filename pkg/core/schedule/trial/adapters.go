package trial

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	adapterCount  = 120
	adapterGroups = domains * enginesPerDomain
	// loadTime is how long one adapter takes to load, loadInterval the time
	// between two loads that the weight store allows to everyone.
	loadTime     = 800 * time.Millisecond
	loadInterval = 400 * time.Millisecond
	// adapterHold is how long a request takes up its group.
	adapterHold = 3 * time.Second
	// adapterRate is the demand outside the crest, in requests per second.
	adapterRate = 25
	// estimateWindow is the history that popularity is estimated from, and
	// placementInterval the time between two placements made from it.
	estimateWindow    = 60 * time.Second
	placementInterval = 20 * time.Second
	// maxBacklog is the backlog of the weight store above which nothing is
	// fetched ahead of demand.
	maxBacklog = time.Second
	// zipfExponent is the skew of popularity within a workspace.
	zipfExponent = 0.9
)

// AdapterPolicy is a way of deciding which group holds which adapter.
type AdapterPolicy struct {
	Name string
	// Affinity sends a request to a group that holds its adapter, if one is not
	// too busy.
	Affinity bool
	// Proactive is the part of each group's room that is filled ahead of demand
	// by estimated popularity; the rest is filled on demand and emptied by least
	// recent use.
	Proactive float64
	// Capacity is the number of adapters that a group holds.
	Capacity int
}

// AdapterFigures are the results of an adapter trial over the crest.
type AdapterFigures struct {
	Requests int
	// InTime is the fraction of requests whose adapter was loaded within the
	// objective for the first token.
	InTime float64
	// Hit is the fraction that found its adapter loaded.
	Hit   float64
	Loads int
	Wait  Percentiles
}

// adapterGroup is what one group holds.
type adapterGroup struct {
	inFlight int
	// readyAt is when each adapter is loaded, usedAt when it was used last.
	readyAt map[int]time.Duration
	usedAt  map[int]time.Duration
	// pinned holds the adapters that were placed ahead of demand.
	pinned map[int]bool
}

// adapterWorld is one adapter trial in progress.
type adapterWorld struct {
	*loop
	policy    AdapterPolicy
	groups    []*adapterGroup
	storeFree time.Duration
	recent    []adapterUse
	loads     int
	waits     []time.Duration
	hits      int
}

type adapterUse struct {
	at      time.Duration
	adapter int
}

// RunAdapters runs a trial of an adapter policy over the demand of a workload.
func RunAdapters(load Workload, p AdapterPolicy, seed uint64) AdapterFigures {
	w := &adapterWorld{loop: newLoop(), policy: p}
	for range adapterGroups {
		w.groups = append(w.groups, &adapterGroup{
			readyAt: make(map[int]time.Duration),
			usedAt:  make(map[int]time.Duration),
			pinned:  make(map[int]bool),
		})
	}
	random := rand.New(rand.NewPCG(seed, 11))
	for _, r := range load.trace(adapterRate, false, seed) {
		adapter := adapterOf(r, random)
		w.after(r.at, func() { w.request(adapter) })
	}
	if p.Proactive > 0 {
		w.every(placementInterval, w.place)
	}
	w.runUntil(warm + crest + tail)
	return w.figures()
}

// adapterOf draws the adapter of a request: each workspace has its own, some
// much more popular than others, and another one comes to the top every minute.
func adapterOf(r *request, random *rand.Rand) int {
	const each = adapterCount / 10
	total := 0.0
	for i := range each {
		total += math.Pow(float64(i+1), -zipfExponent)
	}
	x := random.Float64() * total
	rank := 0
	for rank = range each {
		x -= math.Pow(float64(rank+1), -zipfExponent)
		if x < 0 {
			break
		}
	}
	shift := int(r.at / time.Minute)
	return r.workspace*each + (rank+shift)%each
}

func (w *adapterWorld) request(adapter int) {
	w.recent = append(w.recent, adapterUse{at: w.now, adapter: adapter})
	g := w.choose(adapter)
	ready, held := g.readyAt[adapter]
	if !held {
		ready = w.load(g, adapter)
	}
	g.usedAt[adapter] = w.now
	g.inFlight++
	w.after(max(0, ready-w.now)+adapterHold, func() { g.inFlight-- })
	if w.now < warm || w.now >= warm+crest {
		return
	}
	if held && ready <= w.now {
		w.hits++
	}
	w.waits = append(w.waits, max(0, ready-w.now))
}

// choose returns the least busy group, by affinity one that holds the adapter
// unless it is much busier.
func (w *adapterWorld) choose(adapter int) *adapterGroup {
	var least, holder *adapterGroup
	total := 0
	for _, g := range w.groups {
		total += g.inFlight
		if least == nil || g.inFlight < least.inFlight {
			least = g
		}
		if _, held := g.readyAt[adapter]; held && (holder == nil || g.inFlight < holder.inFlight) {
			holder = g
		}
	}
	bound := 2 + 3*total/(2*len(w.groups))
	if w.policy.Affinity && holder != nil && holder.inFlight <= bound {
		return holder
	}
	return least
}

// load fetches an adapter from the weight store and returns when it is there.
func (w *adapterWorld) load(g *adapterGroup, adapter int) time.Duration {
	for len(g.readyAt) >= w.policy.Capacity {
		g.evict()
	}
	w.storeFree = max(w.storeFree+loadInterval, w.now)
	g.readyAt[adapter] = w.storeFree + loadTime
	w.loads++
	return g.readyAt[adapter]
}

// evict drops the adapter used least recently, pinned ones last.
func (g *adapterGroup) evict() {
	victim := -1
	for a := range adapterCount {
		if _, held := g.readyAt[a]; !held {
			continue
		}
		if victim < 0 || g.evictBefore(a, victim) {
			victim = a
		}
	}
	delete(g.readyAt, victim)
	delete(g.usedAt, victim)
	delete(g.pinned, victim)
}

func (g *adapterGroup) evictBefore(a, b int) bool {
	if g.pinned[a] != g.pinned[b] {
		return g.pinned[b]
	}
	return g.usedAt[a] < g.usedAt[b]
}

// place gives the proactive room to the most popular adapters, each with as many
// copies as its part of the demand needs. Copies stay where they are, and none
// is fetched while the weight store has a backlog, to spare the store.
func (w *adapterWorld) place() {
	w.recent = slices.DeleteFunc(w.recent, func(u adapterUse) bool { return u.at < w.now-estimateWindow })
	counts := make([]int, adapterCount)
	for _, u := range w.recent {
		counts[u.adapter]++
	}
	order := make([]int, adapterCount)
	for a := range order {
		order[a] = a
	}
	slices.SortStableFunc(order, func(a, b int) int { return counts[b] - counts[a] })
	room := int(w.policy.Proactive * float64(w.policy.Capacity))
	for _, g := range w.groups {
		clear(g.pinned)
	}
	for _, a := range order {
		if counts[a] == 0 {
			return
		}
		for range 1 + counts[a]*len(w.groups)/len(w.recent) {
			w.pin(a, room)
		}
	}
}

// pin places a copy, where there is one already if possible.
func (w *adapterWorld) pin(adapter, room int) {
	var at *adapterGroup
	for _, g := range w.groups {
		if g.pinned[adapter] || len(g.pinned) >= room {
			continue
		}
		_, held := g.readyAt[adapter]
		if held {
			at = g
			break
		}
		if at == nil || len(g.pinned) < len(at.pinned) {
			at = g
		}
	}
	if at == nil {
		return
	}
	if _, held := at.readyAt[adapter]; !held {
		if w.storeFree > w.now+maxBacklog {
			return
		}
		w.load(at, adapter)
		at.usedAt[adapter] = w.now
	}
	at.pinned[adapter] = true
}

func (w *adapterWorld) figures() AdapterFigures {
	inTime := 0
	for _, wait := range w.waits {
		inTime += count(wait < firstTokenObjective)
	}
	all := float64(max(1, len(w.waits)))
	return AdapterFigures{
		Requests: len(w.waits),
		InTime:   float64(inTime) / all,
		Hit:      float64(w.hits) / all,
		Loads:    w.loads,
		Wait:     percentiles(w.waits),
	}
}
