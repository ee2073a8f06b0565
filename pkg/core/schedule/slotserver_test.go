package schedule

import (
	"errors"
	"testing"
	"time"
)

func TestSlotServerGrantsSlotsToOtherNodes(t *testing.T) {
	f := newFixture(Config{}, groupIn("a", 2, 1, "g")...)
	d := NewSlotServer(f.Scheduler)
	granted := map[string]Grant{}
	ask := func(node, id string) error {
		a := SlotRequest{Node: node, ID: id, Request: Request{Workspace: "w", Model: model}, FirstTokenIn: 2 * time.Second}
		return d.Acquire(a, func(g Grant) { granted[id] = g }, f.now)
	}
	for _, id := range []string{"1", "2", "3", "4"} {
		if err := ask("n1", id); err != nil {
			t.Fatal(err)
		}
	}
	if len(granted) != 3 || granted["1"].Group != "g" {
		t.Fatalf("granted %v, want two slots and an extra one", granted)
	}
	news := []SlotEvent{{"1", EventFirstToken, 1}, {"1", EventProgress, 20}, {"1", EventFinish, 40}, {"1", EventRelease, 0}}
	d.RecordEvents("n1", news, f.now)
	d.RecordEvents("n1", news, f.now) // Told again after a lost answer.
	d.RecordEvents("n2", []SlotEvent{{"2", EventRelease, 0}}, f.now)
	if granted["4"].Group != "g" {
		t.Error("the slot of a finished request was not handed on")
	}
	if s := f.shardOf(model); s.running != 3 || s.costs.total != 1 {
		t.Errorf("%d running, %d learnt", s.running, s.costs.total)
	}
	if err := ask("n2", "5"); err != nil {
		t.Fatal(err)
	}
	f.now = f.now.Add(NodeTimeout - time.Second)
	d.RecordEvents("n2", nil, f.now)
	f.now = f.now.Add(2 * time.Second)
	d.Expire(f.now) // The first node has been silent for long, the second not.
	if got := f.shardOf(model).running; got != 0 {
		t.Errorf("%d running after the node was lost", got)
	}
	if granted["5"].Refusal == nil {
		t.Errorf("a request that waited too long was given %+v", granted["5"])
	}
	f.SetGroups(nil, f.now)
	var refusal *Refusal
	if err := ask("n2", "6"); !errors.As(err, &refusal) || refusal.Reason != ReasonNoGroup {
		t.Errorf("error %v", err)
	}
}
