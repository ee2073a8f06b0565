package balance_test

import (
	"fmt"
	"testing"
	"time"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/balance"
)

var (
	noon   = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)
	key    = balance.Key{Service: "llm", Model: "small"}
	policy = balance.Policy{
		FailureDomain:      "a",
		RemotePenalty:      0.35,
		QueueShare:         0.8,
		SuspendFirst:       300 * time.Millisecond,
		SuspendMax:         3 * time.Second,
		FullFor:            100 * time.Millisecond,
		StalledFor:         600 * time.Millisecond,
		InitialServiceTime: time.Second,
	}
)

const slots = 10

func head(id, failureDomain string) registry.Head {
	return registry.Head{ID: id, Service: key.Service, Model: key.Model, FailureDomain: failureDomain, Slots: slots}
}

func newPool(heads ...registry.Head) (*balance.Board, *balance.Pool) {
	b := balance.NewBoard(policy)
	b.SetHeads(heads)
	return b, b.Pool(key)
}

// TestCrest answers the pattern burst: what can't start in time is refused at
// once and told when to come back, and the work goes to all heads alike.
func TestCrest(t *testing.T) {
	_, pool := newPool(head("x", "a"), head("y", "a"))
	count := map[string]int{}
	refused := 0
	for range 100 {
		c := pool.Choose(balance.Request{Objective: 200 * time.Millisecond}, noon)
		if !c.OK {
			refused++
			if c.RetryAfter <= 0 {
				t.Fatal("a refusal without a time to come back")
			}
			continue
		}
		count[c.Head.ID]++
	}
	// The objective leaves a wait of 160 ms, two of ten slots at a second each.
	if count["x"] != slots+2 || count["y"] != slots+2 || refused != 100-2*(slots+2) {
		t.Errorf("taken %v, refused %d", count, refused)
	}
}

// TestLateRequestsLeaveRoom answers the pattern retry_abuse: requests that are
// late already wait for less than those that can still be in time.
func TestLateRequestsLeaveRoom(t *testing.T) {
	take := func(r balance.Request) int {
		_, pool := newPool(head("x", "a"))
		n := 0
		for pool.Choose(r, noon).OK {
			n++
		}
		return n
	}
	fresh := take(balance.Request{Objective: 400 * time.Millisecond})
	late := take(balance.Request{Objective: 400 * time.Millisecond, Late: true})
	failed := take(balance.Request{Objective: 400 * time.Millisecond, Failed: true})
	if late >= fresh || late < slots || failed < slots {
		t.Errorf("fresh %d, late %d, failed elsewhere %d", fresh, late, failed)
	}
}

func TestOwnFailureDomainFirst(t *testing.T) {
	_, pool := newPool(head("near", "a"), head("far", "b"))
	for i := range 3 {
		if c := pool.Choose(balance.Request{}, noon); c.Head.ID != "near" {
			t.Errorf("request %d went to %s", i, c.Head.ID)
		}
	}
	far := 0
	for range slots {
		if pool.Choose(balance.Request{}, noon).Head.ID == "far" {
			far++
		}
	}
	if far == 0 {
		t.Error("nothing spills over")
	}
}

func TestOtherNodesLoadsCount(t *testing.T) {
	board, pool := newPool(head("x", "a"), head("y", "a"))
	board.RecordReport("node/other", balance.Report{Loads: map[string]int{"x": slots}}, noon)
	board.Refresh(noon)
	for range slots / 2 {
		if c := pool.Choose(balance.Request{}, noon); c.Head.ID != "y" {
			t.Fatalf("went to %s", c.Head.ID)
		}
	}
	later := noon.Add(time.Minute)
	board.Refresh(later)
	if c := pool.Choose(balance.Request{}, later); c.Head.ID != "x" {
		t.Errorf("an old report still counts: went to %s", c.Head.ID)
	}
}

func TestFailedHeadIsPassedOverForAWhile(t *testing.T) {
	_, pool := newPool(head("x", "a"))
	pool.RecordFailure("x", noon)
	if c := pool.Choose(balance.Request{}, noon); c.OK || c.RetryAfter <= 0 {
		t.Errorf("%+v", c)
	}
	if c := pool.Choose(balance.Request{}, noon.Add(policy.SuspendFirst)); !c.OK {
		t.Errorf("%+v", c)
	}
}

// TestStallIsNotPassedOn keeps the word that a head stands still from going
// round among the nodes for ever.
func TestStallIsNotPassedOn(t *testing.T) {
	board, _ := newPool(head("x", "a"))
	board.RecordReport("node/other", balance.Report{Stalled: []string{"x"}}, noon)
	if own := board.LocalReport(noon, noon); len(own.Stalled) != 0 {
		t.Errorf("passed on: %v", own.Stalled)
	}
}

// TestManyNodesFewStreams answers the grown deployments: a node with one
// stream at a head learns from the others that the head moves.
func TestManyNodesFewStreams(t *testing.T) {
	board, pool := newPool(head("x", "a"))
	now := noon.Add(time.Second)
	if still := pool.SinceProgress("x", noon, now); still != time.Second {
		t.Fatalf("still for %v", still)
	}
	board.RecordReport("node/other", balance.Report{Progressed: []string{"x"}}, now)
	if still := pool.SinceProgress("x", noon, now); still != 0 {
		t.Errorf("still for %v though another node saw it move", still)
	}
}

func TestAHeadOfAnotherEpochStartsAfresh(t *testing.T) {
	board, pool := newPool(head("x", "a"))
	pool.RecordFailure("x", noon)
	next := head("x", "a")
	next.Epoch = 2
	board.SetHeads([]registry.Head{next})
	if c := pool.Choose(balance.Request{}, noon); !c.OK {
		t.Errorf("%+v", c)
	}
}

func TestDemandCountsWhatWasRefused(t *testing.T) {
	board, pool := newPool(head("x", "a"))
	taken := 0
	for pool.Choose(balance.Request{}, noon).OK {
		taken++
	}
	for range 4 {
		pool.Choose(balance.Request{}, noon)
	}
	demand := board.Demand(time.Second)[key.Model]
	if want := float64(taken + 5); fmt.Sprintf("%.3f", demand) != fmt.Sprintf("%.3f", want) {
		t.Errorf("demand %v, want %v", demand, want)
	}
}
