package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondbay.example/core/attempt"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/quarantine"
)

// prompt returns the content of a request with a body of its own and the given shared
// parts.
func prompt(body string, parts ...string) *quarantine.Content {
	c := content(body)
	c.Parts = quarantine.NewParts(parts)
	return c
}

// crash records at all guards that a server crashed under requests with the given parts.
func crash(guards []*quarantine.Guard, server string, at time.Time, parts ...string) {
	e := quarantine.End{
		Server: registry.Life{ID: server, Incarnation: 1}, Crash: attempt.Crash{Group: server, Epoch: 1, Site: server},
		Proof: quarantine.ProofRefused, At: at,
	}
	for _, p := range quarantine.NewParts(parts) {
		e.Marks = append(e.Marks, p.Mark())
	}
	for _, g := range guards {
		g.RecordEnd(e, at)
	}
}

// step is something that happens to parts of prompts.
type step struct {
	// after is the time since the step before.
	after time.Duration
	// crashed lists the parts in flight at servers that crash, one entry for each server.
	crashed [][]string
	// answered lists the parts of a request that is answered.
	answered []string
}

// crashes returns the steps by which one server after the other crashes.
func crashes(count int, spacing time.Duration, parts ...string) []step {
	var steps []step
	for range count {
		steps = append(steps, step{after: spacing, crashed: [][]string{parts}})
	}
	return steps
}

// play lets the steps happen at a guard and returns the time after them.
func play(g *quarantine.Guard, steps []step) time.Time {
	now := noon
	for i, s := range steps {
		now = now.Add(s.after)
		for k, parts := range s.crashed {
			crash([]*quarantine.Guard{g}, fmt.Sprint("step", i, "server", k), now, parts...)
		}
		if s.answered != nil {
			g.RecordAnswer(prompt(fmt.Sprint("answered in step ", i), s.answered...), now, now)
		}
	}
	return now
}

