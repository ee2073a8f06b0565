package trial

import (
	"math"
	"slices"
	"time"
)

// idealTokenInterval is the time between tokens of a full batch without prompt
// processing.
const idealTokenInterval = stepBase + engineSlots*stepPerRequest

// Figures holds the results of one trial over the requests that arrived during
// the peak. Fractions are of those requests.
type Figures struct {
	Requests int
	// Good is the fraction with the first token in time and at least 95% of the
	// gaps between tokens within the objective.
	Good float64
	// Goodput is the work done for good requests divided by the capacity.
	Goodput float64
	// InShareWorst is the smallest fraction, over the workspaces whose demand
	// is within their share, of requests with the first token in time.
	InShareWorst float64
	// Fairness is the smallest ratio, over workspaces, of good work to the work
	// under a fair division of the capacity.
	Fairness float64
	// Refused is the fraction of refused requests, WronglyRefused that of
	// requests refused while a slot was idle.
	Refused        float64
	WronglyRefused float64
	GaveUp         float64
	Failed         float64
	// ShortWait is the time from arrival to first token of the requests that
	// are not long and received one, including queueing in the engine.
	ShortWait  Percentiles
	FirstToken Percentiles
	// LongGood is Good over the long requests only.
	LongGood float64
	// Retried is the number of retries after a refusal, RetriedGood the
	// fraction of them that were good.
	Retried     int
	RetriedGood float64
	// Messages is the number of messages between nodes over the whole trial.
	Messages int
}

// Percentiles holds the 50th, 95th and 99th percentiles.
type Percentiles struct {
	P50, P95, P99 time.Duration
}

func (s *simulation) figures() Figures {
	f := Figures{Messages: s.messages}
	var waits, firsts []time.Duration
	tallies := make([]workspaceTally, len(s.config.Workload.workspaces))
	goodWork, long, longGood := 0.0, 0, 0
	for _, j := range s.jobs {
		good := j.good()
		if good {
			goodWork += j.windowWork
			tallies[j.workspace].served += j.windowWork
		}
		tallies[j.workspace].demand += j.demand(s.engines[0].window)
		if j.retry > 0 {
			f.Retried++
			f.RetriedGood += float64(boolToInt(good))
			continue
		}
		if j.at < warmup || j.at >= warmup+peak {
			continue
		}
		f.Requests++
		f.count(j)
		tallies[j.workspace].add(j)
		if j.long {
			long++
			longGood += boolToInt(good)
		} else if j.generated > 0 {
			waits = append(waits, j.first-j.at)
		}
		if j.generated > 0 {
			firsts = append(firsts, j.first-j.at)
		}
	}
	f.normalise()
	measured := (s.engines[0].window.to - s.engines[0].window.from).Seconds()
	f.Goodput = goodWork / measured / s.config.Capacity
	f.LongGood = float64(longGood) / float64(max(1, long))
	f.ShortWait, f.FirstToken = percentiles(waits), percentiles(firsts)
	f.compareShares(tallies, s.config, measured)
	return f
}

// good reports whether the request has met its objectives so far.
func (j *job) good() bool {
	if j.generated == 0 || j.outcome == failed || j.outcome == gaveUp {
		return false
	}
	return j.first-j.at < firstTokenObjective && j.lateGaps*20 <= j.gaps
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (f *Figures) count(j *job) {
	f.Good += float64(boolToInt(j.good()))
	f.Refused += float64(boolToInt(j.outcome == refused || j.outcome == wronglyRefused))
	f.WronglyRefused += float64(boolToInt(j.outcome == wronglyRefused))
	f.GaveUp += float64(boolToInt(j.outcome == gaveUp))
	f.Failed += float64(boolToInt(j.outcome == failed))
}

func (f *Figures) normalise() {
	f.RetriedGood /= float64(max(1, f.Retried))
	all := float64(max(1, f.Requests))
	for _, x := range []*float64{&f.Good, &f.Refused, &f.WronglyRefused, &f.GaveUp, &f.Failed} {
		*x /= all
	}
}

// workspaceTally accumulates the results of one workspace.
type workspaceTally struct {
	requests int
	inTime   int
	// demand and served are work in the measurement window.
	demand float64
	served float64
}

func (s *workspaceTally) add(j *job) {
	s.requests++
	if j.generated > 0 && j.first-j.at < firstTokenObjective {
		s.inTime++
	}
}

// demand returns the work that the request would have received in the window
// had it started at once; a long request cannot run faster than the token rate.
func (j *job) demand(measured window) float64 {
	start, end := j.at, j.at+time.Duration(j.tokens)*idealTokenInterval
	if end <= measured.from || start >= measured.to {
		return 0
	}
	inside := min(end, measured.to) - max(start, measured.from)
	work := float64(inside) / float64(idealTokenInterval)
	if measured.contains(start) {
		work += promptCost * float64(j.prompt)
	}
	return work
}

// compareShares sets Fairness and InShareWorst by comparing each workspace with
// a fair division of the capacity.
func (f *Figures) compareShares(tallies []workspaceTally, c Config, measured float64) {
	shares := make([]float64, len(tallies))
	demands := make([]float64, len(tallies))
	for i := range tallies {
		shares[i] = c.Workload.workspaces[i].share
		demands[i] = tallies[i].demand / measured
	}
	fair := fairDivision(c.Capacity, demands, shares)
	total := sum(shares)
	f.Fairness, f.InShareWorst = math.Inf(1), 1
	for i, s := range tallies {
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

// fairDivision divides the capacity so that no workspace gets more than its
// demand and unused capacity goes to the others in proportion to their shares.
func fairDivision(capacity float64, demands, shares []float64) []float64 {
	granted := make([]float64, len(demands))
	open := make([]bool, len(demands))
	for i := range open {
		open[i] = true
	}
	for {
		left, weight := capacity, 0.0
		for i := range granted {
			if open[i] {
				weight += shares[i]
			} else {
				left -= granted[i]
			}
		}
		closed := false
		for i := range granted {
			if open[i] && demands[i] <= left*shares[i]/weight {
				granted[i], open[i], closed = demands[i], false, true
			}
		}
		if closed {
			continue
		}
		for i := range granted {
			if open[i] {
				granted[i] = left * shares[i] / weight
			}
		}
		return granted
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
