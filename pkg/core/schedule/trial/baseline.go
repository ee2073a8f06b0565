package trial

import "time"

// baseline dispatches each request on arrival and leaves queueing to the
// engines.
type baseline struct {
	*simulation
	// next is the next engine of each node for round robin.
	next []int
	// inFlight counts the requests of each node at each engine.
	inFlight  [][]int
	engineOf  map[*job]int
	reachable []bool
}

func newBaseline(s *simulation) *baseline {
	b := &baseline{simulation: s, next: make([]int, len(s.nodes)), engineOf: make(map[*job]int)}
	for i := range s.nodes {
		b.next[i] = i
		b.inFlight = append(b.inFlight, make([]int, len(s.engines)))
	}
	b.membershipChanged()
	return b
}

func (b *baseline) arrive(j *job) {
	i := b.pick(j)
	b.inFlight[j.node][i]++
	b.engineOf[j] = i
	b.send(j, b.engines[i])
}

func (b *baseline) pick(j *job) int {
	if b.config.Policy == LeastInFlight {
		return b.least(b.inFlight[j.node])
	}
	for {
		b.next[j.node] = (b.next[j.node] + 1) % len(b.engines)
		if b.reachable[b.next[j.node]] {
			return b.next[j.node]
		}
	}
}

// least returns the reachable engine with the fewest requests, choosing among
// ties at random.
func (b *baseline) least(counts []int) int {
	best, ties := -1, 0
	for i, n := range counts {
		switch {
		case !b.reachable[i]:
		case best < 0 || n < counts[best]:
			best, ties = i, 1
		case n == counts[best]:
			ties++
			if b.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func (b *baseline) release(j *job) {
	if i, ok := b.engineOf[j]; ok {
		b.inFlight[j.node][i]--
		delete(b.engineOf, j)
	}
}

func (b *baseline) finish(j *job) {
	b.release(j)
}

func (b *baseline) callerLeft(j *job) {
	if i, ok := b.engineOf[j]; ok {
		b.engines[i].abandon(j)
	}
	b.release(j)
}

func (b *baseline) attemptLost(j *job) {
	b.release(j)
	if j.outcome == pending {
		b.arrive(j)
	}
}

func (b *baseline) membershipChanged() {
	b.reachable = make([]bool, len(b.engines))
	for i, e := range b.engines {
		b.reachable[i] = !e.down
	}
}

func (*baseline) firstToken(*job) {}

func (*baseline) progress(*job) {}

func (*baseline) report(*engine, int, int, time.Duration) {}

func (*baseline) tick() {}
