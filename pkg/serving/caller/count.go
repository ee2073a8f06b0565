package caller

import (
	"math"
	"sync"
)

// counts counts what is in flight at each of several places.
type counts struct {
	mu     sync.Mutex
	places map[string]int
}

func newCounts() *counts {
	return &counts{places: make(map[string]int)}
}

// takeFewest takes a slot at the place with the fewest in flight, of those
// named, and returns its index.
func (c *counts) takeFewest(names []string) (int, Slot) {
	c.mu.Lock()
	defer c.mu.Unlock()

	best := 0
	fewest := math.MaxInt
	for i, name := range names {
		if n := c.places[name]; n < fewest {
			best, fewest = i, n
		}
	}
	c.places[names[best]]++
	return best, &countedSlot{counts: c, name: names[best]}
}

type countedSlot struct {
	counts *counts
	name   string
}

func (s *countedSlot) Progress(int) {}

func (s *countedSlot) Finish(int) {}

func (s *countedSlot) Release() {
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()

	s.counts.places[s.name]--
	if s.counts.places[s.name] == 0 {
		delete(s.counts.places, s.name)
	}
}
