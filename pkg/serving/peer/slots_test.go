package peer

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/core/fleet"
	"almondbay.example/core/schedule"
)

// slotsOf answers with a fixed grant and keeps what it was sent.
type slotsOf struct {
	grant schedule.Grant
	ask   schedule.SlotRequest
	node  string
	news  []schedule.SlotEvent
}

func (s *slotsOf) GrantSlot(_ context.Context, a schedule.SlotRequest) schedule.Grant {
	s.ask = a
	return s.grant
}

func (s *slotsOf) RecordSlotEvents(node string, news []schedule.SlotEvent) {
	s.node, s.news = node, news
}

func TestSlotsAreAskedForOverHTTP(t *testing.T) {
	f := newFleet(t, 1, 2)
	slots := &slotsOf{}
	for _, r := range f.relays {
		r.config.Slots = func() Slots { return slots }
	}
	owner, _ := f.relays["entry-0"].Owner("draft")
	for id, r := range f.relays {
		if got, isSelf := r.Owner("draft"); got != owner || isSelf != (id == owner) {
			t.Errorf("%s takes %s for the owner, itself %v", id, got, isSelf)
		}
	}
	r := f.relays["entry-0"]
	ask := schedule.SlotRequest{
		Node: "entry-0",
		ID:   "7",
		Request: schedule.Request{
			Workspace: "w", Model: "draft", Kind: "k", PromptTokens: 5, MaxTokens: 6,
			Prefix: 1 << 63, Avoid: []string{"g1"},
		},
		FirstTokenIn: 1500 * time.Millisecond,
	}
	for _, want := range []schedule.Grant{
		{Group: "g2", Long: true},
		{Refusal: &schedule.Refusal{Reason: schedule.ReasonLate, RetryAfter: 3 * time.Second}},
	} {
		slots.grant = want
		got, err := r.AcquireSlot(t.Context(), "entry-1", ask)
		if err != nil || cmp.Diff(want, got) != "" {
			t.Errorf("granted %+v, %v, want %+v", got, err, want)
		}
		if diff := cmp.Diff(ask, slots.ask, cmp.Comparer(func(a, b func(schedule.Decision)) bool { return a == nil && b == nil })); diff != "" {
			t.Errorf("the ask changed on its way (-sent +received):\n%s", diff)
		}
	}
	news := []schedule.SlotEvent{{ID: "7", Kind: schedule.EventFinish, Tokens: 12}, {ID: "8", Kind: schedule.EventRelease}}
	if err := r.ReportSlotEvents(t.Context(), "entry-1", "entry-0", news); err != nil || slots.node != "entry-0" || cmp.Diff(news, slots.news) != "" {
		t.Errorf("told %s %+v, %v", slots.node, slots.news, err)
	}
	f.dead.Store("entry-1", true)
	if _, err := r.AcquireSlot(t.Context(), "entry-1", ask); err == nil {
		t.Error("no error from a node that is gone")
	}
	f.nodes[1].State = fleet.VMLeaving
	if got, isSelf := r.Owner("draft"); got != "entry-0" || !isSelf {
		t.Errorf("owner %s while the other node leaves", got)
	}
}
