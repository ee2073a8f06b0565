package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"almondbay.example/core/attempt"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/quarantine"
)

const maxCrashes = 3

// partPolicy is the policy of an entry VM.
var partPolicy = quarantine.PartPolicy{
	Quarantine:  attempt.QuarantineConfig{ObservationTTL: 10 * time.Minute, MaxRequests: 256},
	New:         quarantine.PartThreshold{Crashes: 3, Episodes: 2},
	Answered:    quarantine.PartThreshold{Crashes: 5, Episodes: 3, Silence: 2 * time.Second},
	AnsweredFor: time.Minute,
	Decisive:    2,

	SuspectCrashes: 2,
	CommonCause:    50 * time.Millisecond,
}

func newGuard() *quarantine.Guard {
	return quarantine.NewGuard(quarantine.GuardConfig{
		Quarantine: attempt.QuarantineConfig{
			ObservationTTL: 10 * time.Minute, QuarantineTTL: time.Hour, MaxCrashes: maxCrashes,
			CompletionGrace: 10 * time.Second, MaxRequests: 256,
		},
		Parts:     partPolicy,
		MaxRecent: 64,
	})
}

// quarantined reports whether a request is rejected.
func quarantined(g *quarantine.Guard, c *quarantine.Content, now time.Time) bool {
	_, ok := g.Culprit(c, now)
	return ok
}

// recordEnd records an end that was found out as soon as it happened.
func recordEnd(g *quarantine.Guard, e quarantine.End, now time.Time) []quarantine.Evidence {
	e.At = now
	return g.RecordEnd(e, now)
}

// end returns the end of a plain server under some requests.
func end(server string, requests ...*quarantine.Content) quarantine.End {
	e := quarantine.End{
		Server: registry.Life{ID: server, Incarnation: 1}, Crash: attempt.Crash{Group: server, Epoch: 1, Site: server},
		Proof: quarantine.ProofRefused,
	}
	for _, c := range requests {
		e.Marks = append(e.Marks, c.Mark())
	}
	return e
}

// TestThirdEndQuarantines guards against a verdict that comes too late, or that falls
// on a request with other content.
func TestThirdEndQuarantines(t *testing.T) {
	g := newGuard()
	for i := range maxCrashes {
		if quarantined(g, content("bad"), noon) {
			t.Errorf("quarantined after %d ends", i)
		}
		recordEnd(g, end(fmt.Sprint("s", i), content("bad"), content(fmt.Sprint("bystander", i))), noon)
	}
	if !quarantined(g, content("bad"), noon) {
		t.Error("not quarantined after three ends")
	}
	for i := range maxCrashes {
		if quarantined(g, content(fmt.Sprint("bystander", i)), noon) {
			t.Errorf("bystander %d is quarantined", i)
		}
	}
	if quarantined(g, content("bad"), noon.Add(2*time.Hour)) {
		t.Error("quarantined for ever")
	}
}

// TestEndOfOneServerCountsOnce guards against a quarantine by one end that several
// nodes report, or that one node finds out in two ways.
func TestEndOfOneServerCountsOnce(t *testing.T) {
	g, other := newGuard(), newGuard()
	for range 5 {
		for _, e := range recordEnd(other, end("s0", content("x")), noon) {
			g.Merge(e, noon)
		}
		recordEnd(g, end("s0", content("x")), noon)
	}
	if quarantined(g, content("x"), noon) {
		t.Error("quarantined by the end of one server")
	}
}

