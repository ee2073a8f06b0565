package balance

import (
	"math"
	"time"
)

// candidate is a head that may be selected.
type candidate struct {
	head *head
	// load is the estimated load, in requests.
	load float64
}

// load returns the estimated load of a head, in requests, with penalties for a
// remote failure domain and for errors.
func (p *Pool) load(h *head) float64 {
	load := float64(h.inFlight()) + h.errorRate*float64(h.Slots)
	if h.FailureDomain != p.policy.FailureDomain {
		load += p.policy.RemotePenalty
	}
	return load
}

// expectedArrivals returns how many requests other nodes may have sent, by the rate
// at which those they reported end, that no report includes yet.
func (p *Pool) expectedArrivals() float64 {
	return p.unreported / max(p.meanDuration, time.Millisecond).Seconds()
}

// pick selects one of the candidates; point is random in [0, 1). If all nodes
// selected the head with the least load by the same old reports, they would
// overload it. arrivals, the requests of other nodes that no report includes yet, are
// therefore assumed to fill the least loaded heads up to a common level, and each
// node selects a head with a probability in proportion to what it lacks to that
// level. With many such requests the choice is almost uniform, with none it is the
// least loaded head.
func pick(candidates []candidate, arrivals, point float64) *head {
	level, _ := fillLevel(candidates, arrivals)
	left := point * (arrivals + 1)
	var last *head
	for _, c := range candidates {
		if !(c.load < level) {
			continue
		}
		last = c.head
		left -= level - c.load
		if left < 0 {
			break
		}
	}
	if last == nil {
		return leastLoaded(candidates)
	}
	return last
}

// fillLevel returns the level to which the arrivals and one more request fill the heads,
// and the number of steps that it took.
//
// With real numbers, the number of heads below the level falls until it stays the same.
// With rounded ones it may rise again: a load next to the level is then below it or not
// by turns. The search ends once the number does not fall.
func fillLevel(candidates []candidate, arrivals float64) (level float64, steps int) {
	level = math.Inf(1)
	for count := len(candidates) + 1; ; steps++ {
		sum, below := 0.0, 0
		for _, c := range candidates {
			if c.load < level {
				sum += c.load
				below++
			}
		}
		if below >= count || below == 0 {
			return level, steps
		}
		count = below
		level = (sum + arrivals + 1) / float64(below)
	}
}

// leastLoaded returns the head with the least load, for loads so large that one request
// more makes no difference.
func leastLoaded(candidates []candidate) *head {
	least := candidates[0]
	for _, c := range candidates[1:] {
		if c.load < least.load {
			least = c
		}
	}
	return least.head
}
