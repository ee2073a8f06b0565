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
	// loadTime is the time to load one adapter, loadInterval the minimum time
	// between two loads that the weight store grants to all groups together.
	loadTime     = 800 * time.Millisecond
	loadInterval = 400 * time.Millisecond
	// adapterRequestTime is how long a request occupies its group.
	adapterRequestTime = 3 * time.Second
	// adapterRate is the demand outside the peak, in requests per second.
	adapterRate = 25
	// estimateWindow is the history from which popularity is estimated, and
	// placementInterval the time between two placements.
	estimateWindow    = 60 * time.Second
	placementInterval = 20 * time.Second
	// maxBacklog is the backlog of the weight store above which no adapter is
	// prefetched.
	maxBacklog = time.Second
	// zipfExponent is the skew of adapter popularity within a workspace.
	zipfExponent = 0.9
)

// AdapterPolicy decides which groups hold which adapters.
type AdapterPolicy struct {
	Name string
	// Affinity routes a request to a group that holds its adapter unless that
	// group is too busy.
	Affinity bool
	// Proactive is the fraction of each group's capacity that is filled in
	// advance by estimated popularity; the rest is filled on demand with LRU
	// eviction.
	Proactive float64
	// Capacity is the number of adapters that a group can hold.
	Capacity int
}

// AdapterFigures holds the results of an adapter trial over the peak.
type AdapterFigures struct {
	Requests int
	// InTime is the fraction of requests whose adapter was loaded within the
	// objective for the first token.
	InTime float64
	// Hit is the fraction of requests that found their adapter loaded.
	Hit   float64
	Loads int
	Wait  Percentiles
}

// adapterGroup is the state of one group.
type adapterGroup struct {
	inFlight int
	// readyAt is when each adapter finishes loading, usedAt when it was last
	// used.
	readyAt map[int]time.Duration
	usedAt  map[int]time.Duration
	// pinned is the set of adapters placed in advance of demand.
	pinned map[int]bool
}

// adapterSimulation is an adapter trial in progress.
type adapterSimulation struct {
	*eventLoop
	policy      AdapterPolicy
	groups      []*adapterGroup
	storeFreeAt time.Duration
	recent      []adapterUse
	loads       int
	waits       []time.Duration
	hits        int
}

type adapterUse struct {
	at      time.Duration
	adapter int
}

// RunAdapters simulates an adapter policy under the demand of a workload.
func RunAdapters(load Workload, p AdapterPolicy, seed uint64) AdapterFigures {
	s := &adapterSimulation{eventLoop: newEventLoop(), policy: p}
	for range adapterGroups {
		s.groups = append(s.groups, &adapterGroup{
			readyAt: make(map[int]time.Duration),
			usedAt:  make(map[int]time.Duration),
			pinned:  make(map[int]bool),
		})
	}
	random := rand.New(rand.NewPCG(seed, 11))
	for _, r := range load.trace(adapterRate, false, seed) {
		adapter := adapterOf(r, random)
		s.after(r.at, func() { s.request(adapter) })
	}
	if p.Proactive > 0 {
		s.every(placementInterval, s.place)
	}
	s.runUntil(warmup + peak + cooldown)
	return s.figures()
}

// adapterOf draws the adapter of a request: each workspace has its own adapters
// with Zipf-distributed popularity, and the ranking rotates by one every
// minute.
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

func (s *adapterSimulation) request(adapter int) {
	s.recent = append(s.recent, adapterUse{at: s.now, adapter: adapter})
	g := s.choose(adapter)
	ready, loaded := g.readyAt[adapter]
	if !loaded {
		ready = s.load(g, adapter)
	}
	g.usedAt[adapter] = s.now
	g.inFlight++
	s.after(max(0, ready-s.now)+adapterRequestTime, func() { g.inFlight-- })
	if s.now < warmup || s.now >= warmup+peak {
		return
	}
	if loaded && ready <= s.now {
		s.hits++
	}
	s.waits = append(s.waits, max(0, ready-s.now))
}

// choose returns the least busy group or, with affinity, a group that holds the
// adapter unless it is much busier.
func (s *adapterSimulation) choose(adapter int) *adapterGroup {
	var least, holder *adapterGroup
	total := 0
	for _, g := range s.groups {
		total += g.inFlight
		if least == nil || g.inFlight < least.inFlight {
			least = g
		}
		if _, loaded := g.readyAt[adapter]; loaded && (holder == nil || g.inFlight < holder.inFlight) {
			holder = g
		}
	}
	bound := 2 + 3*total/(2*len(s.groups))
	if s.policy.Affinity && holder != nil && holder.inFlight <= bound {
		return holder
	}
	return least
}

// load fetches an adapter from the weight store and returns when it is loaded.
func (s *adapterSimulation) load(g *adapterGroup, adapter int) time.Duration {
	for len(g.readyAt) >= s.policy.Capacity {
		g.evict()
	}
	s.storeFreeAt = max(s.storeFreeAt+loadInterval, s.now)
	g.readyAt[adapter] = s.storeFreeAt + loadTime
	s.loads++
	return g.readyAt[adapter]
}

// evict removes the least recently used adapter, pinned ones last.
func (g *adapterGroup) evict() {
	victim := -1
	for a := range adapterCount {
		if _, loaded := g.readyAt[a]; !loaded {
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

// place assigns the proactive capacity to the most popular adapters, each with
// a number of copies proportional to its demand. Copies are not moved, and none
// is fetched while the weight store has a backlog, to limit the load on the
// store.
func (s *adapterSimulation) place() {
	s.recent = slices.DeleteFunc(s.recent, func(u adapterUse) bool { return u.at < s.now-estimateWindow })
	counts := make([]int, adapterCount)
	for _, u := range s.recent {
		counts[u.adapter]++
	}
	order := make([]int, adapterCount)
	for a := range order {
		order[a] = a
	}
	slices.SortStableFunc(order, func(a, b int) int { return counts[b] - counts[a] })
	capacity := int(s.policy.Proactive * float64(s.policy.Capacity))
	for _, g := range s.groups {
		clear(g.pinned)
	}
	for _, a := range order {
		if counts[a] == 0 {
			return
		}
		for range 1 + counts[a]*len(s.groups)/len(s.recent) {
			s.pin(a, capacity)
		}
	}
}

// pin places one copy, preferably in a group that already holds the adapter.
func (s *adapterSimulation) pin(adapter, capacity int) {
	var at *adapterGroup
	for _, g := range s.groups {
		if g.pinned[adapter] || len(g.pinned) >= capacity {
			continue
		}
		_, loaded := g.readyAt[adapter]
		if loaded {
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
	if _, loaded := at.readyAt[adapter]; !loaded {
		if s.storeFreeAt > s.now+maxBacklog {
			return
		}
		s.load(at, adapter)
		at.usedAt[adapter] = s.now
	}
	at.pinned[adapter] = true
}

func (s *adapterSimulation) figures() AdapterFigures {
	inTime := 0
	for _, wait := range s.waits {
		inTime += boolToInt(wait < firstTokenObjective)
	}
	all := float64(max(1, len(s.waits)))
	return AdapterFigures{
		Requests: len(s.waits),
		InTime:   float64(inTime) / all,
		Hit:      float64(s.hits) / all,
		Loads:    s.loads,
		Wait:     percentiles(s.waits),
	}
}
