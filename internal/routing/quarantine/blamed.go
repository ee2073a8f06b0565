package quarantine

import (
	"cmp"
	"slices"
	"time"

	"almondbay.example/core/attempt"
)

// blamedPart is a part of prompts that crashes are blamed on, with the evidence against it.
type blamedPart struct {
	Mark
	attempt.Evidence
	// crashes is a hash of the crashes in the evidence, in any order. Parts that were in
	// flight during the same crashes can't be told apart.
	crashes uint64
}

// blamedParts are the parts of prompts that were blamed at a time.
type blamedParts struct {
	at time.Time
	// byQuick finds them by the cheap hash of a part.
	byQuick map[uint64][]*blamedPart
	// distinct holds one part for each set of crashes, and the number of parts with it.
	distinct []*blamedPart
	count    map[uint64]int
}

// blamedFor is how long blamed parts are kept while there is no news. A part that was
// answered before is blamed some time after the last answer, without news.
const blamedFor = 20 * time.Millisecond

// blamedParts returns the parts that are blamed now.
func (g *Guard) blamedParts(now time.Time) *blamedParts {
	g.mu.Lock()
	if g.blamed != nil && now.Sub(g.blamed.at).Abs() < blamedFor {
		defer g.mu.Unlock()
		return g.blamed
	}
	candidates := make([]Mark, 0, len(g.blamable))
	for _, m := range g.blamable {
		candidates = append(candidates, m)
	}
	changes := g.changes
	g.mu.Unlock()
	b := &blamedParts{at: now, byQuick: map[uint64][]*blamedPart{}, count: map[uint64]int{}}
	for _, m := range candidates {
		e := g.parts.Evidence(m.Fingerprint, now)
		if !g.config.Parts.blames(e) {
			continue
		}
		p := &blamedPart{Mark: m, Evidence: e, crashes: hashCrashes(e)}
		b.byQuick[m.Quick] = append(b.byQuick[m.Quick], p)
		if b.count[p.crashes]++; b.count[p.crashes] == 1 {
			b.distinct = append(b.distinct, p)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.changes == changes {
		g.blamed = b
	}
	return b
}

// changed discards the blamed parts after news. The caller must hold mu.
func (g *Guard) changed() {
	g.changes++
	g.blamed = nil
}

// hashCrashes returns a hash of the crashes in evidence that doesn't depend on their order.
func hashCrashes(e attempt.Evidence) uint64 {
	sum := uint64(0)
	for _, obs := range e.Observations {
		sum += hashCrash(obs.Crash)
	}
	return sum
}

// hashCrash returns a hash of the identity of a crash.
func hashCrash(c attempt.Crash) uint64 {
	return quickHash([]byte(c.Group), []byte{byte(c.Epoch), byte(c.Epoch >> 8), byte(c.Epoch >> 16), byte(c.Epoch >> 24), byte(c.Epoch >> 32), byte(c.Epoch >> 40)})
}

// of returns the blamed parts that a request has.
func (b *blamedParts) of(c *Content) []*blamedPart {
	if len(b.byQuick) == 0 {
		return nil
	}
	var own []*blamedPart
	for _, part := range c.Parts {
		for _, p := range b.byQuick[part.Quick] {
			if p.Part == part.ID {
				own = append(own, p)
			}
		}
	}
	return own
}

// unexplained returns those of a request's blamed parts for which it must not be sent to a
// server.
//
// Parts that were in flight during the same crashes can't be told apart. A request that
// has one of them, and lacks another that explains its crashes as well, is therefore let
// through: its answer acquits the part, or its crash tells the two apart.
func (b *blamedParts) unexplained(own []*blamedPart, decisive int) []*blamedPart {
	ownCount := map[uint64]int{}
	for _, p := range own {
		ownCount[p.crashes]++
	}
	// explained holds what was found out for a set of crashes.
	explained := map[uint64]bool{}
	return slices.DeleteFunc(slices.Clone(own), func(p *blamedPart) bool {
		found, known := explained[p.crashes]
		if !known {
			found = slices.ContainsFunc(b.distinct, func(other *blamedPart) bool {
				// The request lacks a part with these crashes.
				return b.count[other.crashes] > ownCount[other.crashes] && crashesOutside(p.Evidence, other.Evidence) < decisive
			})
			explained[p.crashes] = found
		}
		return found
	})
}

// newest returns the latest crash in evidence, the same one for all parts that were in
// flight during it.
func newest(e attempt.Evidence) attempt.CrashObservation {
	return slices.MinFunc(e.Observations, func(a, b attempt.CrashObservation) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Crash.Group, b.Crash.Group), cmp.Compare(a.Crash.Epoch, b.Crash.Epoch))
	})
}
