package quarantine_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/quarantine"
)

var noon = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)

const grace = 2 * time.Second

func newTracker() *quarantine.Tracker {
	return quarantine.NewTracker(quarantine.TrackerConfig{
		Retention: 10 * time.Second, LapseMin: 2 * time.Second, LapseMax: 5 * time.Second, ReturnGrace: grace, CheckInterval: 200 * time.Millisecond, MaxLosses: 4,
	})
}

func content(body string) *quarantine.Content {
	return &quarantine.Content{Workspace: "ws", Path: "/x", Body: [][]byte{[]byte(body)}}
}

// member is a server of group g; the head has rank 0.
func member(id string, rank int) *registry.Server {
	s := &registry.Server{
		ID: id, Service: "llm", Address: id, FabricDomain: "d0", Slots: 9, Incarnation: 1, Model: "m",
		Group: registry.Membership{Name: "g", Epoch: 3, Rank: rank, State: registry.StateReady},
	}
	if rank == 0 {
		s.Group.State = registry.StateOpen
	}
	return s
}

// fleet is a cache of registrations and a tracker that follows it.
type fleet struct {
	cache   *registry.Cache
	tracker *quarantine.Tracker
	version uint64
}

// newFleet returns a fleet with the group g of the servers a and b, and a plain
// server p.
func newFleet() *fleet {
	f := &fleet{
		cache:   registry.NewCache(registry.CacheConfig{ReturnGrace: grace, RecordRetention: time.Minute}),
		tracker: newTracker(),
	}
	plain := &registry.Server{ID: "p", Service: "plain", Address: "p", Slots: 6, Incarnation: 1}
	f.set(noon, "a", member("a", 0))
	f.set(noon, "b", member("b", 1))
	f.set(noon, "p", plain)
	return f
}

// set registers a server, or removes its registration if it is nil.
func (f *fleet) set(at time.Time, id string, s *registry.Server) {
	f.version++
	f.cache.Apply([]registry.Update{{ID: id, Version: f.version, Server: s}}, f.version, at)
	f.tracker.SetGroups(f.cache.View(at), at)
}

// lose records the loss of a request at a head that last sent data at noon + 1 s.
func (f *fleet) lose(id, body string, at time.Duration, abrupt bool) {
	head := registry.Head{ID: id, Address: id, Incarnation: 1}
	if id == "a" {
		head.Group, head.Epoch, head.FabricDomain, head.Model = "g", 3, "d0", "m"
	}
	f.tracker.Add(quarantine.Loss{
		Marks: []quarantine.Mark{content(body).Mark()}, Head: head, Since: noon.Add(time.Second), At: noon.Add(at), Abrupt: abrupt,
	})
}

// proofs returns the server and proof of each end.
func proofs(ends []quarantine.End) []string {
	var all []string
	for _, e := range ends {
		all = append(all, e.Server.ID+": "+string(e.Proof))
	}
	return all
}

