package schedule

import (
	"slices"
	"time"
)

const (
	// healthSmoothing is the weight of a new sample in the running means;
	// relievedSmoothing is that for a relieved group, which has few.
	healthSmoothing   = 0.2
	relievedSmoothing = 0.5
	// slowFactor is the ratio to the median at which a group counts as slow, and
	// recoveredFactor the ratio below which it is taken back.
	slowFactor      = 2.5
	recoveredFactor = 1.6
	// lateFactor and lateFloor bound the time to the first token likewise.
	lateFactor = 4.0
	lateFloor  = 400 * time.Millisecond
	// minWeight is the part of its slots that a slow group keeps, so that its
	// recovery is seen. A group that is only late with first tokens has more work
	// than was known of; if only this scheduler sends to it, it keeps lateWeight.
	minWeight  = 1.0 / 64
	lateWeight = 0.5
	// maxSlowPart is the part of the groups that may be relieved at a time.
	maxSlowPart = 0.34
)

// health follows how fast a group answers compared with its kind.
type health struct {
	// pace is the mean time between tokens; zero before the first sample.
	pace time.Duration
	// firstToken is the mean time from dispatch to first token of short work.
	firstToken time.Duration
	// freshPace and freshFirst tell whether a sample has come in since the last
	// review.
	freshPace  bool
	freshFirst bool
	// weight is the part of the slots to use, in (0, 1].
	weight float64
}

func (h *health) observePace(sample time.Duration) {
	h.pace = h.smooth(h.pace, sample)
	h.freshPace = true
}

func (h *health) observeFirstToken(sample time.Duration) {
	h.firstToken = h.smooth(h.firstToken, sample)
	h.freshFirst = true
}

func (h *health) smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	part := healthSmoothing
	if h.weight < 1 {
		part = relievedSmoothing
	}
	return mean + scale(sample-mean, part)
}

// reviewHealth halves the weight of groups that are slower than their kind and
// doubles that of those which have recovered. It returns whether any changed.
//
// Comparing with the median keeps all groups when all are slow, as at a crest.
func reviewHealth(groups []*groupState) bool {
	pace := medianOf(groups, func(g *groupState) time.Duration { return g.health.pace })
	firstToken := medianOf(groups, func(g *groupState) time.Duration { return g.health.firstToken })
	slow := 0
	for _, g := range groups {
		if g.health.weight < 1 {
			slow++
		}
	}
	room := int(maxSlowPart * float64(len(groups)))
	changed := false
	for _, g := range groups {
		if !g.health.freshPace && !g.health.freshFirst {
			continue
		}
		before := g.health.weight
		relieved := before < 1
		floor := lateWeight
		if !g.local || g.Schedulers > 1 {
			floor = minWeight
		}
		g.health.review(pace, firstToken, floor, relieved || slow < room)
		if !relieved && g.health.weight < 1 {
			slow++
		}
		changed = changed || g.health.weight != before
	}
	return changed
}

func (h *health) review(pace, firstToken time.Duration, floor float64, mayRelieve bool) {
	slow := h.freshPace && h.pace > scale(pace, slowFactor)
	late := h.freshFirst && h.firstToken > max(lateFloor, scale(firstToken, lateFactor))
	steady := h.pace < scale(pace, recoveredFactor)
	h.freshPace, h.freshFirst = false, false
	switch {
	case slow && mayRelieve:
		h.weight = max(minWeight, h.weight/2)
	case late && mayRelieve:
		h.weight = min(h.weight, max(floor, h.weight/2))
	case steady && !slow && !late:
		h.weight = min(1, h.weight*2)
	}
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// medianOf returns the median of the groups' values that are set.
func medianOf(groups []*groupState, value func(*groupState) time.Duration) time.Duration {
	values := make([]time.Duration, 0, len(groups))
	for _, g := range groups {
		if v := value(g); v > 0 {
			values = append(values, v)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
