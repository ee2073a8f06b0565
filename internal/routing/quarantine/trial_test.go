package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"almondbay.example/internal/routing/quarantine"
)

// trialPolicy is the policy of an entry VM.
var trialPolicy = quarantine.TrialPolicy{
	Doubtful: []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 30 * time.Second},
	Sure:     []time.Duration{time.Minute, 4 * time.Minute},
	Slot:     4 * time.Second,
}

func newTrialGuard() *quarantine.Guard {
	return quarantine.NewGuard(quarantine.GuardConfig{Parts: partPolicy, Trials: trialPolicy, MaxRecent: 64})
}

// always chooses this node for each trial.
func always(uint64) bool { return true }

// sharedParts returns the IDs of parts that requests share.
func sharedParts(count int) []string {
	parts := make([]string, count)
	for i := range parts {
		parts[i] = fmt.Sprint("shared", i)
	}
	return parts
}

// awaitTrial returns the time from a time on at which a trial of a request is granted, and
// whether it is within a limit.
func awaitTrial(g *quarantine.Guard, c *quarantine.Content, from time.Time, limit time.Duration) (time.Time, bool) {
	for now := from; now.Sub(from) <= limit; now = now.Add(50 * time.Millisecond) {
		if g.Trial(c, now, always) {
			return now, true
		}
	}
	return time.Time{}, false
}

// TestWrongVerdictIsTakenBack guards against a verdict on parts of prompts that nothing takes
// back: what crashed the servers is seen by no node, and all requests with the parts beside
// it are rejected, so that none of them can be answered.
func TestWrongVerdictIsTakenBack(t *testing.T) {
	const longest = 6 * time.Second
	for _, count := range []int{1, 2, 66, 1300} {
		t.Run(fmt.Sprint(count, " parts"), func(t *testing.T) {
			parts := sharedParts(count)
			g := newTrialGuard()
			now := play(g, crashes(3, 200*time.Millisecond, parts...))
			sound := prompt("sound", parts...)
			if _, ok := g.CulpritPart(sound, now); !ok {
				t.Fatal("the parts are not blamed")
			}
			limit := longest
			if count == 1 {
				// A new part alone explains the crashes well.
				limit = 65 * time.Second
			}
			at, ok := awaitTrial(g, sound, now, limit)
			if !ok {
				t.Fatalf("no trial within %s", limit)
			}
			if g.Trial(sound, at, always) {
				t.Error("two trials at a time")
			}
			g.RecordAnswer(sound, at, at.Add(time.Second))
			if m, ok := g.CulpritPart(sound, at.Add(time.Second)); ok {
				t.Errorf("part %s is still blamed after the answer", m.Part)
			}
		})
	}
}

// TestTrialsAreFew guards against requests with a crashing part that reach servers as trials:
// no more than three after it has crashed five.
func TestTrialsAreFew(t *testing.T) {
	for _, count := range []int{1, 2, 66} {
		t.Run(fmt.Sprint(count, " parts"), func(t *testing.T) {
			parts := sharedParts(count)
			g := newTrialGuard()
			now := play(g, crashes(3, 200*time.Millisecond, parts...))
			bad := prompt("bad", parts...)
			ended, late := 3, 0
			for end := now.Add(9 * time.Minute); now.Before(end); {
				at, ok := awaitTrial(g, bad, now, end.Sub(now))
				if !ok {
					break
				}
				if ended >= 5 {
					late++
				}
				crash([]*quarantine.Guard{g}, fmt.Sprint("trial", ended), at, parts...)
				ended++
				now = at
			}
			if late > 3 {
				t.Errorf("%d requests reached servers after the fifth had ended, want at most 3", late)
			}
		})
	}
}

// TestTrialIsSentByOneNode guards against a trial by each node at the same time.
func TestTrialIsSentByOneNode(t *testing.T) {
	parts := sharedParts(66)
	const nodes = 15
	sent := 0
	for node := range uint64(nodes) {
		g := newTrialGuard()
		now := play(g, crashes(3, 200*time.Millisecond, parts...))
		// Nodes learn of the crashes at different times.
		for at := now; at.Sub(now) < 4*time.Second; at = at.Add(50 * time.Millisecond) {
			if g.Trial(prompt("sound", parts...), at, func(key uint64) bool { return key%nodes == node }) {
				sent++
			}
		}
	}
	if sent != 1 {
		t.Errorf("%d trials in one slot, want 1", sent)
	}
}

// TestCrashingPartSurvivesFullTables guards against a crashing part that is dropped from a
// full table, so that the parts beside it are blamed: each request with it has many parts of
// its own.
func TestCrashingPartSurvivesFullTables(t *testing.T) {
	policy := partPolicy
	// 2,560 in all shards.
	policy.Quarantine.MaxRequests = 40
	g := quarantine.NewGuard(quarantine.GuardConfig{Parts: policy, Trials: trialPolicy, MaxRecent: 64})
	now := noon
	for i := range 20 {
		now = now.Add(200 * time.Millisecond)
		parts := []string{"bad"}
		for k := range 1299 {
			parts = append(parts, fmt.Sprint("own", i, "-", k))
		}
		crash([]*quarantine.Guard{g}, fmt.Sprint("server", i), now, parts...)
		if _, ok := g.CulpritPart(prompt("x", "bad"), now); ok != (i >= 2) {
			t.Fatalf("after %d crashes: the crashing part is blamed: %v", i+1, ok)
		}
		if m, ok := g.CulpritPart(prompt("y", fmt.Sprint("own", i, "-7")), now); ok {
			t.Errorf("part %s is blamed for one crash", m.Part)
		}
	}
}

// TestAnswerCountsInFullTables guards against parts that stay blamed although requests with
// them are answered, or that count as new ones, since the tables of answers are full.
func TestAnswerCountsInFullTables(t *testing.T) {
	g := newTrialGuard()
	now := noon
	for i := range 300 {
		now = now.Add(10 * time.Millisecond)
		parts := []string{fmt.Sprint("own", i)}
		if i >= 100 {
			parts = append(parts, "shared")
		}
		g.RecordAnswer(prompt(fmt.Sprint("r", i), parts...), now, now)
	}
	now = now.Add(time.Second)
	for i := range 3 {
		now = now.Add(200 * time.Millisecond)
		crash([]*quarantine.Guard{g}, fmt.Sprint("server", i), now, "shared")
	}
	if _, ok := g.CulpritPart(prompt("x", "shared"), now); ok {
		t.Error("a part that was answered until the crashes is taken for a new one")
	}
}

// BenchmarkCulpritPart measures requests of the greatest number of parts, without crashes,
// with all parts under evidence, and with all of them blamed.
func BenchmarkCulpritPart(b *testing.B) {
	for _, count := range []int{3, 67, 1300} {
		for _, ends := range []int{0, 1, 3} {
			b.Run(fmt.Sprint(count, " parts, ", ends, " crashes"), func(b *testing.B) {
				g := newTrialGuard()
				parts := sharedParts(count)
				now := play(g, crashes(ends, 200*time.Millisecond, parts...))
				c := prompt("x", parts...)
				for b.Loop() {
					g.CulpritPart(c, now)
				}
			})
		}
	}
}
