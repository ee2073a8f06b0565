package trial

import "time"

// baseline sends each request on at once and leaves queueing to the engines.
type baseline struct {
	*world
	// next is the next engine of each node, for round robin.
	next []int
	// inFlight counts, for each node, its own requests at each engine.
	inFlight [][]int
	at       map[*job]int
	known    []bool
}

func newBaseline(w *world) *baseline {
	b := &baseline{world: w, next: make([]int, len(w.nodes)), at: make(map[*job]int)}
	for i := range w.nodes {
		b.next[i] = i
		b.inFlight = append(b.inFlight, make([]int, len(w.engines)))
	}
	b.changed()
	return b
}

func (b *baseline) arrive(j *job) {
	i := b.pick(j)
	b.inFlight[j.node][i]++
	b.at[j] = i
	b.send(j, b.engines[i])
}

func (b *baseline) pick(j *job) int {
	if b.config.Policy == LeastInFlight {
		return b.least(b.inFlight[j.node])
	}
	for {
		b.next[j.node] = (b.next[j.node] + 1) % len(b.engines)
		if b.known[b.next[j.node]] {
			return b.next[j.node]
		}
	}
}

// least returns the engine with the fewest requests, ties drawn at random.
func (b *baseline) least(counts []int) int {
	best, ties := -1, 0
	for i, n := range counts {
		switch {
		case !b.known[i]:
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
	if i, ok := b.at[j]; ok {
		b.inFlight[j.node][i]--
		delete(b.at, j)
	}
}

func (b *baseline) finish(j *job) {
	b.release(j)
}

func (b *baseline) gaveUp(j *job) {
	if i, ok := b.at[j]; ok {
		b.engines[i].abandon(j)
	}
	b.release(j)
}

func (b *baseline) lost(j *job) {
	b.release(j)
	if j.outcome == pending {
		b.arrive(j)
	}
}

func (b *baseline) changed() {
	b.known = make([]bool, len(b.engines))
	for i, e := range b.engines {
		b.known[i] = !e.dark
	}
}

func (*baseline) firstToken(*job) {}

func (*baseline) progress(*job) {}

func (*baseline) report(*engine, int, int, time.Duration) {}

func (*baseline) tick() {}
