package schedule

import (
	"slices"
	"time"
)

const (
	// healthSmoothing is the weight of a new sample in the moving averages;
	// reducedSmoothing applies to a group of reduced weight, which yields few
	// samples.
	healthSmoothing  = 0.2
	reducedSmoothing = 0.5
	// slowFactor is the ratio to the median above which a group is slow, and
	// recoveredFactor the ratio below which it has recovered.
	slowFactor      = 2.5
	recoveredFactor = 1.6
	// lateFactor and lateFloor limit the time to first token in the same way.
	lateFactor = 4.0
	lateFloor  = 400 * time.Millisecond
	// minWeight is the fraction of its slots that a slow group keeps, so that
	// its recovery can be detected. A group that is late with first tokens only
	// is overloaded with requests unknown to this scheduler; if no other
	// scheduler shares it, it keeps lateWeight.
	minWeight  = 1.0 / 64
	lateWeight = 0.5
	// maxReducedFraction is the fraction of the groups that may have a reduced
	// weight at the same time.
	maxReducedFraction = 0.34
)

// health tracks the speed of a group relative to the other groups of its model.
type health struct {
	// tokenInterval is the mean time between tokens; zero before the first
	// sample.
	tokenInterval time.Duration
	// firstToken is the mean time from dispatch to first token of short
	// requests.
	firstToken time.Duration
	// tokenIntervalSampled and firstTokenSampled report whether a sample
	// arrived since the last review.
	tokenIntervalSampled bool
	firstTokenSampled    bool
	// weight is the fraction of the slots to use, in (0, 1].
	weight float64
}

func (h *health) observeTokenInterval(sample time.Duration) {
	h.tokenInterval = h.smooth(h.tokenInterval, sample)
	h.tokenIntervalSampled = true
}

func (h *health) observeFirstToken(sample time.Duration) {
	h.firstToken = h.smooth(h.firstToken, sample)
	h.firstTokenSampled = true
}

func (h *health) smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	weight := healthSmoothing
	if h.weight < 1 {
		weight = reducedSmoothing
	}
	return mean + scale(sample-mean, weight)
}

// reviewHealth halves the weight of groups that are slow compared with the
// median and doubles that of groups that have recovered. It reports whether any
// weight changed.
//
// Comparing with the median keeps all groups in use when all are slow, as at
// peak load.
func reviewHealth(groups []*groupState) bool {
	tokenInterval := medianOf(groups, func(g *groupState) time.Duration { return g.health.tokenInterval })
	firstToken := medianOf(groups, func(g *groupState) time.Duration { return g.health.firstToken })
	reducedCount := 0
	for _, g := range groups {
		if g.health.weight < 1 {
			reducedCount++
		}
	}
	maxReduced := int(maxReducedFraction * float64(len(groups)))
	changed := false
	for _, g := range groups {
		if !g.health.tokenIntervalSampled && !g.health.firstTokenSampled {
			continue
		}
		before := g.health.weight
		reduced := before < 1
		floor := lateWeight
		if !g.local || g.Schedulers > 1 {
			floor = minWeight
		}
		g.health.review(tokenInterval, firstToken, floor, reduced || reducedCount < maxReduced)
		if !reduced && g.health.weight < 1 {
			reducedCount++
		}
		changed = changed || g.health.weight != before
	}
	return changed
}

func (h *health) review(tokenInterval, firstToken time.Duration, floor float64, mayReduce bool) {
	slow := h.tokenIntervalSampled && h.tokenInterval > scale(tokenInterval, slowFactor)
	late := h.firstTokenSampled && h.firstToken > max(lateFloor, scale(firstToken, lateFactor))
	recovered := h.tokenInterval < scale(tokenInterval, recoveredFactor)
	h.tokenIntervalSampled, h.firstTokenSampled = false, false
	switch {
	case slow && mayReduce:
		h.weight = max(minWeight, h.weight/2)
	case late && mayReduce:
		h.weight = min(h.weight, max(floor, h.weight/2))
	case recovered && !slow && !late:
		h.weight = min(1, h.weight*2)
	}
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// medianOf returns the median of the nonzero values of the groups.
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
