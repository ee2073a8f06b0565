package peer

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/core/fleet"
	"almondbay.example/core/schedule"
)

// slotRecorder responds to slot requests with a fixed grant, and records the last
// request and the last report of events.
type slotRecorder struct {
	grant   schedule.Grant
	request schedule.SlotRequest
	node    string
	events  []schedule.SlotEvent
}

func (s *slotRecorder) GrantSlot(_ context.Context, a schedule.SlotRequest) schedule.Grant {
	s.request = a
	return s.grant
}

func (s *slotRecorder) RecordSlotEvents(node string, events []schedule.SlotEvent) {
	s.node, s.events = node, events
}

// TestSlotRequestsOverHTTP checks that slot requests, grants, refusals and events
// are unchanged by encoding, that nodes agree on the owner of a model, and that a
// node that leaves owns none.
func TestSlotRequestsOverHTTP(t *testing.T) {
	c := newRelayCluster(t, 1, 2)
	slots := &slotRecorder{}
	for _, r := range c.relays {
		r.config.Slots = func() Slots { return slots }
	}
	owner, _ := c.relays["entry-0"].Owner("draft")
	for id, r := range c.relays {
		if got, isSelf := r.Owner("draft"); got != owner || isSelf != (id == owner) {
			t.Errorf("node %s: owner is %s, itself %v, want %s", id, got, isSelf, owner)
		}
	}
	r := c.relays["entry-0"]
	request := schedule.SlotRequest{
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
		got, err := r.AcquireSlot(t.Context(), "entry-1", request)
		if err != nil || cmp.Diff(want, got) != "" {
			t.Errorf("grant is %+v, error %v, want %+v", got, err, want)
		}
		if diff := cmp.Diff(request, slots.request, cmp.Comparer(func(a, b func(schedule.Decision)) bool { return a == nil && b == nil })); diff != "" {
			t.Errorf("slot request differs at the owner (-sent +received):\n%s", diff)
		}
	}
	events := []schedule.SlotEvent{{ID: "7", Kind: schedule.EventFinish, Tokens: 12}, {ID: "8", Kind: schedule.EventRelease}}
	if err := r.ReportSlotEvents(t.Context(), "entry-1", "entry-0", events); err != nil || slots.node != "entry-0" || cmp.Diff(events, slots.events) != "" {
		t.Errorf("owner recorded events %+v of node %s, error %v, want %+v of entry-0", slots.events, slots.node, err, events)
	}
	c.down.Store("entry-1", true)
	if _, err := r.AcquireSlot(t.Context(), "entry-1", request); err == nil {
		t.Error("slot request to an unreachable node returned no error")
	}
	c.nodes[1].State = fleet.VMLeaving
	if got, isSelf := r.Owner("draft"); got != "entry-0" || !isSelf {
		t.Errorf("owner is %s while the other node is leaving, itself %v, want entry-0", got, isSelf)
	}
}
