package schedule

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// historyStep and historySize bound the age of a report that can be
	// corrected for the dispatches made since.
	historyStep = 100 * time.Millisecond
	historySize = 64
	// remotePart is the part of the free slots of a group elsewhere that may be
	// taken for each report. The group's own failure domain sees that they are
	// taken only by the next report.
	remotePart = 0.25
	// minSlack and slackPart bound the difference between own requests and a
	// report above which the report is not believed.
	minSlack  = 2
	slackPart = 0.1
	// doubtTime is how long the reports of a group are not believed after that.
	doubtTime = 10 * time.Second
	// maxUnequal and maxAbove bound the budget in terms of an equal share, so
	// that reports which are wrong all the time cannot let it grow for ever.
	maxUnequal = 2
	maxAbove   = 2
	// firstReportWait is how long a new group is given one request only unless a
	// report comes: others may have work there.
	firstReportWait = time.Second
)

// Group is a replica group that requests may be sent to.
type Group struct {
	ID            string
	Model         string
	FailureDomain string
	// Slots is the number of requests that the group runs at the same time;
	// above zero.
	Slots int
	// Schedulers is the number of schedulers that dispatch to the group on equal
	// terms, this one included; at least one.
	Schedulers int
}

// Report is the load of a group as its leader saw it.
type Report struct {
	Model string
	Group string
	// Running and Waiting count the requests of all schedulers.
	Running int
	Waiting int
	// At is when the load was read, by the clock of the scheduler.
	At time.Time
}

// groupState is what one shard knows of a group.
//
// The budget is the number of requests that this scheduler may have in flight
// at the group. Each report sets it to the scheduler's own requests at the time
// of the report plus an equal part of the slots that were free then. Over all
// schedulers the budgets thus sum to the slots, however old the report is, and
// a slot that a scheduler's own request frees can be used again at once.
type groupState struct {
	Group
	local bool

	running     int
	longRunning int
	// prompting is the number of prompt tokens of own long requests that have
	// not sent their first token yet.
	prompting int
	budget    int
	// others is the number of requests of other schedulers at the last report.
	others   float64
	reported time.Time
	// doubtedUntil is when reports are believed again.
	doubtedUntil time.Time
	// since is when the group was first seen.
	since   time.Time
	history history
	health  health
	// openAt is the position in the shard's set of open groups; -1 when the
	// group is not open.
	openAt int
	// retired is set when the group is no longer served; tickets in flight may
	// still refer to it.
	retired bool
}

// open tells whether the group has room for another request.
func (g *groupState) open() bool {
	return !g.retired && g.running < g.budget
}

// load returns the estimated occupancy as a fraction of the slots in use.
func (g *groupState) load() float64 {
	return (float64(g.running+1) + g.others) / (float64(g.Slots) * g.health.weight)
}

// limits are the parts of the configuration that budgets depend on.
type limits struct {
	overcommitRatio float64
	remoteReserve   float64
	minShare        float64
	longShare       float64
	longMaxShare    float64
	prefixLoadBound float64
}

// extra is the number of requests kept at a group above its slots.
func (l limits) extra(slots int) float64 {
	if l.overcommitRatio < 0 {
		return 0
	}
	return max(1, math.Round(l.overcommitRatio*float64(slots)))
}

// slack is the difference between own requests and a report that can come from
// requests on their way.
func (l limits) slack(slots int) float64 {
	return max(minSlack, slackPart*float64(slots))
}

// observe takes in a report.
func (g *groupState) observe(r Report, l limits, random *rand.Rand) {
	if r.At.Before(g.reported) {
		return
	}
	own := float64(g.history.at(r.At, g.running))
	total := float64(r.Running + r.Waiting)
	if total+l.slack(g.Slots) < own {
		g.doubtedUntil = r.At.Add(doubtTime) // The report cannot be true.
	}
	if r.At.Before(g.doubtedUntil) {
		g.assume(l, random)
		return
	}
	total = max(own, total)
	g.reported = r.At
	g.others = total - own
	g.setBudget(own, total, l, random)
}

// assume sets the budget without a report: an equal part of the slots at home,
// nothing elsewhere.
func (g *groupState) assume(l limits, random *rand.Rand) {
	g.others = 0
	if !g.local {
		g.budget = g.running
		return
	}
	fair := g.limit(l) / float64(g.Schedulers)
	g.others = fair * float64(g.Schedulers-1)
	g.budget = roundAtRandom(fair, random)
}

func (g *groupState) setBudget(own, total float64, l limits, random *rand.Rand) {
	limit := g.limit(l)
	if !g.local {
		limit -= float64(g.Slots) * l.remoteReserve
	}
	shared := float64(g.Schedulers)
	free := (limit - total) / shared
	if !g.local {
		free = min(free, free*remotePart)
	}
	budget := own + free
	if g.local {
		fair := limit / shared
		budget = min(max(budget, fair*l.minShare), fair*maxUnequal+maxAbove)
	}
	g.budget = roundAtRandom(max(0, min(budget, limit)), random)
}

// limit is the number of requests that all schedulers together should keep at
// the group.
func (g *groupState) limit(l limits) float64 {
	if g.health.weight < 1 {
		return max(1, float64(g.Slots)*g.health.weight)
	}
	return float64(g.Slots) + l.extra(g.Slots)
}

// longLimit is the number of long requests that may be in flight. It is larger
// while no short work waits, but short work always finds a part of the slots.
func (g *groupState) longLimit(l limits, shortWaits bool) int {
	share := l.longMaxShare
	if shortWaits {
		share = l.longShare
	}
	return max(1, int(share*float64(g.budget)))
}

// started and finished count a request in flight.
func (g *groupState) started(c class, now time.Time) {
	g.running++
	if c == classLong {
		g.longRunning++
	}
	g.history.record(g.running, now)
}

func (g *groupState) finished(c class, now time.Time) {
	g.running--
	if c == classLong {
		g.longRunning--
	}
	g.history.record(g.running, now)
}

// roundAtRandom rounds to one of the two nearest integers such that the
// expected result is x, so that many schedulers with a small part each do not
// all round the same way.
func roundAtRandom(x float64, random *rand.Rand) int {
	return int(x + random.Float64())
}

// history remembers the number of own requests in flight over the last
// historySize steps of historyStep.
type history struct {
	counts [historySize]int32
	// last is the step that was written last.
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

// at returns the count at time t, which was current at the latest record.
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
