package registry_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/internal/fleet/registry"
)

var noon = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)

const grace = 2 * time.Second

func newBook() *registry.Cache {
	return registry.NewCache(registry.CacheConfig{ReturnGrace: grace, RecordRetention: time.Minute})
}

func member(id string, rank int, state registry.GroupState) *registry.Server {
	return &registry.Server{
		ID: id, Service: "llm", FabricDomain: "d0", Slots: 17, Incarnation: 1, Model: "small",
		Group: registry.Membership{Name: "g", Epoch: 3, Rank: rank, State: state},
	}
}

func heads(b *registry.Cache, now time.Time) []string {
	var ids []string
	for _, h := range registry.Heads(b.View(now), map[string]int{"small": 2}, now, grace) {
		ids = append(ids, h.ID)
	}
	return ids
}

func TestOnlyWholeGroupsHaveHeads(t *testing.T) {
	tests := []struct {
		name  string
		other *registry.Server
		want  []string
	}{
		{"whole", member("b", 1, registry.StateReady), []string{"a"}},
		{"member gone", nil, nil},
		{"member joining", member("b", 1, registry.StateJoining), nil},
		{"member draining", func() *registry.Server { s := member("b", 1, registry.StateReady); s.Draining = true; return s }(), nil},
		{"member in another epoch", func() *registry.Server { s := member("b", 1, registry.StateReady); s.Group.Epoch = 4; return s }(), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBook()
			b.Replace([]registry.Update{{ID: "a", Version: 1, Server: member("a", 0, registry.StateOpen)}}, 1, noon)
			b.Apply([]registry.Update{{ID: "b", Version: 2, Server: tt.other}}, 2, noon)
			if diff := cmp.Diff(tt.want, heads(b, noon)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestOutageOfTheStore answers the pattern platform_down: a registration that
// is missing right after it may return and counts for a while.
func TestOutageOfTheStore(t *testing.T) {
	plain := &registry.Server{ID: "p", Service: "plain", Slots: 6}
	b := newBook()
	b.Replace([]registry.Update{{ID: "p", Version: 1, Server: plain}}, 1, noon)
	b.RecordFailure(noon.Add(time.Second))
	gone := noon.Add(2 * time.Second)
	b.Apply([]registry.Update{{ID: "p", Version: 5}}, 5, gone)
	if diff := cmp.Diff([]string{"p"}, heads(b, gone)); diff != "" {
		t.Errorf("within the grace: %s", diff)
	}
	if got := heads(b, gone.Add(grace+time.Millisecond)); len(got) != 0 {
		t.Errorf("after the grace: %v", got)
	}
}

func TestMissingCountsAtOnceWhileTheStoreIsSteady(t *testing.T) {
	b := newBook()
	b.Replace([]registry.Update{{ID: "p", Version: 1, Server: &registry.Server{ID: "p", Service: "plain", Slots: 6}}}, 1, noon)
	later := noon.Add(time.Hour)
	b.Replace(nil, 9, later)
	if got := heads(b, later); len(got) != 0 {
		t.Errorf("heads: %v", got)
	}
}

func TestOlderRowsChangeNothing(t *testing.T) {
	b := newBook()
	b.Replace([]registry.Update{{ID: "p", Version: 7, Server: &registry.Server{ID: "p", Service: "plain", Slots: 6, Draining: true}}}, 7, noon)
	b.Apply([]registry.Update{{ID: "p", Version: 6, Server: &registry.Server{ID: "p", Service: "plain", Slots: 6}}}, 7, noon)
	if got := heads(b, noon); len(got) != 0 {
		t.Errorf("heads: %v", got)
	}
}
