package schedule

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision measures the full scheduler work for one request: Submit,
// group selection, first token, one progress update and Finish. In the busy
// case every slot is in use and benchmarkWaiting requests wait, which is the
// arrivals of two seconds in a failure domain of the target size, so each
// Finish dispatches a waiting request.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{60, 1300, 7800} {
		for _, workspaces := range []int{10, 1000} {
			for _, busy := range []bool{false, true} {
				name := fmt.Sprintf("engines=%d/workspaces=%d/busy=%t", engines, workspaces, busy)
				b.Run(name, func(b *testing.B) { benchmarkDecision(b, engines/4, workspaces, busy) })
			}
		}
	}
}

const benchmarkWaiting = 8000

func benchmarkDecision(b *testing.B, groups, workspaces int, busy bool) {
	const slots = 32
	now := time.Unix(1000, 0)
	s := New(Config{FailureDomain: "a", FirstToken: time.Hour, AdmitSlack: 1e6})
	var list []Group
	for i := range groups {
		list = append(list, Group{ID: fmt.Sprint("g", i), Model: model, FailureDomain: "a", Slots: slots, Schedulers: 1})
	}
	s.SetGroups(list, now)
	for _, g := range list {
		s.ObserveLoad(Report{Model: model, Group: g.ID, At: now}, now)
	}
	names := make([]string, workspaces)
	for i := range names {
		names[i] = fmt.Sprint("w", i)
	}
	var running []*Ticket
	notify := func(d Decision) { running = append(running, d.Ticket) }
	submit := func(i int) {
		r := Request{
			Workspace: names[i%workspaces], Model: model, PromptTokens: 300,
			Prefix: uint64(i%workspaces + 1), Notify: notify,
		}
		if _, err := s.Submit(r, now); err != nil {
			b.Fatal(err)
		}
	}
	start := groups * slots / 2
	if busy {
		start = groups*(slots+2) + benchmarkWaiting
	}
	for i := range start {
		submit(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(100 * time.Microsecond)
		submit(i)
		t := running[0]
		running = running[1:]
		s.FirstToken(t, now)
		s.Progress(t, 16, now)
		s.Finish(t, 40, now)
	}
}
