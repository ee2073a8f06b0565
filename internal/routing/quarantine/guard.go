package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"almondbay.example/core/attempt"
	"almondbay.example/internal/fleet/registry"
)

// Evidence is what is known against a mark, as nodes tell it to each other.
type Evidence struct {
	attempt.Evidence
	// Quick and Part are those of the mark.
	Quick uint64
	Part  string
}

// GuardConfig configures a Guard.
type GuardConfig struct {
	// Quarantine is when crashes are blamed on the content of a request.
	Quarantine attempt.QuarantineConfig
	Parts      PartPolicy
	Trials     TrialPolicy
	// MaxRecent bounds the answered contents that are remembered in each half of
	// Quarantine.CompletionGrace, and the answered parts of prompts in each
	// Parts.AnsweredFor.
	MaxRecent int
}

// Guard decides from the evidence of all nodes which requests may be sent to
// servers. Requests without evidence cost it one cheap hash and some look-ups. It is
// safe for concurrent use.
type Guard struct {
	config GuardConfig
	// contents and parts hold the evidence against the two kinds of marks.
	contents, parts *attempt.Quarantine

	mu sync.Mutex
	// known holds the fingerprints of the marks with evidence by cheap hash.
	known map[uint64][]attempt.Fingerprint
	marks map[attempt.Fingerprint]Mark
	// blamable holds the parts whose crashes may suffice to blame them.
	blamable map[attempt.Fingerprint]Mark
	// blamed holds those that are blamed; nil after news. changes counts the news.
	blamed  *blamedParts
	changes uint64
	// trials holds the latest trials that this node has sent.
	trials []trial
	// contentAnswers and partAnswers hold the answers that this node returned.
	contentAnswers, partAnswers *answers
}

// NewGuard returns a guard without evidence.
func NewGuard(c GuardConfig) *Guard {
	return &Guard{
		config:         c,
		contents:       attempt.NewQuarantine(c.Quarantine),
		parts:          attempt.NewQuarantine(c.Parts.Quarantine),
		known:          map[uint64][]attempt.Fingerprint{},
		marks:          map[attempt.Fingerprint]Mark{},
		blamable:       map[attempt.Fingerprint]Mark{},
		contentAnswers: newAnswers(c.Quarantine.CompletionGrace/2, c.MaxRecent),
		partAnswers:    newAnswers(c.Parts.AnsweredFor, c.MaxRecent),
	}
}

// evidenceOf returns where the evidence against a mark is kept.
func (g *Guard) evidenceOf(part string) *attempt.Quarantine {
	if part != "" {
		return g.parts
	}
	return g.contents
}

// Culprit returns the mark for which a request must not be sent to a server, if there
// is one.
func (g *Guard) Culprit(c *Content, now time.Time) (Mark, bool) {
	if g.suspectedContent(c) && g.contents.Quarantined(c.Mark().Fingerprint, now) {
		return c.Mark(), true
	}
	return g.CulpritPart(c, now)
}

// CulpritPart returns the part of its prompt for which a request must not be sent to a
// server, if there is one. It may be called for one content at several places at a time.
func (g *Guard) CulpritPart(c *Content, now time.Time) (Mark, bool) {
	if len(c.Parts) == 0 {
		return Mark{}, false
	}
	b := g.blamedParts(now)
	if parts := b.unexplained(b.of(c), g.config.Parts.Decisive); len(parts) > 0 {
		return parts[0].Mark, true
	}
	return Mark{}, false
}

// MayTryAgain reports whether a request may be tried at another server after the
// given heads ended its tries. That they crashed is not known yet, so heads that
// ended a connection for another reason count as well. A request with a new part under
// which SuspectCrashes other servers crashed is not tried again.
func (g *Guard) MayTryAgain(c *Content, lost []registry.Head, now time.Time) bool {
	var own []attempt.Crash
	for _, h := range lost {
		own = append(own, crashOf(h))
	}
	var crashes []attempt.Crash
	if g.suspectedContent(c) {
		if g.contents.Quarantined(c.Mark().Fingerprint, now) {
			return false
		}
		crashes = g.contents.Crashes(c.Mark().Fingerprint, now)
	}
	for _, crash := range own {
		if !slices.Contains(crashes, crash) {
			crashes = append(crashes, crash)
		}
	}
	if len(crashes) >= g.config.Quarantine.MaxCrashes {
		return false
	}
	if _, ok := g.CulpritPart(c, now); ok {
		return false
	}
	return !slices.ContainsFunc(g.suspectedParts(c), func(m Mark) bool {
		e := g.parts.Evidence(m.Fingerprint, now)
		others := 0
		for _, obs := range e.Observations {
			if !slices.Contains(own, obs.Crash) {
				others++
			}
		}
		return g.config.Parts.isNew(e) && others >= g.config.Parts.SuspectCrashes
	})
}

// suspectedContent reports whether there may be evidence against the content of a
// request.
func (g *Guard) suspectedContent(c *Content) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return len(g.known) > 0 && len(g.known[c.Quick()]) > 0
}

