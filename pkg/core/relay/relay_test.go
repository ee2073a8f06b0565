package relay_test

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"almondbay.example/core/relay"
)

func names(n int) []string {
	members := make([]string, n)
	for i := range members {
		members[i] = fmt.Sprint("entry-", i)
	}
	return members
}

// TestTreeReachesEachMemberOnce checks that the distribution tree of each root
// contains every member exactly once and has at most four levels.
func TestTreeReachesEachMemberOnce(t *testing.T) {
	for _, size := range []int{1, 2, 7, 21, 184} {
		members := names(size)
		for _, root := range []string{members[0], members[size-1], "unlisted"} {
			reached := map[string]bool{root: true}
			level, depth := []string{root}, 0
			for ; len(level) > 0; depth++ {
				var next []string
				for _, id := range level {
					for _, child := range relay.Children(root, id, members) {
						if reached[child] {
							t.Errorf("%s is reached twice from root %s", child, root)
						}
						reached[child] = true
						next = append(next, child)
					}
				}
				level = next
			}
			for _, id := range members {
				if !reached[id] {
					t.Errorf("%s is not reached from root %s with %d members", id, root, size)
				}
			}
			if depth > 4 {
				t.Errorf("tree of %d members has %d levels, want at most 4", size, depth)
			}
		}
	}
}

// TestPollersStayWhenOneLeaves checks that each member list has the same number
// of pollers, and that the others remain pollers when one leaves.
func TestPollersStayWhenOneLeaves(t *testing.T) {
	members := names(60)
	polling := func(members []string) map[string]bool {
		pollers := make(map[string]bool)
		for _, id := range members {
			if relay.IsPoller(id, members) {
				pollers[id] = true
			}
		}
		return pollers
	}
	before := polling(members)
	if len(before) != relay.PollersPerDomain {
		t.Fatalf("got %d pollers, want %d", len(before), relay.PollersPerDomain)
	}
	for id := range before {
		var left []string
		for _, other := range members {
			if other != id {
				left = append(left, other)
			}
		}
		after := polling(left)
		if len(after) != relay.PollersPerDomain {
			t.Errorf("got %d pollers without %s, want %d", len(after), id, relay.PollersPerDomain)
		}
		for other := range before {
			if other != id && !after[other] {
				t.Errorf("%s is no longer a poller after %s left", other, id)
			}
		}
	}
	if !relay.IsPoller("alone", nil) {
		t.Error("a node without peers is not a poller, want it to be one")
	}
}

func TestDeltaRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		letters := rapid.SliceOfN(rapid.SampledFrom([]byte("ab")), 0, 12)
		before, after := letters.Draw(t, "before"), letters.Draw(t, "after")
		got, ok := relay.NewDelta(before, after).Apply(before)
		if !ok || !bytes.Equal(got, after) {
			t.Fatalf("got %q, %t; want %q, true", got, ok, after)
		}
	})
	if _, ok := (relay.Delta{Prefix: 3, Suffix: 2}).Apply([]byte("abcd")); ok {
		t.Error("a delta for a longer document was applied, want it rejected")
	}
}

func ExampleDelta() {
	before := []byte(`{"groups": 2, "span": 4}`)
	after := []byte(`{"groups": 12, "span": 4}`)
	delta := relay.NewDelta(before, after)
	made, _ := delta.Apply(before)
	fmt.Printf("%s %s\n", delta.Middle, made)
	// Output: 1 {"groups": 12, "span": 4}
}
