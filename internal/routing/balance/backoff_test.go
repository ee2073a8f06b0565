package balance_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/balance"
)

// pauseBoard returns a board whose heads are blocked only by pauses.
func pauseBoard() *balance.Board {
	return balance.NewBoard(balance.Policy{QueueShare: 1, MeanDuration: time.Millisecond, Random: func() float64 { return 0.5 }})
}

// pauseHead is a head of the model m, or of a plain service if the group is empty.
func pauseHead(id, group string, epoch uint64, incarnation int64) registry.Head {
	h := registry.Head{ID: id, Service: "svc", Slots: 9, Group: group, Epoch: epoch, Incarnation: incarnation}
	if group != "" {
		h.Model = "m"
	}
	return h
}

// TestPauseBelongsToServer guards against a pause that is forgotten when the server becomes
// head of another group, or once the registration shows that it has started again: it may
// have been the new run that asked. It also guards against one that another server inherits.
func TestPauseBelongsToServer(t *testing.T) {
	now := time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)
	b := pauseBoard()
	first := pauseHead("a", "g1", 1, 1)
	b.SetHeads([]registry.Head{first})
	pool := b.Pool(balance.Key{Service: "svc", Model: "m"})
	pool.RecordPause(first.ID, time.Minute, now)
	if pool.RecordPause(first.ID, time.Second, now) {
		t.Error("a shorter pause is news")
	}
	usable := func(heads ...registry.Head) bool {
		b.SetHeads(heads)
		c := pool.Choose(balance.Request{Objective: time.Hour}, now)
		if c.OK {
			pool.Done(c.Head.ID)
		}
		return c.OK
	}
	if usable(first) {
		t.Error("server is sent a request in its pause")
	}
	if usable(pauseHead("a", "g2", 2, 1)) {
		t.Error("server is sent a request in its pause as head of another group")
	}
	usable()
	if usable(first) {
		t.Error("server is sent a request in its pause after its group was incomplete for a while")
	}
	restarted := pauseHead("a", "g2", 3, 2)
	if usable(restarted) {
		t.Error("server is sent a request in its pause after a restart was registered")
	}
	elsewhere := restarted
	elsewhere.Address = "10.0.0.2:80"
	if usable(elsewhere) {
		t.Error("server is sent a request in its pause after it was registered at another address")
	}
	if !usable(pauseHead("b", "g2", 3, 3)) {
		t.Error("another server at the same address is sent no request")
	}
	now = now.Add(time.Minute)
	if !usable(restarted) {
		t.Error("server is sent no request after its pause")
	}
}

// TestPauseIsNoFailure guards against a server that is suspended, or counts as one that
// fails, for asking for a pause.
func TestPauseIsNoFailure(t *testing.T) {
	now := time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)
	b := pauseBoard()
	heads := []registry.Head{pauseHead("a", "", 0, 1), pauseHead("b", "", 0, 1)}
	b.SetHeads(heads)
	pool := b.Pool(balance.Key{Service: "svc"})
	pool.RecordPause(heads[0].ID, time.Second, now)
	now = now.Add(time.Second)
	chosen := map[string]int{}
	for range 8 {
		c := pool.Choose(balance.Request{Objective: time.Hour}, now)
		chosen[c.Head.ID]++
	}
	if chosen["a"] != 4 || chosen["b"] != 4 {
		t.Errorf("requests by server %v, want 4 each after the pause", chosen)
	}
}

// TestPausesHoldUnderRandomAnswers checks the contract's rule on random answers, losses
// of heads, new groups and restarts: no request goes to a server between its rejection and
// the end of the longest pause that it asked for.
func TestPausesHoldUnderRandomAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)
		b := pauseBoard()
		incarnations := []int64{1, 1, 1}
		pauses := map[string]time.Time{}
		// leastListed is 0 if a head may be missing, and 1 if none is.
		setHeads := func(leastListed int) {
			var heads []registry.Head
			for i, incarnation := range incarnations {
				if rapid.IntRange(leastListed, 4).Draw(t, "listed") > 0 {
					epoch := uint64(rapid.IntRange(1, 3).Draw(t, "epoch"))
					heads = append(heads, pauseHead(fmt.Sprint("s", i), fmt.Sprint("g", epoch), epoch, incarnation))
				}
			}
			b.SetHeads(heads)
		}
		setHeads(1)
		pool := b.Pool(balance.Key{Service: "svc", Model: "m"})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				incarnations[rapid.IntRange(0, 2).Draw(t, "server")]++
				setHeads(0)
			case 1:
				setHeads(0)
			default:
				c := pool.Choose(balance.Request{Objective: time.Hour}, now)
				if !c.OK {
					continue
				}
				id := c.Head.ID
				if end := pauses[id]; now.Before(end) {
					t.Fatalf("request to %s %v before the end of its pause", id, end.Sub(now))
				}
				pool.Done(id)
				switch rapid.IntRange(0, 2).Draw(t, "answer") {
				case 0:
					pause := time.Duration(rapid.IntRange(1, 9000).Draw(t, "pause")) * time.Millisecond
					pool.RecordPause(id, pause, now)
					pauses[id] = now.Add(pause)
				case 1:
					pool.RecordProgress(id, now)
				default:
					pool.RecordFull(id, now)
				}
			}
		}
	})
}
