package schedule

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"
)

// TestEveryTicketIsDecidedOnce submits random events and checks that counters
// stay consistent, that each ticket is decided at most once and that no
// accepted request is lost.
func TestEveryTicketIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := append(groupIn("a", 3, 1, "g1", "g2"), groupIn("b", 3, 2, "g3")...)
		f := newFixture(Config{Seed: rapid.Uint64().Draw(t, "seed")}, groups...)
		accepted := 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			accepted += f.randomEvent(t, groups)
			checkCounts(t, f)
		}
		f.now = f.now.Add(time.Hour)
		f.Tick(f.now)
		for len(f.running) > 0 {
			f.finishOldest(5)
			checkCounts(t, f)
		}
		if len(f.decisions) != accepted {
			t.Fatalf("%d requests accepted but %d decided", accepted, len(f.decisions))
		}
	})
}

// randomEvent runs one event and returns the number of requests accepted.
func (f *fixture) randomEvent(t *rapid.T, groups []Group) int {
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	default:
		_, err := f.submit(Request{
			Workspace:    rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "workspace"),
			PromptTokens: rapid.IntRange(0, 20000).Draw(t, "prompt"),
			Prefix:       uint64(rapid.IntRange(0, 3).Draw(t, "prefix")),
			Avoid:        rapid.SampledFrom([][]string{nil, {"g1"}, {"g1", "g2"}}).Draw(t, "avoid"),
		})
		if err == nil {
			return 1
		}
	case 5, 6:
		if len(f.running) > 0 {
			f.FirstToken(f.running[0], f.now)
			f.Progress(f.running[0], 20, f.now)
			f.finishOldest(rapid.IntRange(20, 5000).Draw(t, "tokens"))
		}
	case 7:
		if len(f.running) > 0 {
			f.Cancel(f.running[0], f.now)
			f.running = f.running[1:]
		}
	case 8:
		f.Tick(f.now)
	case 9:
		f.SetGroups(groups[:rapid.IntRange(1, len(groups)).Draw(t, "groups")], f.now)
		f.ObserveLoad(Report{Model: model, Group: "g3", Running: 1, At: f.now}, f.now)
	}
	return 0
}

func checkCounts(t *rapid.T, f *fixture) {
	s := f.shardFor(model)
	if s.running != len(f.running) {
		t.Fatalf("shard counts %d running, want %d", s.running, len(f.running))
	}
	slots := 0
	for _, g := range s.list {
		slots += max(g.budget, g.running)
		if g.running < 0 || g.longRunning < 0 || g.longRunning > g.running {
			t.Fatalf("group %s counts %d running, %d of them long", g.ID, g.running, g.longRunning)
		}
		if g.open() != (g.openIndex >= 0) {
			t.Fatalf("group %s: open is %v but its index in the open set is %d", g.ID, g.open(), g.openIndex)
		}
	}
	if s.slots != slots {
		t.Fatalf("shard counts %d slots, want %d", s.slots, slots)
	}
	for ticket, n := range f.decisions {
		if n != 1 {
			t.Fatalf("ticket of %s decided %d times", ticket.Workspace(), n)
		}
	}
}

// TestConcurrentUse guards against data races and lost decisions when many
// callers use one scheduler; meant for the race detector.
func TestConcurrentUse(t *testing.T) {
	s := New(Config{})
	now := time.Unix(1000, 0)
	s.SetGroups(groupIn("", 50, 1, "g1", "g2"), now)
	var workers errgroup.Group
	for i := range 8 {
		workers.Go(func() error {
			for range 200 {
				decided := make(chan Decision, 1)
				r := Request{Workspace: fmt.Sprint(i), Model: model, Notify: func(d Decision) { decided <- d }}
				ticket, err := s.Submit(r, now)
				if err != nil {
					return err
				}
				<-decided
				s.FirstToken(ticket, now)
				s.Progress(ticket, 5, now)
				s.Finish(ticket, 10, now)
				s.ObserveLoad(Report{Model: model, Group: "g1", Running: 3, At: now}, now)
				s.Tick(now)
			}
			return nil
		})
	}
	if err := workers.Wait(); err != nil {
		t.Fatal(err)
	}
	if sh := s.shardFor(model); sh.running != 0 || sh.queue.waiting != [classes]int{} {
		t.Errorf("%d running and %v waiting after all requests ended, want none", sh.running, sh.queue.waiting)
	}
}
