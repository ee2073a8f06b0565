package schedule

import (
	"math/rand/v2"
	"slices"
)

const (
	// prefixSlots is the number of classes that prefixes are hashed into.
	prefixSlots = 4096
	// longProbes is the number of open groups looked at for a long request.
	longProbes = 8
	// maxPrompting is the number of prompt tokens that long work may have at a
	// group before first tokens, unless a single request has more. Long prompts
	// that are worked on together are all late.
	maxPrompting = 4096
)

// openSet is a set of groups with room, from which members are drawn at random
// in constant time.
type openSet struct {
	groups []*groupState
}

func (s *openSet) add(g *groupState) {
	if g.openAt >= 0 {
		return
	}
	g.openAt = len(s.groups)
	s.groups = append(s.groups, g)
}

func (s *openSet) remove(g *groupState) {
	if g.openAt < 0 {
		return
	}
	last := len(s.groups) - 1
	s.groups[g.openAt] = s.groups[last]
	s.groups[g.openAt].openAt = g.openAt
	s.groups[last] = nil
	s.groups = s.groups[:last]
	g.openAt = -1
}

// prefixTable maps prefixes to the two groups that come first by rendezvous
// hashing. Entries are worked out when first used after a change of groups.
type prefixTable struct {
	groups     []*groupState
	generation uint32
	entries    [prefixSlots]prefixEntry
}

type prefixEntry struct {
	generation uint32
	homes      [2]*groupState
}

// reset replaces the groups.
func (p *prefixTable) reset(groups []*groupState) {
	p.groups = groups
	p.generation++
}

// homes returns the preferred groups of a prefix; nil where there are fewer.
func (p *prefixTable) homes(prefix uint64) [2]*groupState {
	slot := mix(prefix) % prefixSlots
	e := &p.entries[slot]
	if e.generation != p.generation {
		e.homes = rendezvous(slot, p.groups)
		e.generation = p.generation
	}
	return e.homes
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

// hashString is FNV-1a, inlined to keep the look-up free of allocations.
func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h ^= uint64(s[i])
		h *= 1099511628211
	}
	return h
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// chooser picks the group for a request. It belongs to one shard.
type chooser struct {
	limits limits
	random *rand.Rand
	// open holds the groups with room, those at home apart from the others.
	local  openSet
	remote openSet
	prefix prefixTable
	// probe is a relieved group without work that is due for a request, so that
	// its recovery is seen; nil when there is none.
	probe *groupState
}

// refresh puts the group into the set it belongs to.
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

// choose returns a group with room for the ticket, or nil. Groups at home come
// first: first those that have likely cached the prefix, then the less loaded
// of two at random. Only with none at home, a group elsewhere is chosen.
func (c *chooser) choose(t *Ticket, shortWaits bool) *groupState {
	if g := c.probe; g != nil && t.class == classShort && c.fits(g, t, shortWaits) {
		c.probe = nil
		return g
	}
	if g := c.cached(t, shortWaits); g != nil {
		return g
	}
	if g := c.drawTwo(&c.local, t, shortWaits); g != nil {
		return g
	}
	return c.drawTwo(&c.remote, t, shortWaits)
}

// cached returns a home of the prefix unless its load is over the bound.
func (c *chooser) cached(t *Ticket, shortWaits bool) *groupState {
	if t.request.Prefix == 0 {
		return nil
	}
	for _, g := range c.prefix.homes(t.request.Prefix) {
		if g == nil || g.health.weight < 1 || !c.fits(g, t, shortWaits) {
			continue
		}
		if g.load() <= c.limits.prefixLoadBound {
			return g
		}
	}
	return nil
}

// fits tells whether the group may take the ticket now.
func (c *chooser) fits(g *groupState, t *Ticket, shortWaits bool) bool {
	if !g.open() || slices.Contains(t.request.Avoid, g.ID) {
		return false
	}
	if t.class == classShort {
		return true
	}
	if t.hopeless && shortWaits {
		return false
	}
	if g.prompting > 0 && g.prompting+t.request.PromptTokens > maxPrompting {
		return false
	}
	return g.longRunning < g.longLimit(c.limits, shortWaits)
}

// drawTwo returns the less loaded of two groups that fit, drawn at random.
func (c *chooser) drawTwo(s *openSet, t *Ticket, shortWaits bool) *groupState {
	size := len(s.groups)
	if size == 0 {
		return nil
	}
	probes := min(size, longProbes)
	start := c.random.IntN(size)
	stride := 1
	if size > longProbes {
		stride = 1 + c.random.IntN(size-1)
	}
	var first *groupState
	for i := range probes {
		g := s.groups[(start+i*stride)%size]
		if g == first || !c.fits(g, t, shortWaits) {
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
