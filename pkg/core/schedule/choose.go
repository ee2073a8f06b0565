package schedule

import (
	"math/rand/v2"
	"slices"
)

const (
	// prefixBuckets is the number of buckets that prefixes are hashed into.
	prefixBuckets = 4096
	// maxProbes is the number of open groups examined for one request.
	maxProbes = 8
	// maxPendingPrompt limits the prompt tokens of long requests at one group
	// that have not produced a first token, unless a single request has more.
	// Long prompts processed together all miss their deadlines.
	maxPendingPrompt = 4096
)

// openSet is a set of groups that accept requests. Random selection takes
// constant time.
type openSet struct {
	groups []*groupState
}

func (s *openSet) add(g *groupState) {
	if g.openIndex >= 0 {
		return
	}
	g.openIndex = len(s.groups)
	s.groups = append(s.groups, g)
}

func (s *openSet) remove(g *groupState) {
	if g.openIndex < 0 {
		return
	}
	last := len(s.groups) - 1
	s.groups[g.openIndex] = s.groups[last]
	s.groups[g.openIndex].openIndex = g.openIndex
	s.groups[last] = nil
	s.groups = s.groups[:last]
	g.openIndex = -1
}

// prefixTable maps prefixes to the two groups with the highest rendezvous hash.
// Entries are computed on first use after the set of groups changes.
type prefixTable struct {
	groups     []*groupState
	generation uint32
	entries    [prefixBuckets]prefixEntry
}

type prefixEntry struct {
	generation uint32
	preferred  [2]*groupState
}

// reset replaces the groups.
func (p *prefixTable) reset(groups []*groupState) {
	p.groups = groups
	p.generation++
}

// preferred returns the preferred groups of a prefix, padded with nil when
// there are fewer than two.
func (p *prefixTable) preferred(prefix uint64) [2]*groupState {
	slot := mix(prefix) % prefixBuckets
	e := &p.entries[slot]
	if e.generation != p.generation {
		e.preferred = rendezvous(slot, p.groups)
		e.generation = p.generation
	}
	return e.preferred
}

func rendezvous(slot uint64, groups []*groupState) [2]*groupState {
	var best [2]*groupState
	var scores [2]uint64
	for _, g := range groups {
		score := mix(slot ^ hashString(g.ID))
		switch {
		case best[0] == nil || score > scores[0]:
			best[1], scores[1] = best[0], scores[0]
			best[0], scores[0] = g, score
		case best[1] == nil || score > scores[1]:
			best[1], scores[1] = g, score
		}
	}
	return best
}

// hashString is FNV-1a, written inline so that lookups do not allocate.
func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h ^= uint64(s[i])
		h *= 1099511628211
	}
	return h
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// chooser selects the group for a request. It is guarded by the lock of its
// shard.
type chooser struct {
	limits limits
	random *rand.Rand
	// local and remote hold the open groups in the own and in other failure
	// domains.
	local  openSet
	remote openSet
	prefix prefixTable
	// probe is an idle down-weighted group that needs a request so that its
	// recovery can be detected; nil when there is none.
	probe *groupState
}

// refresh adds the group to its open set or removes it, according to its state.
func (c *chooser) refresh(g *groupState) {
	set := c.setOf(g)
	if g.open() {
		set.add(g)
		return
	}
	set.remove(g)
}

func (c *chooser) setOf(g *groupState) *openSet {
	if g.local {
		return &c.local
	}
	return &c.remote
}

// choose returns an open group for the ticket, or nil. Groups in the own
// failure domain are preferred: first those that have probably cached the
// prefix, then the less loaded of two chosen at random. Remote groups are used
// only when no local one can run the ticket.
func (c *chooser) choose(t *Ticket, shortWaits bool) *groupState {
	if g := c.probe; g != nil && t.class == classShort && c.canRun(g, t, shortWaits) {
		c.probe = nil
		return g
	}
	if g := c.cachedGroup(t, shortWaits); g != nil {
		return g
	}
	if g := c.pickOfTwo(&c.local, t, shortWaits); g != nil {
		return g
	}
	return c.pickOfTwo(&c.remote, t, shortWaits)
}

// cachedGroup returns a preferred group of the prefix unless its load exceeds
// the bound.
func (c *chooser) cachedGroup(t *Ticket, shortWaits bool) *groupState {
	if t.request.Prefix == 0 {
		return nil
	}
	for _, g := range c.prefix.preferred(t.request.Prefix) {
		if g == nil || g.health.weight < 1 || !c.canRun(g, t, shortWaits) {
			continue
		}
		if g.load() <= c.limits.prefixLoadBound {
			return g
		}
	}
	return nil
}

// canRun reports whether the group may run the ticket now.
func (c *chooser) canRun(g *groupState, t *Ticket, shortWaits bool) bool {
	if !g.open() || slices.Contains(t.request.Avoid, g.ID) {
		return false
	}
	if t.class == classShort {
		return true
	}
	if t.infeasible && shortWaits {
		return false
	}
	if g.pendingPrompt > 0 && g.pendingPrompt+t.request.PromptTokens > maxPendingPrompt {
		return false
	}
	return g.longRunning < g.longLimit(c.limits, shortWaits)
}

// pickOfTwo returns the less loaded of two groups chosen at random among those
// that can run the ticket.
func (c *chooser) pickOfTwo(s *openSet, t *Ticket, shortWaits bool) *groupState {
	size := len(s.groups)
	if size == 0 {
		return nil
	}
	probes := min(size, maxProbes)
	start := c.random.IntN(size)
	stride := 1
	if size > maxProbes {
		stride = 1 + c.random.IntN(size-1)
	}
	var first *groupState
	for i := range probes {
		g := s.groups[(start+i*stride)%size]
		if g == first || !c.canRun(g, t, shortWaits) {
			continue
		}
		if first == nil {
			first = g
			continue
		}
		if g.load() < first.load() {
			return g
		}
		return first
	}
	return first
}
