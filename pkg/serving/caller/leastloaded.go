package caller

import (
	"math"
	"sync"
)

// inFlightCounts counts the requests in flight by destination.
type inFlightCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func newInFlightCounts() *inFlightCounts {
	return &inFlightCounts{counts: make(map[string]int)}
}

// acquireLeastLoaded acquires a slot at the named destination with the fewest
// requests in flight and returns the index of its name.
func (c *inFlightCounts) acquireLeastLoaded(names []string) (int, Slot) {
	c.mu.Lock()
	defer c.mu.Unlock()

	best := 0
	fewest := math.MaxInt
	for i, name := range names {
		if n := c.counts[name]; n < fewest {
			best, fewest = i, n
		}
	}
	c.counts[names[best]]++
	return best, &countedSlot{parent: c, name: names[best]}
}

type countedSlot struct {
	parent *inFlightCounts
	name   string
}

func (s *countedSlot) Progress(int) {}

func (s *countedSlot) Finish(int) {}

func (s *countedSlot) Release() {
	s.parent.mu.Lock()
	defer s.parent.mu.Unlock()

	s.parent.counts[s.name]--
	if s.parent.counts[s.name] == 0 {
		delete(s.parent.counts, s.name)
	}
}
