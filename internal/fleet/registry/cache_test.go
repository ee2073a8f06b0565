package registry_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/internal/fleet/registry"
)

var noon = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)

const grace = 2 * time.Second

func newCache() *registry.Cache {
	return registry.NewCache(registry.CacheConfig{ReturnGrace: grace, RecordRetention: time.Minute})
}

func member(id string, rank int, state registry.GroupState) *registry.Server {
	return &registry.Server{
		ID: id, Service: "llm", FabricDomain: "d0", Slots: 17, Incarnation: 1, Model: "small",
		Group: registry.Membership{Name: "g", Epoch: 3, Rank: rank, State: state},
	}
}

func heads(c *registry.Cache, now time.Time) []string {
	var ids []string
	for _, h := range registry.Heads(c.View(now), map[string]int{"small": 2}, now, grace) {
		ids = append(ids, h.ID)
	}
	return ids
}

// TestOnlyCompleteGroupsHaveHeads guards against sending requests to the head
// of a group while a member is missing, not ready, draining or in another
// epoch.
func TestOnlyCompleteGroupsHaveHeads(t *testing.T) {
	tests := []struct {
		name  string
		other *registry.Server
		want  []string
	}{
		{"complete", member("b", 1, registry.StateReady), []string{"a"}},
		{"member missing", nil, nil},
		{"member joining", member("b", 1, registry.StateJoining), nil},
		{"member draining", func() *registry.Server { s := member("b", 1, registry.StateReady); s.Draining = true; return s }(), nil},
		{"member in another epoch", func() *registry.Server { s := member("b", 1, registry.StateReady); s.Group.Epoch = 4; return s }(), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCache()
			c.Replace([]registry.Update{{ID: "a", Version: 1, Server: member("a", 0, registry.StateOpen)}}, 1, noon)
			c.Apply([]registry.Update{{ID: "b", Version: 2, Server: tt.other}}, 2, noon)
			if diff := cmp.Diff(tt.want, heads(c, noon)); diff != "" {
				t.Errorf("heads (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMissingRowCountsDuringGraceAfterOutage covers an outage of the store
// (fault platform_down). Registrations may expire during the outage, so a row
// that is missing right after it must count as registered until the grace has
// passed.
func TestMissingRowCountsDuringGraceAfterOutage(t *testing.T) {
	plain := &registry.Server{ID: "p", Service: "plain", Slots: 6}
	c := newCache()
	c.Replace([]registry.Update{{ID: "p", Version: 1, Server: plain}}, 1, noon)
	c.RecordFailure(noon.Add(time.Second))
	gone := noon.Add(2 * time.Second)
	c.Apply([]registry.Update{{ID: "p", Version: 5}}, 5, gone)
	if diff := cmp.Diff([]string{"p"}, heads(c, gone)); diff != "" {
		t.Errorf("heads within the grace (-want +got):\n%s", diff)
	}
	if got := heads(c, gone.Add(grace+time.Millisecond)); len(got) != 0 {
		t.Errorf("got heads %v after the grace, want none", got)
	}
}

// TestMissingRowRemovesServerWhileStoreIsStable guards against sending requests
// to a server that deregistered while the store was available.
func TestMissingRowRemovesServerWhileStoreIsStable(t *testing.T) {
	c := newCache()
	c.Replace([]registry.Update{{ID: "p", Version: 1, Server: &registry.Server{ID: "p", Service: "plain", Slots: 6}}}, 1, noon)
	later := noon.Add(time.Hour)
	c.Replace(nil, 9, later)
	if got := heads(c, later); len(got) != 0 {
		t.Errorf("got heads %v, want none", got)
	}
}

// TestOlderRowVersionIsIgnored guards against a late update of the store
// undoing a newer one: a draining server must not receive requests again.
func TestOlderRowVersionIsIgnored(t *testing.T) {
	c := newCache()
	c.Replace([]registry.Update{{ID: "p", Version: 7, Server: &registry.Server{ID: "p", Service: "plain", Slots: 6, Draining: true}}}, 7, noon)
	c.Apply([]registry.Update{{ID: "p", Version: 6, Server: &registry.Server{ID: "p", Service: "plain", Slots: 6}}}, 7, noon)
	if got := heads(c, noon); len(got) != 0 {
		t.Errorf("got heads %v, want none", got)
	}
}

// report returns a registration by its place in the history of a server.
func report(incarnation int64, sequence uint64, change ...func(*registry.Server)) *registry.Server {
	s := &registry.Server{ID: "p", Service: "plain", Slots: 6, Incarnation: incarnation, Sequence: sequence}
	for _, c := range change {
		c(s)
	}
	return s
}

func draining(s *registry.Server) { s.Draining = true }

// TestLateReportIsIgnored guards against requests to a server that is leaving or gone: the
// store writes one of its earlier reports late, so that the row has a newer version. It also
// guards against a server that isn't heard any more after it has started again, when its
// count of reports begins anew.
func TestLateReportIsIgnored(t *testing.T) {
	type step struct {
		server *registry.Server
		// removed is set if the row was deleted in place of a report.
		removed bool
		late    bool
	}
	tests := []struct {
		name  string
		steps []step
		// want is set if the server is sent requests in the end.
		want bool
	}{
		{"before it began to drain", []step{{server: report(1, 4)}, {server: report(1, 7, draining)}, {server: report(1, 5), late: true}}, false},
		{"several, out of order", []step{
			{server: report(1, 4)}, {server: report(1, 8, draining)}, {server: report(1, 6), late: true}, {server: report(1, 5), late: true},
		}, false},
		{"next report after a late one", []step{{server: report(1, 4)}, {server: report(1, 3, draining), late: true}, {server: report(1, 5)}}, true},
		{"after its removal", []step{{server: report(1, 4)}, {removed: true}, {server: report(1, 3), late: true}}, false},
		{"the last one again, after its removal", []step{{server: report(1, 4)}, {removed: true}, {server: report(1, 4), late: true}}, false},
		{"return after its removal", []step{{server: report(1, 4)}, {removed: true}, {server: report(1, 5)}}, true},
		{"return after a late one", []step{{server: report(1, 4)}, {removed: true}, {server: report(1, 2), late: true}, {server: report(1, 5)}}, true},
		{"of an ended life", []step{{server: report(1, 90)}, {server: report(2, 1, draining)}, {server: report(1, 91), late: true}}, false},
		{"later life, whose count begins anew", []step{{server: report(1, 90, draining)}, {server: report(2, 1)}}, true},
		{"later life after the removal", []step{{server: report(1, 90, draining)}, {removed: true}, {server: report(2, 1)}}, true},
		{"removal of a late one's row", []step{{server: report(1, 4)}, {removed: true}, {server: report(1, 3), late: true}, {removed: true}}, false},
		{"no count: the order of the store", []step{{server: report(1, 0)}, {server: report(1, 0, draining)}}, false},
		{"no start time: the order of the store", []step{{server: report(0, 9, draining)}, {server: report(0, 1)}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCache()
			for i, s := range tt.steps {
				version := uint64(i + 1)
				u := registry.Update{ID: "p", Version: version, Server: s.server}
				late := c.Apply([]registry.Update{u}, version, noon.Add(time.Duration(i)*time.Second))
				if got := len(late) == 1; got != s.late {
					t.Errorf("step %d is a late report: got %v, want %v", i, got, s.late)
				}
			}
			now := noon.Add(time.Minute)
			if got := len(heads(c, now)) == 1; got != tt.want {
				t.Errorf("server is sent requests: got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestLateReportIsNoSignOfLife guards against a late report that lengthens the life of a
// registration, and against one in a table that is read as a whole.
func TestLateReportIsNoSignOfLife(t *testing.T) {
	c := newCache()
	c.Replace([]registry.Update{{ID: "p", Version: 1, Server: report(1, 4)}}, 1, noon)
	later := noon.Add(10 * time.Second)
	if late := c.Replace([]registry.Update{{ID: "p", Version: 2, Server: report(1, 3)}}, 2, later); len(late) != 1 {
		t.Fatalf("got late reports %+v, want one", late)
	}
	if r, _ := c.View(later).Find("p"); !r.ChangedAt.Equal(noon) || r.Sequence != 4 {
		t.Errorf("got record %+v, want that of the newer report", r)
	}
}

// TestHeadHasLeftByLaterReport guards against a head that counts as one that left its group
// by a report from before it joined: only one that is newer than a report as a member shows it.
func TestHeadHasLeftByLaterReport(t *testing.T) {
	at := func(sequence uint64, state registry.GroupState) *registry.Server {
		s := member("a", 0, state)
		s.Sequence = sequence
		if state == "" {
			s.Group = registry.Membership{}
		}
		return s
	}
	restarted := at(1, "")
	restarted.Incarnation = 2
	tests := []struct {
		name    string
		reports []*registry.Server
		want    bool
	}{
		{"read before it joined only", []*registry.Server{at(3, "")}, false},
		{"read as it joined, then out of it", []*registry.Server{at(3, registry.StateJoining), at(4, "")}, false},
		{"ready, then out of it", []*registry.Server{at(4, registry.StateReady), at(6, "")}, true},
		{"open, then broken", []*registry.Server{at(5, registry.StateOpen), at(6, registry.StateBroken)}, true},
		{"open, then a late report from before it joined", []*registry.Server{at(5, registry.StateOpen), at(2, "")}, false},
		{"open, then started again", []*registry.Server{at(5, registry.StateOpen), restarted}, false},
		{"open", []*registry.Server{at(5, registry.StateOpen)}, false},
		{"no numbers", []*registry.Server{at(0, registry.StateOpen), at(0, "")}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCache()
			for i, s := range tt.reports {
				version := uint64(i + 1)
				c.Apply([]registry.Update{{ID: "a", Version: version, Server: s}}, version, noon)
			}
			r, _ := c.View(noon).Find("a")
			if got := r.HasLeft("g", 3); got != tt.want {
				t.Errorf("head has left its group: got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestNodeThatStartsLearnsOfRemoval guards against requests to a server that is gone from a
// node that did not see it leave: its peer tells of the last report.
func TestNodeThatStartsLearnsOfRemoval(t *testing.T) {
	c := newCache()
	c.Replace([]registry.Update{{ID: "p", Version: 5, Last: report(1, 8)}}, 5, noon)
	if got := heads(c, noon.Add(time.Millisecond)); len(got) != 0 {
		t.Errorf("got heads %v of a removed server", got)
	}
	c.Apply([]registry.Update{{ID: "p", Version: 6, Server: report(1, 7)}}, 6, noon.Add(time.Second))
	if got := heads(c, noon.Add(time.Second)); len(got) != 0 {
		t.Errorf("got heads %v after a late report, want none", got)
	}
	c.Apply([]registry.Update{{ID: "p", Version: 7, Server: report(1, 9)}}, 7, noon.Add(2*time.Second))
	if got := heads(c, noon.Add(2*time.Second)); len(got) != 1 {
		t.Errorf("got heads %v after its return, want it", got)
	}
}

// TestLeavingBelongsToRunOfServer guards against requests to a server that said that it
// is about to shut down: neither a registration that says otherwise nor a snapshot that is
// read again brings it back. A restart does, but only once the new run has answered that it
// isn't leaving: it may have been the one that said so, before it was registered.
func TestLeavingBelongsToRunOfServer(t *testing.T) {
	server := func(incarnation int64, slots int) *registry.Server {
		return &registry.Server{ID: "p", Service: "plain", Slots: slots, Incarnation: incarnation}
	}
	tests := []struct {
		name string
		then func(c *registry.Cache)
		want []string
	}{
		{"nothing else happens", func(*registry.Cache) {}, nil},
		{"registration is renewed", func(c *registry.Cache) {
			c.Apply([]registry.Update{{ID: "p", Version: 2, Server: server(1, 7)}}, 2, noon)
		}, nil},
		{"table is read again", func(c *registry.Cache) {
			c.Replace([]registry.Update{{ID: "p", Version: 2, Server: server(1, 6)}}, 2, noon)
		}, nil},
		{"registration lapses and is back", func(c *registry.Cache) {
			c.Replace(nil, 2, noon)
			c.Replace([]registry.Update{{ID: "p", Version: 3, Server: server(1, 6)}}, 3, noon)
		}, nil},
		{"record is forgotten and the registration is back", func(c *registry.Cache) {
			c.Replace(nil, 2, noon)
			c.Replace(nil, 3, noon.Add(2*time.Minute))
			c.Replace([]registry.Update{{ID: "p", Version: 4, Server: server(1, 6)}}, 4, noon.Add(2*time.Minute))
		}, nil},
		{"server restarts", func(c *registry.Cache) {
			c.Apply([]registry.Update{{ID: "p", Version: 2, Server: server(2, 6)}}, 2, noon)
			if asked := c.InDoubt(noon); len(asked) != 1 || asked[0].Incarnation != 2 {
				t.Errorf("got servers in doubt %+v, want the second run", asked)
			}
		}, nil},
		{"server restarts, lapses and is back", func(c *registry.Cache) {
			c.Apply([]registry.Update{{ID: "p", Version: 2, Server: server(2, 6)}}, 2, noon)
			c.Replace(nil, 3, noon)
			c.Replace([]registry.Update{{ID: "p", Version: 4, Server: server(2, 6)}}, 4, noon)
		}, nil},
		{"server restarts and isn't leaving", func(c *registry.Cache) {
			c.Apply([]registry.Update{{ID: "p", Version: 2, Server: server(2, 6)}}, 2, noon)
			c.ConfirmServing(registry.Life{ID: "p", Incarnation: 2})
			c.Apply([]registry.Update{{ID: "p", Version: 3, Server: server(2, 7)}}, 3, noon)
		}, []string{"p"}},
		{"server restarts, and the earlier run isn't leaving", func(c *registry.Cache) {
			c.Apply([]registry.Update{{ID: "p", Version: 2, Server: server(2, 6)}}, 2, noon)
			c.ConfirmServing(registry.Life{ID: "p", Incarnation: 1})
		}, nil},
		{"server restarts and is leaving", func(c *registry.Cache) {
			c.Apply([]registry.Update{{ID: "p", Version: 2, Server: server(2, 6)}}, 2, noon)
			c.RecordLeaving(registry.Life{ID: "p", Incarnation: 2}, noon)
			c.ConfirmServing(registry.Life{ID: "p", Incarnation: 2})
		}, nil},
		{"server restarts and doesn't answer for a minute", func(c *registry.Cache) {
			c.Apply([]registry.Update{{ID: "p", Version: 2, Server: server(2, 6)}}, 2, noon)
			if asked := c.InDoubt(noon.Add(time.Minute)); len(asked) != 0 {
				t.Errorf("got servers in doubt %+v after a minute, want none", asked)
			}
		}, []string{"p"}},
		{"older registration after the restart", func(c *registry.Cache) {
			c.Apply([]registry.Update{{ID: "p", Version: 3, Server: server(2, 6)}}, 3, noon)
			c.ConfirmServing(registry.Life{ID: "p", Incarnation: 2})
			c.Apply([]registry.Update{{ID: "p", Version: 2, Server: server(1, 6)}}, 3, noon)
		}, []string{"p"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCache()
			c.Replace([]registry.Update{{ID: "p", Version: 1, Server: server(1, 6)}}, 1, noon)
			before := c.Generation()
			if !c.RecordLeaving(registry.Life{ID: "p", Incarnation: 1}, noon) {
				t.Error("the first statement is no news")
			}
			if c.RecordLeaving(registry.Life{ID: "p", Incarnation: 1}, noon) {
				t.Error("the second statement is news")
			}
			if c.Generation() == before {
				t.Error("the heads are not rebuilt")
			}
			tt.then(c)
			if diff := cmp.Diff(tt.want, heads(c, noon.Add(5*time.Second))); diff != "" {
				t.Errorf("heads (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLeavingServerWithoutIncarnationReturns guards against a server that is left alone
// for ever because its restarts can't be told apart.
func TestLeavingServerWithoutIncarnationReturns(t *testing.T) {
	c := newCache()
	server := &registry.Server{ID: "p", Service: "plain", Slots: 6}
	c.Replace([]registry.Update{{ID: "p", Version: 1, Server: server}}, 1, noon)
	c.RecordLeaving(server.Life(), noon)
	c.Apply([]registry.Update{{ID: "p", Version: 2}}, 2, noon.Add(time.Second))
	c.Apply([]registry.Update{{ID: "p", Version: 3, Server: server}}, 3, noon.Add(5*time.Second))
	if diff := cmp.Diff([]string{"p"}, heads(c, noon.Add(5*time.Second))); diff != "" {
		t.Errorf("heads (-want +got):\n%s", diff)
	}
}

// TestGroupOfLeavingMemberHasNoHead guards against sending requests to a group that a
// member is about to leave.
func TestGroupOfLeavingMemberHasNoHead(t *testing.T) {
	c := newCache()
	c.Replace([]registry.Update{
		{ID: "a", Version: 1, Server: member("a", 0, registry.StateOpen)},
		{ID: "b", Version: 2, Server: member("b", 1, registry.StateReady)},
	}, 2, noon)
	c.RecordLeaving(registry.Life{ID: "b", Incarnation: 1}, noon)
	if got := heads(c, noon); len(got) != 0 {
		t.Errorf("got heads %v, want none", got)
	}
}

// TestHeardAtAllowsForOutage guards against a server that counts as silent since before an
// outage of the store, in which it may have served and renewed its registration in vain.
func TestHeardAtAllowsForOutage(t *testing.T) {
	const lapse = 3 * time.Second
	missing := noon.Add(10 * time.Second)
	tests := []struct {
		name     string
		failedAt time.Time
		want     time.Time
	}{
		{"store answered all the while", noon, missing.Add(-lapse)},
		{"store failed meanwhile", missing.Add(-time.Second), missing},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := registry.NewCache(registry.CacheConfig{ReturnGrace: grace, RecordRetention: time.Minute, LapseMin: lapse})
			c.Replace([]registry.Update{{ID: "a", Version: 1, Server: member("a", 0, registry.StateOpen)}}, 1, noon)
			c.RecordFailure(tt.failedAt)
			c.Apply([]registry.Update{{ID: "a", Version: 2}}, 2, missing)
			if r, _ := c.View(missing).Find("a"); !r.HeardAt.Equal(tt.want) {
				t.Errorf("got %s, want %s", r.HeardAt, tt.want)
			}
		})
	}
}
