package schedule

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// historyStep and historySize limit the age of a report that can be
	// corrected for dispatches made since.
	historyStep = 100 * time.Millisecond
	historySize = 64
	// remoteFraction is the fraction of the free slots of a remote group that
	// may be claimed per report. Schedulers in the failure domain of the group
	// learn of the claim only from the next report.
	remoteFraction = 0.25
	// minSlack and slackFraction set how far a report may fall below the own
	// requests in flight before it is distrusted.
	minSlack      = 2
	slackFraction = 0.1
	// distrustTime is how long the reports of a group are ignored after that.
	distrustTime = 10 * time.Second
	// maxBudgetFactor and maxBudgetExcess limit the budget relative to an equal
	// share, so that persistently wrong reports cannot make it grow without
	// bound.
	maxBudgetFactor = 2
	maxBudgetExcess = 2
	// firstReportTimeout is how long a new group is limited to one request
	// without a report, because other schedulers may already use it.
	firstReportTimeout = time.Second
)

// Group is a replica group that requests may be sent to.
type Group struct {
	ID            string
	Model         string
	FailureDomain string
	// Slots is the number of requests that the group runs concurrently; above
	// zero.
	Slots int
	// Schedulers is the number of schedulers that dispatch to the group with
	// equal priority, including this one; at least one.
	Schedulers int
}

// Report is the load of a group as observed by its leader.
type Report struct {
	Model string
	Group string
	// Running and Waiting count the requests of all schedulers.
	Running int
	Waiting int
	// At is the time of the observation, on the clock of the scheduler.
	At time.Time
}

// groupState is the state of a group within one shard.
//
// The budget is the number of requests that this scheduler may have in flight
// at the group. Each report sets it to the own requests at the time of the
// report plus an equal share of the slots that were free then. The budgets of
// all schedulers thus add up to the slots regardless of the age of the report,
// and a slot freed by an own request can be reused at once.
type groupState struct {
	Group
	local bool

	running     int
	longRunning int
	// pendingPrompt is the number of prompt tokens of own long requests that
	// have not produced a first token.
	pendingPrompt int
	budget        int
	// otherRequests is the number of requests of other schedulers at the last
	// report.
	otherRequests float64
	reportedAt    time.Time
	// distrustedUntil is the time until which reports are ignored.
	distrustedUntil time.Time
	// firstSeen is when the group was added.
	firstSeen time.Time
	history   history
	health    health
	// openIndex is the position in the open set; -1 when the group is not open.
	openIndex int
	// retired is set when the group is no longer served; tickets in flight may
	// still refer to it.
	retired bool
}

// open reports whether the budget allows another request.
func (g *groupState) open() bool {
	return !g.retired && g.running < g.budget
}

// load returns the estimated occupancy, including one more request, as a
// fraction of the usable slots.
func (g *groupState) load() float64 {
	return (float64(g.running+1) + g.otherRequests) / (float64(g.Slots) * g.health.weight)
}

// limits holds the settings that budgets depend on.
type limits struct {
	overcommitRatio float64
	remoteReserve   float64
	minShare        float64
	longShare       float64
	longMaxShare    float64
	prefixLoadBound float64
}

// overcommit returns the number of requests kept at a group beyond its slots.
func (l limits) overcommit(slots int) float64 {
	if l.overcommitRatio < 0 {
		return 0
	}
	return max(1, math.Round(l.overcommitRatio*float64(slots)))
}

// slack returns the difference between the own requests and a report that
// requests in transit can explain.
func (l limits) slack(slots int) float64 {
	return max(minSlack, slackFraction*float64(slots))
}

// observe applies a report.
func (g *groupState) observe(r Report, l limits, random *rand.Rand) {
	if r.At.Before(g.reportedAt) {
		return
	}
	own := float64(g.history.at(r.At, g.running))
	total := float64(r.Running + r.Waiting)
	if total+l.slack(g.Slots) < own {
		g.distrustedUntil = r.At.Add(distrustTime) // The report omits own requests.
	}
	if r.At.Before(g.distrustedUntil) {
		g.assumeEqualShare(l, random)
		return
	}
	total = max(own, total)
	g.reportedAt = r.At
	g.otherRequests = total - own
	g.setBudget(own, total, l, random)
}

// assumeEqualShare sets the budget without a report: an equal share of the
// slots of a local group, no further requests to a remote one.
func (g *groupState) assumeEqualShare(l limits, random *rand.Rand) {
	g.otherRequests = 0
	if !g.local {
		g.budget = g.running
		return
	}
	fair := g.limit(l) / float64(g.Schedulers)
	g.otherRequests = fair * float64(g.Schedulers-1)
	g.budget = roundRandomly(fair, random)
}

func (g *groupState) setBudget(own, total float64, l limits, random *rand.Rand) {
	limit := g.limit(l)
	if !g.local {
		limit -= float64(g.Slots) * l.remoteReserve
	}
	shared := float64(g.Schedulers)
	free := (limit - total) / shared
	if !g.local {
		free = min(free, free*remoteFraction)
	}
	budget := own + free
	if g.local {
		fair := limit / shared
		budget = min(max(budget, fair*l.minShare), fair*maxBudgetFactor+maxBudgetExcess)
	}
	g.budget = roundRandomly(max(0, min(budget, limit)), random)
}

// limit returns the number of requests that all schedulers together should keep
// at the group.
func (g *groupState) limit(l limits) float64 {
	if g.health.weight < 1 {
		return max(1, float64(g.Slots)*g.health.weight)
	}
	return float64(g.Slots) + l.overcommit(g.Slots)
}

// longLimit returns the number of long requests allowed in flight. It is higher
// while no short request waits, but always leaves some slots to short ones.
func (g *groupState) longLimit(l limits, shortWaits bool) int {
	share := l.longMaxShare
	if shortWaits {
		share = l.longShare
	}
	return max(1, int(share*float64(g.budget)))
}

// recordStart counts a request that was dispatched to the group.
func (g *groupState) recordStart(c class, now time.Time) {
	g.running++
	if c == classLong {
		g.longRunning++
	}
	g.history.record(g.running, now)
}

// recordEnd counts a request that has ended.
func (g *groupState) recordEnd(c class, now time.Time) {
	g.running--
	if c == classLong {
		g.longRunning--
	}
	g.history.record(g.running, now)
}

// roundRandomly rounds x to one of the two nearest integers with an expected
// value of x, so that many schedulers with a small share each do not all round
// in the same direction.
func roundRandomly(x float64, random *rand.Rand) int {
	return int(x + random.Float64())
}

// history records the number of own requests in flight over the last
// historySize steps of historyStep.
type history struct {
	counts [historySize]int32
	// last is the most recently written step.
	last int64
}

func stepOf(t time.Time) int64 {
	return t.UnixNano() / int64(historyStep)
}

func (h *history) record(count int, now time.Time) {
	step := stepOf(now)
	if step < h.last {
		step = h.last
	}
	previous := h.counts[h.last%historySize]
	for s := max(h.last+1, step-historySize+1); s < step; s++ {
		h.counts[s%historySize] = previous
	}
	h.counts[step%historySize] = int32(count)
	h.last = step
}

// at returns the count at time t, given the current count.
func (h *history) at(t time.Time, current int) int {
	step := stepOf(t)
	if step >= h.last {
		return current
	}
	if step <= h.last-historySize {
		step = h.last - historySize + 1
	}
	return int(h.counts[step%historySize])
}