// suspectedParts returns the parts of a request's prompt with evidence against them.
func (g *Guard) suspectedParts(c *Content) []Mark {
	g.mu.Lock()
	defer g.mu.Unlock()

	if len(g.known) == 0 {
		return nil
	}
	var suspected []Mark
	for _, p := range c.Parts {
		if len(g.known[p.Quick]) > 0 {
			suspected = append(suspected, p.Mark())
		}
	}
	return suspected
}

// RecordAnswer records that a server answered a request that was sent to it at a time. It
// returns the evidence that the answer refutes or weakens, as it stands now, to tell it to
// the other nodes. Crashes count against parts of the prompt if they came after that time:
// a part that begins to crash servers does not end those that write already.
func (g *Guard) RecordAnswer(c *Content, sentAt, now time.Time) []Evidence {
	g.mu.Lock()
	g.contentAnswers.record(c.Quick(), sentAt, now)
	for _, p := range c.Parts {
		g.partAnswers.record(p.Quick, sentAt, now)
	}
	g.mu.Unlock()
	var refuted []Evidence
	if g.suspectedContent(c) && g.Withdraw(c.Mark().Fingerprint, now) {
		refuted = append(refuted, g.Evidence(c.Mark().Fingerprint, now))
	}
	for _, m := range g.suspectedParts(c) {
		before := g.parts.Evidence(m.Fingerprint, now)
		g.parts.RecordCompletion(m.Fingerprint, sentAt)
		g.acquit(m, now)
		if matters(g.config.Parts, before, now.Sub(sentAt)) {
			refuted = append(refuted, g.Evidence(m.Fingerprint, now))
		}
	}
	return refuted
}

// acquit takes a part out of the maps that find it, as far as its crashes don't count any
// more.
func (g *Guard) acquit(m Mark, now time.Time) {
	crashes := len(g.parts.Crashes(m.Fingerprint, now))
	g.mu.Lock()
	defer g.mu.Unlock()

	if _, ok := g.blamable[m.Fingerprint]; ok && crashes < g.config.Parts.New.Crashes {
		delete(g.blamable, m.Fingerprint)
		g.changed()
	}
	if crashes == 0 {
		g.forgetQuick(m)
	}
}

// forgetQuick removes a mark from known. The caller must hold mu.
func (g *Guard) forgetQuick(m Mark) {
	g.known[m.Quick] = slices.DeleteFunc(g.known[m.Quick], func(o attempt.Fingerprint) bool { return o == m.Fingerprint })
	if len(g.known[m.Quick]) == 0 {
		delete(g.known, m.Quick)
	}
}

// RecordEnd records the end of a server against the marks of the requests that lost a
// try by it, and returns what is news to the other nodes. What is most likely to matter
// comes last: a long prompt has more parts than a message, and most were answered before.
func (g *Guard) RecordEnd(e End, now time.Time) []Evidence {
	var news []Evidence
	for _, m := range e.Marks {
		own := attempt.Evidence{
			Fingerprint:  m.Fingerprint,
			Observations: []attempt.CrashObservation{{Crash: e.Crash, Age: max(0, now.Sub(e.At))}},
		}
		if g.Merge(Evidence{Evidence: own, Quick: m.Quick, Part: m.Part}, now).News {
			news = append(news, g.Evidence(m.Fingerprint, now))
		}
	}
	slices.SortStableFunc(news, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(g.weight(a), g.weight(b)), cmp.Compare(len(a.Observations), len(b.Observations)))
	})
	return news
}

// weight orders evidence by how likely it is to matter: against parts that were answered
// before, against others, against contents.
func (g *Guard) weight(e Evidence) int {
	switch {
	case e.Part == "":
		return 2
	case g.config.Parts.isNew(e.Evidence):
		return 1
	default:
		return 0
	}
}

// Merged is what came of merging evidence.
type Merged struct {
	// News is set if any of it is news to this node.
	News bool
	// Answered is set if this node has returned an answer that may refute some of it, or
	// that makes the part one that was answered before, and other nodes may not know.
	Answered bool
}

// Merge adds the evidence of another node. If this node knows that requests with the
// mark were answered, that is part of the evidence from now on.
func (g *Guard) Merge(e Evidence, now time.Time) Merged {
	q := g.evidenceOf(e.Part)
	if !q.Merge(e.Evidence, now) {
		g.register(e, now)
		return Merged{}
	}
	merged := Merged{News: true}
	g.mu.Lock()
	remembered := g.contentAnswers
	if e.Part != "" {
		remembered = g.partAnswers
	}
	at, ok := remembered.last(e.Quick, now)
	g.mu.Unlock()
	if ok && e.Part == "" {
		q.RecordCompletion(e.Fingerprint, now)
	}
	if ok && e.Part != "" {
		q.RecordCompletion(e.Fingerprint, at)
		merged.Answered = matters(g.config.Parts, e.Evidence, now.Sub(at))
	}
	g.register(e, now)
	return merged
}

// matters reports whether an answer to a request that was sent an age ago changes the
// evidence against a part: it refutes a crash, or the part is taken for a new one and may
// be blamed soon.
func matters(p PartPolicy, e attempt.Evidence, age time.Duration) bool {
	refutes := slices.ContainsFunc(e.Observations, func(obs attempt.CrashObservation) bool { return obs.Age >= age })
	known := e
	known.Completed, known.CompletedAge = true, age
	return refutes || len(e.Observations) > 1 && p.isNew(e) && !p.isNew(known)
}

