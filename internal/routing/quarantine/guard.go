package quarantine

import (
	"slices"
	"sync"
	"time"

	"almondbay.example/core/attempt"
	"almondbay.example/internal/fleet/registry"
)

// Evidence is what is known against a request, as nodes tell it to each other.
type Evidence struct {
	attempt.Evidence
	// Quick is the cheap hash of the request.
	Quick uint64
}

// GuardConfig configures a Guard.
type GuardConfig struct {
	Quarantine attempt.QuarantineConfig
	// MaxRecent bounds the answered requests that are remembered in each half of
	// Quarantine.CompletionGrace.
	MaxRecent int
}

// Guard decides from the evidence of all nodes which requests may be sent to
// servers. Requests without evidence cost it one cheap hash. It is safe for
// concurrent use.
type Guard struct {
	config     GuardConfig
	quarantine *attempt.Quarantine

	mu sync.Mutex
	// known holds the fingerprints of the requests with evidence by cheap hash,
	// quick the cheap hash by fingerprint.
	known map[uint64][]attempt.Fingerprint
	quick map[attempt.Fingerprint]uint64
	// recent and older hold the cheap hashes of the requests that were answered in
	// the current and the previous half of CompletionGrace.
	recent, older map[uint64]struct{}
	rotatedAt     time.Time
}

// NewGuard returns a guard without evidence.
func NewGuard(c GuardConfig) *Guard {
	return &Guard{
		config:     c,
		quarantine: attempt.NewQuarantine(c.Quarantine),
		known:      map[uint64][]attempt.Fingerprint{},
		quick:      map[attempt.Fingerprint]uint64{},
		recent:     map[uint64]struct{}{},
		older:      map[uint64]struct{}{},
	}
}

// Quarantined reports whether a request must not be sent to a server.
func (g *Guard) Quarantined(c *Content, now time.Time) bool {
	return g.suspected(c) && g.quarantine.Quarantined(c.Mark().Fingerprint, now)
}

// MayTryAgain reports whether a request may be tried at another server after the
// given heads ended its tries. That they crashed is not known yet, so heads that
// ended a connection for another reason count as well.
func (g *Guard) MayTryAgain(c *Content, lost []registry.Head, now time.Time) bool {
	var crashes []attempt.Crash
	if g.suspected(c) {
		f := c.Mark().Fingerprint
		if g.quarantine.Quarantined(f, now) {
			return false
		}
		crashes = g.quarantine.Crashes(f, now)
	}
	for _, h := range lost {
		if crash := crashOf(h); !slices.Contains(crashes, crash) {
			crashes = append(crashes, crash)
		}
	}
	return len(crashes) < g.config.Quarantine.MaxCrashes
}

// suspected reports whether there may be evidence against a request.
func (g *Guard) suspected(c *Content) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return len(g.known) > 0 && len(g.known[c.Quick()]) > 0
}

// RecordAnswer records that a server answered a request. If there is evidence
// against it, the answer refutes that; the second result is then true and the first
// is what to tell the other nodes.
func (g *Guard) RecordAnswer(c *Content, now time.Time) (Evidence, bool) {
	g.mu.Lock()
	g.rotate(now)
	quick := c.Quick()
	if len(g.recent) < g.config.MaxRecent {
		g.recent[quick] = struct{}{}
	}
	suspected := len(g.known[quick]) > 0
	g.mu.Unlock()
	if !suspected {
		return Evidence{}, false
	}
	f := c.Mark().Fingerprint
	if len(g.quarantine.Crashes(f, now)) == 0 || !g.quarantine.RecordCompletion(f, now) {
		return Evidence{}, false
	}
	return g.Evidence(f, now), true
}

// rotate forgets answers that are older than CompletionGrace. The caller must hold
// mu.
func (g *Guard) rotate(now time.Time) {
	half := g.config.Quarantine.CompletionGrace / 2
	if now.Sub(g.rotatedAt) < half {
		return
	}
	g.older, g.recent = g.recent, g.older
	clear(g.recent)
	if now.Sub(g.rotatedAt) >= 2*half {
		clear(g.older)
	}
	g.rotatedAt = now
}

// RecordEnd records the end of a server against the requests that lost a try by it,
// and returns what is news to the other nodes.
func (g *Guard) RecordEnd(e End, now time.Time) []Evidence {
	var news []Evidence
	for _, d := range e.Marks {
		if d.Part != "" {
			continue
		}
		own := attempt.Evidence{Fingerprint: d.Fingerprint, Observations: []attempt.CrashObservation{{Crash: e.Crash}}}
		if g.Merge(Evidence{Evidence: own, Quick: d.Quick}, now) {
			news = append(news, g.Evidence(d.Fingerprint, now))
		}
	}
	return news
}

// Merge adds the evidence of another node and reports whether any of it is news. If
// this node knows that the request was answered about then, that is part of the
// evidence from now on.
func (g *Guard) Merge(e Evidence, now time.Time) bool {
	news := g.quarantine.Merge(e.Evidence, now)
	g.mu.Lock()
	if _, ok := g.quick[e.Fingerprint]; !ok {
		g.quick[e.Fingerprint] = e.Quick
		g.known[e.Quick] = append(g.known[e.Quick], e.Fingerprint)
	}
	g.rotate(now)
	_, recent := g.recent[e.Quick]
	_, older := g.older[e.Quick]
	g.mu.Unlock()
	if news && (recent || older) {
		g.quarantine.RecordCompletion(e.Fingerprint, now)
	}
	return news
}

// Withdraw takes back all evidence against a request. It reports whether there was
// any.
func (g *Guard) Withdraw(f attempt.Fingerprint, now time.Time) bool {
	return len(g.quarantine.Crashes(f, now)) > 0 && g.quarantine.RecordCompletion(f, now)
}

// Evidence returns what is known of a request.
func (g *Guard) Evidence(f attempt.Fingerprint, now time.Time) Evidence {
	g.mu.Lock()
	quick := g.quick[f]
	g.mu.Unlock()
	return Evidence{Evidence: g.quarantine.Evidence(f, now), Quick: quick}
}

// Verdict returns whether a request is quarantined and whether there is evidence
// against it at all.
func (g *Guard) Verdict(f attempt.Fingerprint, now time.Time) (quarantined, suspected bool) {
	return g.quarantine.Quarantined(f, now), len(g.quarantine.Crashes(f, now)) > 0
}

// Count returns the numbers of requests with evidence and of those quarantined.
func (g *Guard) Count(now time.Time) (suspected, quarantined int) {
	g.mu.Lock()
	fingerprints := make([]attempt.Fingerprint, 0, len(g.quick))
	for f := range g.quick {
		fingerprints = append(fingerprints, f)
	}
	g.mu.Unlock()
	for _, f := range fingerprints {
		if g.quarantine.Quarantined(f, now) {
			quarantined++
		}
	}
	return len(fingerprints), quarantined
}

// Expire forgets evidence that no longer counts.
func (g *Guard) Expire(now time.Time) {
	g.quarantine.Expire(now)
	g.mu.Lock()
	defer g.mu.Unlock()

	for f, quick := range g.quick {
		if len(g.quarantine.Crashes(f, now)) > 0 {
			continue
		}
		delete(g.quick, f)
		g.known[quick] = slices.DeleteFunc(g.known[quick], func(o attempt.Fingerprint) bool { return o == f })
		if len(g.known[quick]) == 0 {
			delete(g.known, quick)
		}
	}
}
