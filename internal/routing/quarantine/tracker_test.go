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
	return &quarantine.Content{Workspace: "ws", Target: "/x", Body: []byte(body)}
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
	base := &quarantine.Content{Workspace: "ab", Target: "/c", Body: []byte("d")}
	if base.Mark() != (&quarantine.Content{Workspace: "ab", Target: "/c", Body: []byte("d")}).Mark() {
		t.Error("the same request has two hashes")
	}
	for _, other := range []*quarantine.Content{
		{Workspace: "a", Target: "b/c", Body: []byte("d")},
		{Workspace: "ab", Target: "/cd"},
		{Workspace: "ab", Target: "/c", Body: []byte("e")},
	} {
		d := other.Mark()
		if d.Fingerprint == base.Mark().Fingerprint || d.Quick == base.Mark().Quick {
			t.Errorf("%+v and %+v share a hash", other, base)
		}
	}
}