// TestTriesStopAtThirdLoss guards against one request that ends more servers than
// three by its own tries, before anybody knows that the first of them ended.
func TestTriesStopAtThirdLoss(t *testing.T) {
	g := newGuard()
	head := func(id string) registry.Head { return registry.Head{ID: id, Incarnation: 1} }
	tests := []struct {
		name  string
		known int
		lost  []registry.Head
		want  bool
	}{
		{"first loss", 0, []registry.Head{head("s7")}, true},
		{"second loss", 0, []registry.Head{head("s7"), head("s8")}, true},
		{"third loss", 0, []registry.Head{head("s7"), head("s8"), head("s9")}, false},
		{"first loss after an end", 1, []registry.Head{head("s7")}, true},
		{"loss that is the known end", 1, []registry.Head{head("s0"), head("s8")}, true},
		{"first loss after two ends", 2, []registry.Head{head("s7")}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := content(tt.name)
			for i := range tt.known {
				recordEnd(g, end(fmt.Sprint("s", i), c), noon)
			}
			if got := g.MayTryAgain(c, tt.lost, noon); got != tt.want {
				t.Errorf("may try again: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestFrequentRequestIsNotBlamed guards against the quarantine of a request that many
// callers send, when a fault takes several servers that run it.
func TestFrequentRequestIsNotBlamed(t *testing.T) {
	g, other := newGuard(), newGuard()
	hot := content("hot")
	g.RecordAnswer(hot, noon, noon)
	for fault := range 3 {
		now := noon.Add(time.Duration(fault) * 2 * time.Second)
		for i := range 5 {
			for _, e := range recordEnd(g, end(fmt.Sprint("fault", fault, "server", i), hot, content("bad")), now) {
				other.Merge(e, now)
			}
		}
	}
	now := noon.Add(5 * time.Second)
	for name, guard := range map[string]*quarantine.Guard{"node that answered it": g, "other node": other} {
		if quarantined(guard, hot, now) {
			t.Errorf("%s: the frequent request is quarantined", name)
		}
		if !quarantined(guard, content("bad"), now) {
			t.Errorf("%s: the request that was never answered is not quarantined", name)
		}
	}
}

// TestAnswerTakesVerdictBack guards against a wrong verdict that other nodes keep after
// a server has answered the request.
func TestAnswerTakesVerdictBack(t *testing.T) {
	g, other := newGuard(), newGuard()
	c := content("x")
	for i := range maxCrashes {
		for _, e := range recordEnd(g, end(fmt.Sprint("s", i), c), noon) {
			other.Merge(e, noon)
		}
	}
	refuted := g.RecordAnswer(content("x"), noon.Add(time.Second), noon.Add(time.Second))
	if len(refuted) != 1 {
		t.Fatalf("the answer refutes %d marks, want 1", len(refuted))
	}
	if !other.Merge(refuted[0], noon.Add(2*time.Second)).News || quarantined(other, c, noon.Add(2*time.Second)) || quarantined(g, c, noon.Add(2*time.Second)) {
		t.Error("quarantined after an answer")
	}
	if refuted := g.RecordAnswer(content("x"), noon.Add(3*time.Second), noon.Add(3*time.Second)); len(refuted) > 0 {
		t.Error("a second answer is news")
	}
}

// TestNodesAgree guards against nodes that judge differently by the order in which
// they hear of ends and answers.
func TestNodesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type report struct {
			node, request, server int
			answer                bool
			after                 time.Duration
		}
		const nodes, requests = 3, 3
		guards := make([]*quarantine.Guard, nodes)
		for i := range guards {
			guards[i] = newGuard()
		}
		answered := map[int]time.Duration{}
		ends := map[int]map[int]time.Duration{}
		var told []quarantine.Evidence
		now := noon
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			r := report{
				node: rapid.IntRange(0, nodes-1).Draw(t, "node"), request: rapid.IntRange(0, requests-1).Draw(t, "request"),
				server: rapid.IntRange(0, 5).Draw(t, "server"), answer: rapid.IntRange(0, 5).Draw(t, "kind") == 0,
				after: time.Duration(rapid.IntRange(0, 15).Draw(t, "seconds")) * time.Second,
			}
			now = now.Add(r.after)
			c := content(fmt.Sprint(r.request))
			if r.answer {
				answered[r.request] = now.Sub(noon)
				told = append(told, guards[r.node].RecordAnswer(c, now, now)...)
				continue
			}
			if ends[r.request] == nil {
				ends[r.request] = map[int]time.Duration{}
			}
			if _, ok := ends[r.request][r.server]; !ok {
				ends[r.request][r.server] = now.Sub(noon)
			}
			told = append(told, recordEnd(guards[r.node], end(fmt.Sprint("s", r.server), c), now)...)
		}
		for i, g := range guards {
			for _, e := range rapid.Permutation(told).Draw(t, fmt.Sprint("order of node ", i)) {
				// The ages are those of the time at which the evidence was taken, so all
				// of it is a little younger than it was; the verdict must not depend on it.
				g.Merge(e, now)
			}
		}
		for request := range requests {
			c := content(fmt.Sprint(request))
			if len(ends[request]) < maxCrashes {
				for i, g := range guards {
					if quarantined(g, c, now) {
						t.Fatalf("node %d quarantines request %d after %d ends", i, request, len(ends[request]))
					}
				}
			}
			if _, ok := answered[request]; !ok && len(ends[request]) >= maxCrashes {
				for i, g := range guards {
					if !quarantined(g, c, now) {
						t.Fatalf("node %d does not quarantine request %d after %d ends", i, request, len(ends[request]))
					}
				}
			}
		}
	})
}

// TestEvidenceSurvivesEncoding guards against evidence that changes on its way.
func TestEvidenceSurvivesEncoding(t *testing.T) {
	g := newGuard()
	c := content("x")
	for i := range 2 {
		recordEnd(g, end(fmt.Sprint("s", i), c), noon)
	}
	g.RecordAnswer(c, noon.Add(time.Second), noon.Add(time.Second))
	for i := range 2 {
		recordEnd(g, end(fmt.Sprint("later", i), c), noon.Add(time.Minute))
	}
	want := g.Evidence(c.Mark().Fingerprint, noon.Add(time.Minute))
	body, err := quarantine.EncodeEvidence(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := quarantine.DecodeEvidence(body)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("evidence (-want +got):\n%s", diff)
	}
	if !want.Completed || len(want.Observations) != 2 {
		t.Errorf("evidence %+v, want two crashes after a completion", want)
	}
}

// FuzzDecodeEvidence feeds arbitrary bytes to the decoder and the result to a guard.
func FuzzDecodeEvidence(f *testing.F) {
	f.Add([]byte(`{"quick":"7","evidence":{"fingerprint":"","crashes":[{"group":"g","epoch":1,"site":"s","ageMs":5}],"completedMs":3}}`))
	f.Add([]byte(`{"quick":7}`))
	for _, e := range newCrash("bad") {
		body, err := quarantine.EncodeEvidence(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		e, err := quarantine.DecodeEvidence(body)
		if err != nil {
			return
		}
		g := newGuard()
		g.Merge(e, noon)
		quarantined(g, content("x"), noon)
		g.Expire(noon)
	})
}

// TestMemoryIsBounded guards against memory that grows with the number of requests
// that lose a try, each with content of its own.
func TestMemoryIsBounded(t *testing.T) {
	g := newGuard()
	for i := range 40_000 {
		c := content(fmt.Sprint(i))
		recordEnd(g, end(fmt.Sprint("s", i%100), c), noon)
		g.RecordAnswer(content(fmt.Sprint("answered ", i)), noon, noon)
	}
	g.Expire(noon)
	if suspected := g.Count(noon).Suspected; suspected > 64*256 {
		t.Errorf("%d requests with evidence, want at most 64 shards of 256", suspected)
	}
	g.Expire(noon.Add(time.Hour))
	if suspected := g.Count(noon.Add(time.Hour)).Suspected; suspected != 0 {
		t.Errorf("%d requests with evidence after its expiry, want none", suspected)
	}
}

// TestOutboxTellsNewsSeveralTimes guards against news that is lost with one message,
// and against messages that grow with the number of requests.
func TestOutboxTellsNewsSeveralTimes(t *testing.T) {
	o := quarantine.NewOutbox(3)
	a, b := content("a").Mark().Fingerprint, content("b").Mark().Fingerprint
	o.Add(a)
	o.Add(b)
	told := map[attempt.Fingerprint]int{}
	for message := 1; message <= 10; message++ {
		taken := o.Take(1)
		if len(taken) > 1 {
			t.Fatalf("message %d tells %d requests, want one at most", message, len(taken))
		}
		for _, f := range taken {
			told[f]++
		}
		if want := message < 2; o.Urgent() != want {
			t.Errorf("urgent after message %d: %v, want %v", message, o.Urgent(), want)
		}
	}
	if told[a] != 3 || told[b] != 3 {
		t.Errorf("told %d and %d times, want 3 each", told[a], told[b])
	}
	o.Add(a)
	o.Clear()
	if len(o.Take(9)) != 0 || o.Urgent() {
		t.Error("a cleared outbox tells something")
	}
}
