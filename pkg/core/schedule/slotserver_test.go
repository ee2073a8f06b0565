package schedule

import (
	"errors"
	"testing"
	"time"
)

// TestSlotServerGrantsSlotsToOtherNodes guards against leaked slots: a node
// that repeats its events after a lost reply, sends events for slots of another
// node or stops sending must neither free a slot twice nor keep one.
func TestSlotServerGrantsSlotsToOtherNodes(t *testing.T) {
	f := newFixture(Config{}, groupIn("a", 2, 1, "g")...)
	server := NewSlotServer(f.Scheduler)
	granted := map[string]Grant{}
	request := func(node, id string) error {
		a := SlotRequest{Node: node, ID: id, Request: Request{Workspace: "w", Model: model}, FirstTokenIn: 2 * time.Second}
		return server.Acquire(a, func(g Grant) { granted[id] = g }, f.now)
	}
	for _, id := range []string{"1", "2", "3", "4"} {
		if err := request("n1", id); err != nil {
			t.Fatal(err)
		}
	}
	if len(granted) != 3 || granted["1"].Group != "g" {
		t.Fatalf("granted %v, want 3 grants: two slots and one of overcommit", granted)
	}
	events := []SlotEvent{{"1", EventFirstToken, 1}, {"1", EventProgress, 20}, {"1", EventFinish, 40}, {"1", EventRelease, 0}}
	server.RecordEvents("n1", events, f.now)
	server.RecordEvents("n1", events, f.now) // Repeated, as after a lost reply.
	server.RecordEvents("n2", []SlotEvent{{"2", EventRelease, 0}}, f.now)
	if granted["4"].Group != "g" {
		t.Error("the slot of the finished request was not assigned to request 4")
	}
	if s := f.shardFor(model); s.running != 3 || s.costs.total != 1 {
		t.Errorf("%d running and %d costs learned, want 3 and 1", s.running, s.costs.total)
	}
	if err := request("n2", "5"); err != nil {
		t.Fatal(err)
	}
	f.now = f.now.Add(NodeTimeout - time.Second)
	server.RecordEvents("n2", nil, f.now)
	f.now = f.now.Add(2 * time.Second)
	server.Expire(f.now) // Only the first node has exceeded its timeout.
	if got := f.shardFor(model).running; got != 0 {
		t.Errorf("%d running after the node timed out, want 0", got)
	}
	if granted["5"].Refusal == nil {
		t.Errorf("request 5 got %+v after its deadline, want a refusal", granted["5"])
	}
	f.SetGroups(nil, f.now)
	var refusal *Refusal
	if err := request("n2", "6"); !errors.As(err, &refusal) || refusal.Reason != ReasonNoGroup {
		t.Errorf("error %v without a group, want refusal %s", err, ReasonNoGroup)
	}
}