// TestOnlyEndOfServerExplainsLoss guards against counting a crash that did not
// happen: a reset, a stall or a planned departure is none.
func TestOnlyEndOfServerExplainsLoss(t *testing.T) {
	reborn := func(id string, rank int) *registry.Server {
		s := member(id, rank)
		s.Incarnation, s.Group = 2, registry.Membership{}
		return s
	}
	tests := []struct {
		name string
		// then changes the registrations after a loss at head a at noon + 2 s.
		then func(f *fleet)
		want []string
	}{
		{"nothing else happens", func(*fleet) {}, nil},
		{"head registers again after a restart", func(f *fleet) { f.set(noon.Add(4*time.Second), "a", reborn("a", 0)) }, []string{"a: restarted"}},
		{"member registers again after a restart", func(f *fleet) { f.set(noon.Add(4*time.Second), "b", reborn("b", 1)) }, []string{"b: restarted"}},
		{"registration of the head lapses", func(f *fleet) { f.set(noon.Add(5*time.Second), "a", nil) }, []string{"a: registration lapsed"}},
		{"both lapse: one end", func(f *fleet) {
			f.set(noon.Add(5*time.Second), "a", nil)
			f.set(noon.Add(5*time.Second), "b", nil)
		}, []string{"a: registration lapsed"}},
		{"registration lapses too soon after the try received data", func(f *fleet) { f.set(noon.Add(2500*time.Millisecond), "a", nil) }, nil},
		{"registration lapses too late for an end before the loss", func(f *fleet) { f.set(noon.Add(7100*time.Millisecond), "a", nil) }, nil},
		{"registration had lapsed before", func(f *fleet) { f.set(noon.Add(500*time.Millisecond), "a", nil) }, nil},
		{"head leaves as planned", func(f *fleet) {
			leaving := member("a", 0)
			leaving.Draining = true
			f.set(noon.Add(2500*time.Millisecond), "a", leaving)
			f.set(noon.Add(5*time.Second), "a", nil)
		}, nil},
		{"registration lapses during an outage of the store and is back", func(f *fleet) {
			f.cache.RecordFailure(noon.Add(5 * time.Second))
			f.set(noon.Add(5*time.Second), "a", nil)
			f.set(noon.Add(6500*time.Millisecond), "a", member("a", 0))
		}, nil},
		{"registration lapses during an outage of the store and is not back", func(f *fleet) {
			f.cache.RecordFailure(noon.Add(5 * time.Second))
			f.set(noon.Add(5*time.Second), "a", nil)
		}, []string{"a: registration lapsed"}},
		{"another server ends", func(f *fleet) { f.set(noon.Add(5*time.Second), "p", nil) }, nil},
	}
	for _, tt := range tests {
		for _, abrupt := range []bool{true, false} {
			t.Run(tt.name, func(t *testing.T) {
				f := newFleet()
				f.lose("a", "body", 2*time.Second, abrupt)
				tt.then(f)
				now := noon.Add(7500 * time.Millisecond)
				if diff := cmp.Diff(tt.want, proofs(f.tracker.Match(f.cache.View(now), now))); diff != "" {
					t.Errorf("ends (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// TestLapseInOutageWaitsForReturn guards against counting a registration that lapsed
// during an outage of the store as the end of its server before it can be back.
func TestLapseInOutageWaitsForReturn(t *testing.T) {
	f := newFleet()
	f.lose("a", "body", 2*time.Second, true)
	f.cache.RecordFailure(noon.Add(5 * time.Second))
	f.set(noon.Add(5*time.Second), "a", nil)
	now := noon.Add(5500 * time.Millisecond)
	if ends := f.tracker.Match(f.cache.View(now), now); len(ends) != 0 {
		t.Errorf("ends %+v within the grace after the outage", ends)
	}
}

// TestConnectionTellsWhetherHeadEnded guards against waiting for the registration of
// a head to lapse, and against blaming a head that lives.
func TestConnectionTellsWhetherHeadEnded(t *testing.T) {
	f := newFleet()
	f.lose("a", "first", 2*time.Second, true)
	f.lose("a", "second", 2*time.Second, true)
	f.lose("a", "canceled", 2*time.Second, false)
	now := noon.Add(2010 * time.Millisecond)
	due := f.tracker.Due(now)
	if len(due) != 1 || due[0].ID != "a" {
		t.Fatalf("heads to check %+v, want a once", due)
	}
	f.lose("a", "later", 3*time.Second, true)
	ends := f.tracker.RecordCheck(due[0], now, quarantine.CheckRefused)
	if len(ends) != 1 || ends[0].Proof != quarantine.ProofRefused || len(ends[0].Marks) != 3 {
		t.Fatalf("ends %+v, want one with the three requests lost before the connection", ends)
	}
	if ends[0].Crash.Group != "g" || ends[0].Crash.Epoch != 3 || ends[0].Crash.Site != "d0" {
		t.Errorf("crash %+v, want that of group g, epoch 3 in d0", ends[0].Crash)
	}
	if n := f.tracker.Pending(); n != 1 {
		t.Errorf("%d losses pending, want the later one", n)
	}
}

// TestQuickRestartIsFoundOut guards against a head that takes connections again, or
// whose address does, before it is checked, and so seems never to have ended.
func TestQuickRestartIsFoundOut(t *testing.T) {
	now := noon.Add(2010 * time.Millisecond)
	f := newFleet()
	f.lose("a", "body", 2*time.Second, true)
	ends := f.tracker.RecordCheck(f.tracker.Due(now)[0], now, quarantine.CheckRestarted)
	if diff := cmp.Diff([]string{"a: restarted"}, proofs(ends)); diff != "" {
		t.Errorf("ends after a report of another start time (-want +got):\n%s", diff)
	}
	f.lose("a", "body", 2*time.Second, true)
	now = now.Add(time.Second)
	f.tracker.RecordCheck(f.tracker.Due(now)[0], now, quarantine.CheckUnknown)
	f.set(noon.Add(5*time.Second), "a", nil)
	now = noon.Add(7500 * time.Millisecond)
	if diff := cmp.Diff([]string{"a: registration lapsed"}, proofs(f.tracker.Match(f.cache.View(now), now))); diff != "" {
		t.Errorf("ends after a connection without an answer (-want +got):\n%s", diff)
	}
}

// checkAll checks the heads that are due at each step of some time, and returns the ends
// and the times since noon at which the checks began.
func (f *fleet) checkAll(from, to time.Duration, answer func(at time.Duration) quarantine.CheckResult) (ends []quarantine.End, checks []time.Duration) {
	for at := from; at <= to; at += 100 * time.Millisecond {
		now := noon.Add(at)
		ends = append(ends, f.tracker.Match(f.cache.View(now), now)...)
		for _, head := range f.tracker.Due(now) {
			checks = append(checks, at)
			ends = append(ends, f.tracker.RecordCheck(head, now, answer(at))...)
		}
	}
	return ends, checks
}

// answers returns a result of checks until a time, and another one from then on.
func answers(first quarantine.CheckResult, until time.Duration, then quarantine.CheckResult) func(time.Duration) quarantine.CheckResult {
	return func(at time.Duration) quarantine.CheckResult {
		if at < until {
			return first
		}
		return then
	}
}

// TestHeadWithoutAnswerIsCheckedAgain guards against the failure of seed 518 of the soak: a
// head whose address accepted the connection of the only check, and cut it, had ended, which
// was found out when its registration lapsed, seconds late while the store was away.
func TestHeadWithoutAnswerIsCheckedAgain(t *testing.T) {
	tests := []struct {
		name string
		then quarantine.CheckResult
		want []string
	}{
		{"restarted", quarantine.CheckRestarted, []string{"a: restarted"}},
		{"refused", quarantine.CheckRefused, []string{"a: connection refused"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet()
			f.lose("a", "body", 2*time.Second, true)
			ends, _ := f.checkAll(2*time.Second, 4*time.Second, answers(quarantine.CheckNoAnswer, 2900*time.Millisecond, tt.then))
			if diff := cmp.Diff(tt.want, proofs(ends)); diff != "" {
				t.Errorf("ends within 2 s (-want +got):\n%s", diff)
			}
		})
	}
}

// TestChecksOfOneLossAreFew guards against a load of checks on heads that can't be reached,
// and against checks that find an end long after the loss.
func TestChecksOfOneLossAreFew(t *testing.T) {
	f := newFleet()
	f.lose("a", "body", 2*time.Second, true)
	ends, checks := f.checkAll(2*time.Second, 12*time.Second, answers(quarantine.CheckNoAnswer, 5100*time.Millisecond, quarantine.CheckRefused))
	want := []time.Duration{2000 * time.Millisecond, 2400 * time.Millisecond, 3200 * time.Millisecond, 4800 * time.Millisecond}
	if diff := cmp.Diff(want, checks); diff != "" || len(ends) != 0 {
		t.Errorf("ends %v, times of checks (-want +got):\n%s", proofs(ends), diff)
	}
}

// TestNewLossIsCheckedFirst guards against the end of a server that is found out late, since
// checks again of heads that can't be reached take the few that run at a time.
func TestNewLossIsCheckedFirst(t *testing.T) {
	f := newFleet()
	f.lose("a", "body", 2*time.Second, true)
	f.checkAll(2*time.Second, 2200*time.Millisecond, answers(quarantine.CheckNoAnswer, 0, quarantine.CheckNoAnswer))
	f.lose("p", "body", 2400*time.Millisecond, true)
	var due []string
	for _, head := range f.tracker.Due(noon.Add(2500 * time.Millisecond)) {
		due = append(due, head.ID)
	}
	if diff := cmp.Diff([]string{"p", "a"}, due); diff != "" {
		t.Errorf("heads to check (-want +got):\n%s", diff)
	}
}

// TestLaterCheckBlamesNoInnocent guards against checks again, after one without an answer,
// that find an end for which the request is not to blame.
func TestLaterCheckBlamesNoInnocent(t *testing.T) {
	const until = 2900 * time.Millisecond
	t.Run("head lives after a silence", func(t *testing.T) {
		f := newFleet()
		f.lose("a", "body", 2*time.Second, true)
		result := answers(quarantine.CheckNoAnswer, 2300*time.Millisecond, quarantine.CheckLives)
		if ends, checks := f.checkAll(2*time.Second, until, result); len(ends) != 0 || len(checks) != 2 {
			t.Errorf("ends %v, checks at %v, want none and 2", proofs(ends), checks)
		}
		f.lose("a", "other", 3*time.Second, true)
		ends, _ := f.checkAll(3*time.Second, 4*time.Second, answers(quarantine.CheckRefused, 0, quarantine.CheckRefused))
		if len(ends) != 1 || len(ends[0].Marks) != 1 || ends[0].Marks[0] != content("other").Mark() {
			t.Errorf("ends %+v, want one of the request that was lost after the answer", ends)
		}
	})
	t.Run("head does not tell", func(t *testing.T) {
		f := newFleet()
		f.lose("a", "body", 2*time.Second, true)
		result := answers(quarantine.CheckUnknown, 2300*time.Millisecond, quarantine.CheckRefused)
		if ends, checks := f.checkAll(2*time.Second, 4*time.Second, result); len(ends) != 0 || len(checks) != 1 {
			t.Errorf("ends %v, checks at %v, want none and 1", proofs(ends), checks)
		}
	})
	for _, said := range []string{"in its registration", "in an answer"} {
		t.Run("head leaves as planned and said so "+said, func(t *testing.T) {
			f := newFleet()
			f.lose("a", "before", 2*time.Second, true)
			f.checkAll(2*time.Second, 2200*time.Millisecond, answers(quarantine.CheckNoAnswer, until, quarantine.CheckNoAnswer))
			if said == "in an answer" {
				f.cache.RecordLeaving(member("a", 0).Life(), noon.Add(2200*time.Millisecond))
			} else {
				leaving := member("a", 0)
				leaving.Draining = true
				f.set(noon.Add(2200*time.Millisecond), "a", leaving)
			}
			f.lose("a", "after", 2300*time.Millisecond, true)
			f.checkAll(2300*time.Millisecond, 2300*time.Millisecond, answers(quarantine.CheckNoAnswer, until, quarantine.CheckNoAnswer))
			// A check that began beside the last one may end after it.
			now := noon.Add(2450 * time.Millisecond)
			if ends := f.tracker.RecordCheck(registry.Head{ID: "a", Incarnation: 1}, now, quarantine.CheckRefused); len(ends) != 0 {
				t.Errorf("ends %v of a head that left as planned", proofs(ends))
			}
			result := answers(quarantine.CheckRefused, 0, quarantine.CheckRefused)
			if ends, _ := f.checkAll(2500*time.Millisecond, 4*time.Second, result); len(ends) != 0 {
				t.Errorf("ends %v of a head that left as planned", proofs(ends))
			}
		})
	}
}

// TestLivingHeadIsNotBlamed guards against blaming a head that answered after a loss and whose registration lapses afterwards, as in a network partition.
func TestLivingHeadIsNotBlamed(t *testing.T) {
	f := newFleet()
	f.lose("a", "body", 2*time.Second, true)
	now := noon.Add(2010 * time.Millisecond)
	f.tracker.RecordCheck(f.tracker.Due(now)[0], now, quarantine.CheckLives)
	f.set(noon.Add(5*time.Second), "a", nil)
	now = noon.Add(5500 * time.Millisecond)
	if ends := f.tracker.Match(f.cache.View(now), now); len(ends) != 0 {
		t.Errorf("ends %+v of a head that lived after the loss", ends)
	}
	f.set(noon.Add(6*time.Second), "b", nil)
	now = noon.Add(6500 * time.Millisecond)
	if diff := cmp.Diff([]string{"b: registration lapsed"}, proofs(f.tracker.Match(f.cache.View(now), now))); diff != "" {
		t.Errorf("ends after the member has ended too (-want +got):\n%s", diff)
	}
}

// TestLossesAreBounded guards against memory that grows with the number of losses.
func TestLossesAreBounded(t *testing.T) {
	f := newFleet()
	for i := range 9 {
		f.lose("p", string(rune('a'+i)), 2*time.Second, true)
	}
	if n := f.tracker.Pending(); n != 4 {
		t.Errorf("%d losses pending, want MaxLosses, 4", n)
	}
	now := noon.Add(13 * time.Second)
	f.tracker.Match(f.cache.View(now), now)
	if n := f.tracker.Pending(); n != 0 {
		t.Errorf("%d losses pending after the retention, want none", n)
	}
}

// TestHashTellsRequestsApart guards against one hash for two requests, whose
// parts may concatenate to the same bytes, and against two for one.
func TestHashTellsRequestsApart(t *testing.T) {
	base := &quarantine.Content{Workspace: "ab", Path: "/c", Body: [][]byte{[]byte("d")}}
	if base.Mark() != (&quarantine.Content{Workspace: "ab", Path: "/c", Body: [][]byte{[]byte("d")}}).Mark() {
		t.Error("the same request has two hashes")
	}
	for _, other := range []*quarantine.Content{
		{Workspace: "a", Path: "b/c", Body: [][]byte{[]byte("d")}},
		{Workspace: "ab", Path: "/cd"},
		{Workspace: "ab", Path: "/c", Body: [][]byte{[]byte("e")}},
	} {
		d := other.Mark()
		if d.Fingerprint == base.Mark().Fingerprint || d.Quick == base.Mark().Quick {
			t.Errorf("%+v and %+v share a hash", other, base)
		}
	}
}
