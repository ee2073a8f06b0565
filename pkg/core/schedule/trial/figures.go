package trial

import (
	"math"
	"slices"
	"time"
)

// idealPace is the time between tokens of a full batch without prompts.
const idealPace = stepBase + engineSlots*stepPerRequest

// Figures are the results of one trial, over the requests that came during the
// crest. Fractions are of those requests.
type Figures struct {
	Requests int
	// Good is the fraction with the first token in time and 95 in 100 gaps
	// between tokens below the objective.
	Good float64
	// Goodput is the work done on good requests over the capacity.
	Goodput float64
	// InShareWorst is the smallest fraction, over the workspaces that stay
	// within their share, of requests with the first token in time.
	InShareWorst float64
	// Fairness is the smallest ratio, over workspaces, of good work to the
	// work that a fair division of the capacity would give.
	Fairness float64
	// Refused counts all refusals, WronglyRefused those while a slot was idle.
	Refused        float64
	WronglyRefused float64
	GaveUp         float64
	Failed         float64
	// ShortWait is the time from arrival to the first token of requests that
	// are not long and were given one; it includes waiting inside the engine.
	ShortWait  Percentiles
	FirstToken Percentiles
	// LongGood is Good over the long requests only.
	LongGood float64
	// Retried is the number of requests sent again after a refusal, and
	// RetriedGood the fraction of them that were good.
	Retried     int
	RetriedGood float64
	// Messages is the number of messages between nodes, over the whole trial.
	Messages int
}

// Percentiles are the 50th, 95th and 99th percentile.
type Percentiles struct {
	P50, P95, P99 time.Duration
}

func (w *world) figures() Figures {
	f := Figures{Messages: w.messages}
	var waits, firsts []time.Duration
	spaces := make([]spaceTally, len(w.config.Workload.workspaces))
	goodWork, long, longGood := 0.0, 0, 0
	for _, j := range w.jobs {
		good := j.good()
		if good {
			goodWork += j.windowWork
			spaces[j.workspace].served += j.windowWork
		}
		spaces[j.workspace].demand += j.demand(w.engines[0].window)
		if j.retry > 0 {
			f.Retried++
			f.RetriedGood += float64(count(good))
			continue
		}
		if j.at < warm || j.at >= warm+crest {
			continue
		}
		f.Requests++
		f.count(j)
		spaces[j.workspace].add(j)
		if j.long {
			long++
			longGood += count(good)
		} else if j.made > 0 {
			waits = append(waits, j.first-j.at)
		}
		if j.made > 0 {
			firsts = append(firsts, j.first-j.at)
		}
	}
	f.normalise()
	measured := (w.engines[0].window.to - w.engines[0].window.from).Seconds()
	f.Goodput = goodWork / measured / w.config.Capacity
	f.LongGood = float64(longGood) / float64(max(1, long))
	f.ShortWait, f.FirstToken = percentiles(waits), percentiles(firsts)
	f.compareShares(spaces, w.config, measured)
	return f
}

// good tells whether the request met the objectives so far.
func (j *job) good() bool {
	if j.made == 0 || j.outcome == failed || j.outcome == gaveUp {
		return false
	}
	return j.first-j.at < firstTokenObjective && j.lateGaps*20 <= j.gaps
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (f *Figures) count(j *job) {
	f.Good += float64(count(j.good()))
	f.Refused += float64(count(j.outcome == refused || j.outcome == wronglyRefused))
	f.WronglyRefused += float64(count(j.outcome == wronglyRefused))
	f.GaveUp += float64(count(j.outcome == gaveUp))
	f.Failed += float64(count(j.outcome == failed))
}

func (f *Figures) normalise() {
	f.RetriedGood /= float64(max(1, f.Retried))
	all := float64(max(1, f.Requests))
	for _, x := range []*float64{&f.Good, &f.Refused, &f.WronglyRefused, &f.GaveUp, &f.Failed} {
		*x /= all
	}
}

// spaceTally sums up one workspace.
type spaceTally struct {
	requests int
	inTime   int
	// demand and served are work in the measured window.
	demand float64
	served float64
}

func (s *spaceTally) add(j *job) {
	s.requests++
	if j.made > 0 && j.first-j.at < firstTokenObjective {
		s.inTime++
	}
}

// demand is the work that the request would have had done in the window had it
// started at once: a long request cannot be served faster than its tokens come.
func (j *job) demand(measured window) float64 {
	start, end := j.at, j.at+time.Duration(j.tokens)*idealPace
	if end <= measured.from || start >= measured.to {
		return 0
	}
	inside := min(end, measured.to) - max(start, measured.from)
	work := float64(inside) / float64(idealPace)
	if measured.contains(start) {
		work += promptCost * float64(j.prompt)
	}
	return work
}

// compareShares works out how the workspaces fared against a fair division.
func (f *Figures) compareShares(spaces []spaceTally, c Config, measured float64) {
	shares := make([]float64, len(spaces))
	demands := make([]float64, len(spaces))
	for i := range spaces {
		shares[i] = c.Workload.workspaces[i].share
		demands[i] = spaces[i].demand / measured
	}
	fair := divide(c.Capacity, demands, shares)
	total := sum(shares)
	f.Fairness, f.InShareWorst = math.Inf(1), 1
	for i, s := range spaces {
		if s.requests == 0 || fair[i] == 0 {
			continue
		}
		f.Fairness = min(f.Fairness, s.served/measured/fair[i])
		if demands[i] <= c.Capacity*shares[i]/total {
			f.InShareWorst = min(f.InShareWorst, float64(s.inTime)/float64(s.requests))
		}
	}
}

func sum(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}

// divide shares out the capacity so that no one gets more than demanded and
// what is left goes to the others in proportion to their shares.
func divide(capacity float64, demands, shares []float64) []float64 {
	given := make([]float64, len(demands))
	open := make([]bool, len(demands))
	for i := range open {
		open[i] = true
	}
	for {
		left, weight := capacity, 0.0
		for i := range given {
			if open[i] {
				weight += shares[i]
			} else {
				left -= given[i]
			}
		}
		closed := false
		for i := range given {
			if open[i] && demands[i] <= left*shares[i]/weight {
				given[i], open[i], closed = demands[i], false, true
			}
		}
		if closed {
			continue
		}
		for i := range given {
			if open[i] {
				given[i] = left * shares[i] / weight
			}
		}
		return given
	}
}

func percentiles(list []time.Duration) Percentiles {
	if len(list) == 0 {
		return Percentiles{}
	}
	slices.Sort(list)
	at := func(q float64) time.Duration { return list[int(q*float64(len(list)-1))] }
	return Percentiles{P50: at(0.5), P95: at(0.95), P99: at(0.99)}
}