// TestWhoIsBlamedForCrashes guards against parts of prompts that are blamed for crashes
// by another cause, or by another part, and against crashing parts that are not.
func TestWhoIsBlamedForCrashes(t *testing.T) {
	const spacing = 200 * time.Millisecond
	answer := func(parts ...string) []step { return []step{{after: spacing, answered: parts}} }
	join := func(all ...[]step) []step {
		var steps []step
		for _, s := range all {
			steps = append(steps, s...)
		}
		return steps
	}
	rack := func(servers int, parts ...string) []step {
		s := step{after: spacing}
		for range servers {
			s.crashed = append(s.crashed, parts)
		}
		return []step{s}
	}
	tests := []struct {
		name  string
		steps []step
		// wait is the time from the last step to the verdict.
		wait              time.Duration
		rejected, allowed [][]string
	}{
		{
			"new part crashes three servers", join(answer("first"), crashes(3, spacing, "first", "bad")), 0,
			[][]string{{"first", "bad"}, {"other", "bad"}, {"bad"}},
			[][]string{{"first"}, {"other"}, nil},
		},
		{"two crashes", crashes(2, spacing, "bad"), 0, nil, [][]string{{"bad"}}},
		{"one rack", rack(9, "hot"), 0, nil, [][]string{{"hot"}}},
		{"two parts that were always together", crashes(3, spacing, "first", "bad"), 0, [][]string{{"first", "bad"}, {"bad", "x", "first"}}, [][]string{{"first"}, {"bad"}}},
		{
			"crashes without the other part tell them apart", join(crashes(3, spacing, "first", "bad"), crashes(2, spacing, "other", "bad")), 0,
			[][]string{{"bad"}, {"first", "bad"}},
			[][]string{{"first"}, {"other"}},
		},
		{
			"crash by another cause under the innocent part", join(crashes(3, spacing, "first", "bad"), crashes(1, spacing, "first")), 0,
			[][]string{{"first", "bad"}},
			[][]string{{"first"}},
		},
		{
			"two crashing parts, each with its own first part", join(crashes(3, spacing, "p", "bad"), crashes(3, spacing, "q", "worse")), 0,
			[][]string{{"p", "bad"}, {"q", "worse"}, {"p", "q", "bad"}},
			[][]string{{"p"}, {"q"}},
		},
		{"answers between the crashes", join(crashes(2, spacing, "hot"), answer("hot"), crashes(2, spacing, "hot"), answer("hot"), crashes(2, spacing, "hot")), time.Hour, nil, [][]string{{"hot"}}},
		{"three faults in a row under a part in use", join(answer("hot"), rack(5, "hot"), answer("hot"), rack(5, "hot"), answer("hot"), rack(5, "hot")), 5 * time.Second, nil, [][]string{{"hot"}}},
		{"part that was answered before, too soon", join(answer("turned"), crashes(5, spacing, "turned")), 0, nil, [][]string{{"turned"}}},
		{"part that was answered before", join(answer("turned"), crashes(5, spacing, "turned")), 2 * time.Second, [][]string{{"turned"}}, [][]string{{"other"}}},
		{"part that was answered before, four crashes", join(answer("turned"), crashes(4, spacing, "turned")), time.Minute, nil, [][]string{{"turned"}}},
		{"part that was answered long before", join(answer("turned"), crashes(3, time.Minute+spacing, "turned")), 0, [][]string{{"turned"}}, nil},
		{"answer after the verdict", join(crashes(3, spacing, "wrong"), answer("wrong")), 0, nil, [][]string{{"wrong"}}},
		{"long ago", crashes(3, spacing, "bad"), 11 * time.Minute, nil, [][]string{{"bad"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGuard()
			now := play(g, tt.steps).Add(tt.wait)
			for _, parts := range tt.rejected {
				if m, ok := g.Culprit(prompt("new", parts...), now); !ok || m.Part == "" {
					t.Errorf("request with parts %v is not rejected", parts)
				}
			}
			for _, parts := range tt.allowed {
				if m, ok := g.Culprit(prompt("new", parts...), now); ok {
					t.Errorf("request with parts %v is rejected because of %+v", parts, m)
				}
			}
		})
	}
}

// TestSuspectIsNotTriedAgain guards against requests with a crashing part that end two
// servers each, and against innocent ones that lose their second try.
func TestSuspectIsNotTriedAgain(t *testing.T) {
	g := newGuard()
	g.RecordAnswer(prompt("before", "first"), noon, noon)
	lost := []registry.Head{{ID: "step0server0", Incarnation: 1}}
	if !g.MayTryAgain(prompt("x", "first", "bad"), lost, noon) {
		t.Error("request is not tried again without evidence")
	}
	other := []registry.Head{{ID: "s7", Incarnation: 1}}
	now := play(g, crashes(1, time.Second, "first", "bad"))
	if !g.MayTryAgain(prompt("x", "first", "bad"), other, now) {
		t.Error("request is not tried again though only one other server crashed under its parts")
	}
	now = play(g, crashes(2, time.Second, "first", "bad"))
	if !g.MayTryAgain(prompt("x", "first", "bad"), lost, now) {
		t.Error("request that lost a try by one of two crashes is not tried again")
	}
	if g.MayTryAgain(prompt("x", "first", "bad"), other, now) {
		t.Error("request with a new part is tried again after two other servers crashed under it")
	}
	if !g.MayTryAgain(prompt("x", "first"), other, now) {
		t.Error("request whose part was answered before is not tried again")
	}
}

// TestOtherNodesLearnOfAnswers guards against a part that is blamed by nodes that did not
// answer it, while others did.
func TestOtherNodesLearnOfAnswers(t *testing.T) {
	g, other := newGuard(), newGuard()
	other.RecordAnswer(prompt("before", "first"), noon, noon)
	answered := false
	for i := range 3 {
		now := noon.Add(time.Duration(i+1) * time.Second)
		e := quarantine.End{Crash: attempt.Crash{Group: fmt.Sprint("g", i)}, At: now, Marks: []quarantine.Mark{quarantine.NewParts([]string{"first"})[0].Mark()}}
		for _, news := range g.RecordEnd(e, now) {
			if other.Merge(news, now).Answered {
				answered = true
				g.Merge(other.Evidence(news.Fingerprint, now), now)
			}
		}
	}
	now := noon.Add(4 * time.Second)
	if !answered {
		t.Error("the node that answered the part does not tell so")
	}
	if quarantined(g, prompt("x", "first"), now) {
		t.Error("the part is blamed after three crashes, though it was answered before")
	}
}

// TestNodesAgreeOnParts guards against nodes that judge differently by the order in which
// they hear of crashes and answers, and checks the verdicts that no order may change.
func TestNodesAgreeOnParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 3
		guards := make([]*quarantine.Guard, nodes)
		for i := range guards {
			guards[i] = newGuard()
		}
		var told []quarantine.Evidence
		now := noon
		ended := map[string]int{}
		answered := map[string]bool{}
		for i := range rapid.IntRange(1, 20).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "milliseconds")) * time.Millisecond)
			node := guards[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			parts := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID).Draw(t, "parts")
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				told = append(told, node.RecordAnswer(prompt(fmt.Sprint(i), parts...), now, now)...)
				for _, p := range parts {
					answered[p] = true
				}
				continue
			}
			e := quarantine.End{Crash: attempt.Crash{Group: fmt.Sprint("g", i)}, At: now}
			for _, p := range quarantine.NewParts(parts) {
				e.Marks = append(e.Marks, p.Mark())
				ended[p.ID]++
			}
			told = append(told, node.RecordEnd(e, now)...)
		}
		for i, g := range guards {
			for _, e := range rapid.Permutation(told).Draw(t, fmt.Sprint("order of node ", i)) {
				g.Merge(e, now)
			}
		}
		for _, p := range []string{"a", "b", "c"} {
			for i, g := range guards {
				rejected := quarantined(g, prompt("x", p), now)
				if rejected && ended[p] < partPolicy.New.Crashes {
					t.Fatalf("node %d rejects part %s after %d crashes", i, p, ended[p])
				}
			}
			if !answered["a"] && !answered["b"] && !answered["c"] && ended[p] > 0 {
				for i, g := range guards {
					if got, want := quarantined(g, prompt("x", p), now.Add(time.Second)), quarantined(guards[0], prompt("x", p), now.Add(time.Second)); got != want && ended[p] >= 2*partPolicy.Answered.Crashes {
						t.Fatalf("node %d rejects part %s: %v, node 0: %v", i, p, got, want)
					}
				}
			}
		}
	})
}

