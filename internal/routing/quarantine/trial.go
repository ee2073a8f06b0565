package quarantine

import (
	"slices"
	"time"
)

// TrialPolicy is when blamed parts of prompts are tried.
//
// A verdict on parts of prompts may be wrong: what crashed the servers is something else,
// which no node sees or remembers. Once all requests with the parts are rejected, no answer
// takes it back. Therefore one of them is sent to a server now and then, as a trial. Its
// answer acquits the parts; a crash is one more in the evidence of all nodes, so that they
// agree on when and where the next trial is due.
type TrialPolicy struct {
	// Doubtful and Sure hold the time since the last crash after which a trial is due, by the
	// number of crashes beyond those that suffice to blame a new part; there is none after
	// the last. Sure is for a request whose only blamed part was not answered before.
	Doubtful, Sure []time.Duration
	// Slot is the time for which one node may send a trial. It may in the middle half of
	// it, since nodes differ in the ages of crashes by the time that news takes.
	Slot time.Duration
}

// trial is a trial that is due.
type trial struct {
	// key is the same on all nodes that know of the last crash.
	key uint64
	// slot counts the slots since the trial became due.
	slot int
}

// due returns the trial of the given blamed parts that is due now, if there is one.
func (p TrialPolicy) due(parts []*blamedPart, policy PartPolicy) (trial, bool) {
	crashes, sure := 0, len(parts) == 1 && policy.isNew(parts[0].Evidence)
	last := newest(parts[0].Evidence)
	for _, part := range parts {
		crashes = max(crashes, len(part.Observations))
		if n := newest(part.Evidence); n.Age < last.Age {
			last = n
		}
	}
	waits := p.Doubtful
	if sure {
		waits = p.Sure
	}
	index := crashes - policy.New.Crashes
	if index < 0 || index >= len(waits) || last.Age < waits[index] {
		return trial{}, false
	}
	since := last.Age - waits[index]
	if phase := since % p.Slot; phase < p.Slot/4 || phase >= 3*p.Slot/4 {
		return trial{}, false
	}
	return trial{key: hashCrash(last.Crash), slot: int(since / p.Slot)}, true
}

// Trial reports whether a request that CulpritPart rejects is to be sent to a server all
// the same, at one only. chosen reports whether this node is the one for a key, which it
// must decide like the other nodes.
func (g *Guard) Trial(c *Content, now time.Time, chosen func(key uint64) bool) bool {
	b := g.blamedParts(now)
	parts := b.unexplained(b.of(c), g.config.Parts.Decisive)
	if len(parts) == 0 {
		return false
	}
	t, ok := g.config.Trials.due(parts, g.config.Parts)
	if !ok || !chosen(t.key+uint64(t.slot)) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()

	if slices.Contains(g.trials, t) {
		return false
	}
	if len(g.trials) >= maxTrials {
		g.trials = slices.Delete(g.trials, 0, 1)
	}
	g.trials = append(g.trials, t)
	return true
}

// maxTrials bounds the trials that are remembered, so that there is one for each slot.
const maxTrials = 64