// register adds the mark of evidence to the maps that find it.
func (g *Guard) register(e Evidence, now time.Time) {
	blamable := e.Part != "" && len(g.parts.Crashes(e.Fingerprint, now)) >= g.config.Parts.New.Crashes
	g.mu.Lock()
	defer g.mu.Unlock()

	m := Mark{Fingerprint: e.Fingerprint, Quick: e.Quick, Part: e.Part}
	g.marks[e.Fingerprint] = m
	if !slices.Contains(g.known[e.Quick], e.Fingerprint) {
		g.known[e.Quick] = append(g.known[e.Quick], e.Fingerprint)
	}
	_, was := g.blamable[e.Fingerprint]
	switch {
	case blamable:
		g.blamable[e.Fingerprint] = m
	case was:
		delete(g.blamable, e.Fingerprint)
	}
	if blamable || was {
		g.changed()
	}
}

// mark returns the mark with a fingerprint, if there was evidence against it.
func (g *Guard) mark(f attempt.Fingerprint) Mark {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.marks[f]
}

// Withdraw takes back all evidence against a mark. It reports whether there was any.
func (g *Guard) Withdraw(f attempt.Fingerprint, now time.Time) bool {
	m := g.mark(f)
	q := g.evidenceOf(m.Part)
	if len(q.Crashes(f, now)) == 0 || !q.RecordCompletion(f, now) {
		return false
	}
	if m.Part != "" {
		g.acquit(m, now)
	}
	return true
}

// Evidence returns what is known of a mark.
func (g *Guard) Evidence(f attempt.Fingerprint, now time.Time) Evidence {
	m := g.mark(f)
	return Evidence{Evidence: g.evidenceOf(m.Part).Evidence(f, now), Quick: m.Quick, Part: m.Part}
}

// All returns the evidence that counts now, against each mark.
func (g *Guard) All(now time.Time) []Evidence {
	var all []Evidence
	for _, m := range g.listMarks() {
		if e := g.Evidence(m.Fingerprint, now); len(e.Observations) > 0 {
			all = append(all, e)
		}
	}
	return all
}

// listMarks returns the marks with evidence.
func (g *Guard) listMarks() []Mark {
	g.mu.Lock()
	defer g.mu.Unlock()

	return slices.Collect(maps.Values(g.marks))
}

// History returns all that is known of a mark, also what an answer has refuted.
func (g *Guard) History(f attempt.Fingerprint, now time.Time) Evidence {
	m := g.mark(f)
	return Evidence{Evidence: g.evidenceOf(m.Part).History(f, now), Quick: m.Quick, Part: m.Part}
}

// Verdict is what the evidence against a mark amounts to.
type Verdict struct {
	// Suspected is set if there is evidence, Blamed if it suffices: requests with the mark
	// are rejected, unless they lack another mark that explains the same crashes.
	Suspected, Blamed bool
	// New is set if there is evidence against a part of prompts that was not answered
	// before.
	New bool
}

// Verdict returns the verdict on a mark.
func (g *Guard) Verdict(f attempt.Fingerprint, now time.Time) Verdict {
	e := g.Evidence(f, now)
	v := Verdict{Suspected: len(e.Observations) > 0}
	if e.Part == "" {
		v.Blamed = g.contents.Quarantined(f, now)
		return v
	}
	v.Blamed = g.config.Parts.blames(e.Evidence)
	v.New = v.Suspected && g.config.Parts.isNew(e.Evidence)
	return v
}

// Counts are numbers of marks.
type Counts struct {
	Suspected, BlamedContents, BlamedParts int
}

// Count returns the numbers of marks with evidence.
func (g *Guard) Count(now time.Time) Counts {
	marks := g.listMarks()
	c := Counts{Suspected: len(marks)}
	for _, m := range marks {
		switch {
		case !g.Verdict(m.Fingerprint, now).Blamed:
		case m.Part == "":
			c.BlamedContents++
		default:
			c.BlamedParts++
		}
	}
	return c
}

// BlamableParts returns the parts of prompts whose crashes may suffice to blame them.
func (g *Guard) BlamableParts() []Mark {
	g.mu.Lock()
	defer g.mu.Unlock()

	parts := make([]Mark, 0, len(g.blamable))
	for _, m := range g.blamable {
		parts = append(parts, m)
	}
	return parts
}

// Expire forgets evidence that no longer counts.
func (g *Guard) Expire(now time.Time) {
	g.contents.Expire(now)
	g.parts.Expire(now)
	g.mu.Lock()
	defer g.mu.Unlock()

	for f, m := range g.marks {
		crashes := len(g.evidenceOf(m.Part).Crashes(f, now))
		if crashes < g.config.Parts.New.Crashes {
			delete(g.blamable, f)
		}
		if crashes > 0 {
			continue
		}
		delete(g.marks, f)
		g.forgetQuick(m)
	}
	g.changed()
}