// TestEvidenceAgainstPartSurvivesEncoding guards against evidence against a part that
// counts against a content after it was sent, and against forged parts.
func TestEvidenceAgainstPartSurvivesEncoding(t *testing.T) {
	g, other := newGuard(), newGuard()
	for i := range 3 {
		now := noon.Add(time.Duration(i) * time.Second)
		e := quarantine.End{Crash: attempt.Crash{Group: fmt.Sprint("g", i)}, At: now, Marks: []quarantine.Mark{quarantine.NewParts([]string{"bad"})[0].Mark()}}
		for _, news := range g.RecordEnd(e, now) {
			body, err := quarantine.EncodeEvidence(news)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := quarantine.DecodeEvidence(body)
			if err != nil {
				t.Fatal(err)
			}
			other.Merge(decoded, now)
		}
	}
	if !quarantined(other, prompt("x", "bad"), noon.Add(2*time.Second)) {
		t.Error("the part is not blamed by a node that was told of three crashes")
	}
	forged := g.Evidence(quarantine.NewParts([]string{"bad"})[0].Mark().Fingerprint, noon)
	forged.Part = "innocent"
	body, err := quarantine.EncodeEvidence(forged)
	if err != nil {
		t.Fatal(err)
	}
	if e, err := quarantine.DecodeEvidence(body); err == nil {
		t.Errorf("decoded evidence %+v with the fingerprint of another part", e)
	}
}

// newCrash returns what a node tells of a crash under a part of prompts.
func newCrash(part string) []quarantine.Evidence {
	g := newGuard()
	crash([]*quarantine.Guard{g}, "s", noon, part)
	return []quarantine.Evidence{g.Evidence(quarantine.NewParts([]string{part})[0].Mark().Fingerprint, noon)}
}

// TestMemoryOfPartsIsBounded guards against memory that grows with the number of parts of
// prompts that lose a try or are answered, each in one request.
func TestMemoryOfPartsIsBounded(t *testing.T) {
	g := newGuard()
	for i := range 40_000 {
		crash([]*quarantine.Guard{g}, fmt.Sprint("s", i%100), noon, fmt.Sprint("lost", i))
		g.RecordAnswer(prompt(fmt.Sprint(i), fmt.Sprint("answered", i)), noon, noon)
	}
	g.Expire(noon)
	if suspected := g.Count(noon).Suspected; suspected > 64*256 {
		t.Errorf("%d parts with evidence, want at most 64 shards of 256", suspected)
	}
	later := noon.Add(partPolicy.Quarantine.ObservationTTL + time.Second)
	g.Expire(later)
	if c := g.Count(later); c != (quarantine.Counts{}) {
		t.Errorf("%+v after the evidence has expired, want none", c)
	}
}

// TestCrashingPartIsFoundAmongManyParts guards against a part that is not blamed, or
// innocent ones that are, since requests have many parts and little in common.
func TestCrashingPartIsFoundAmongManyParts(t *testing.T) {
	g := newGuard()
	parts := func(request int) []string {
		var all []string
		for i := range 63 {
			all = append(all, fmt.Sprintf("request%dpart%d", request, i))
		}
		return all
	}
	for i := range 3 {
		crash([]*quarantine.Guard{g}, fmt.Sprint("s", i), noon.Add(time.Duration(i)*time.Second), append(parts(i), "bad")...)
	}
	now := noon.Add(3 * time.Second)
	if m, ok := g.Culprit(prompt("x", append(parts(9), "bad")...), now); !ok || m.Part != "bad" {
		t.Errorf("blamed %+v, %v, want the part that all requests had", m, ok)
	}
	if m, ok := g.Culprit(prompt("x", parts(0)...), now); ok {
		t.Errorf("blamed %+v, which one request had", m)
	}
}

// BenchmarkCulprit measures the check of a request without evidence against it, while
// there is evidence against others.
func BenchmarkCulprit(b *testing.B) {
	g := newGuard()
	for i := range 300 {
		crash([]*quarantine.Guard{g}, fmt.Sprint("s", i), noon, fmt.Sprint("part", i), "shared")
	}
	for _, count := range []int{1, 8, 64} {
		var ids []string
		for i := range count {
			ids = append(ids, fmt.Sprint("other", i))
		}
		c := prompt("body", ids...)
		b.Run(fmt.Sprint(count, " parts"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				g.Culprit(c, noon)
			}
		})
	}
}
