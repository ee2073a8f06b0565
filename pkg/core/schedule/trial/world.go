package trial

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	domains = 3
	// enginesPerDomain gives 15 groups of four engines, 60 in all.
	enginesPerDomain = 5
	localHop         = 300 * time.Microsecond
	reportInterval   = 250 * time.Millisecond
	tickInterval     = 50 * time.Millisecond
	// detection is how long a lost engine or node goes unnoticed.
	detection = time.Second
	// comeBackTime is how long a trial goes on for refused callers to come back.
	comeBackTime = time.Minute
	// patience is how long a caller waits for its first token.
	patience = 10 * time.Second
	// firstTokenObjective is the objective for the time to first token.
	firstTokenObjective = 2 * time.Second
)

// Config describes one trial.
type Config struct {
	Workload Workload
	Nodes    int
	Policy   Policy
	Seed     uint64
	// Overload is the demand at the crest over the capacity, or all the time
	// when ConstantDemand is set.
	Overload       float64
	ConstantDemand bool
	// WithoutLong leaves the long requests out of the same trace.
	WithoutLong bool
	// ReportLag and ReportLoss (a probability) disturb load reports.
	ReportLag  time.Duration
	ReportLoss float64
	Fault      Fault
	// Retries is how often a refused caller comes back, each time after the
	// Retry-After that it was given.
	Retries int
	// Capacity is the work per second of all engines, from Capacity.
	Capacity float64
}

// Policy is a way of sharing the engines.
type Policy string

// Policies.
const (
	RoundRobin    Policy = "roundRobin"
	LeastInFlight Policy = "leastInFlight"
	// Independent gives each node its own scheduler over all groups.
	Independent Policy = "independent"
	// OwnerPerGroup gives each group one scheduler that nodes ask.
	OwnerPerGroup Policy = "ownerPerGroup"
	// OwnerPerDomain gives all groups of a failure domain one scheduler.
	OwnerPerDomain Policy = "ownerPerDomain"
	// LeasedSlots gives each node a scheduler over slots lent to it in batches.
	LeasedSlots Policy = "lent"
)

// sharing hands requests to engines. Methods are called in order of time.
type sharing interface {
	arrive(*job)
	// firstToken, progress and finish come when the job's node learns of it.
	firstToken(*job)
	progress(*job)
	finish(*job)
	// gaveUp comes when the caller has left, before the first token.
	gaveUp(*job)
	// lost comes when the engine of a job is found dead.
	lost(*job)
	report(e *engine, running, waiting int, at time.Duration)
	tick()
	// changed comes when engines or nodes have come or gone.
	changed()
}

// node is one entry VM.
type node struct {
	domain int
	live   bool
}

// world is one trial in progress.
type world struct {
	*loop
	config  Config
	random  *rand.Rand
	engines []*engine
	byID    map[string]*engine
	nodes   []node
	sharing sharing
	jobs    []*job
	// messages counts messages between nodes that sharing needs.
	messages int
}

func newWorld(c Config) *world {
	w := &world{
		loop:   newLoop(),
		config: c,
		random: rand.New(rand.NewPCG(c.Seed, 5)),
		byID:   make(map[string]*engine),
	}
	measured := window{from: warm + c.Workload.ramp + settle, to: warm + crest}
	for i := range domains * enginesPerDomain {
		e := newEngine(fmt.Sprintf("g%02d", i), i%domains, w.loop, measured)
		e.sink = w
		e.index = i
		w.engines = append(w.engines, e)
		w.byID[e.id] = e
	}
	for i := range c.Nodes {
		w.nodes = append(w.nodes, node{domain: i % domains, live: true})
	}
	w.sharing = newSharing(w)
	return w
}

func newSharing(w *world) sharing {
	switch w.config.Policy {
	case RoundRobin, LeastInFlight:
		return newBaseline(w)
	default:
		return newCells(w)
	}
}

// Run runs a trial and returns its figures.
func Run(c Config) Figures {
	w := newWorld(c)
	base := c.Overload * c.Capacity / c.Workload.meanWork()
	if !c.ConstantDemand {
		base /= crestFactor
	}
	for _, r := range c.Workload.trace(base, c.ConstantDemand, c.Seed) {
		if r.long && c.WithoutLong {
			continue
		}
		w.after(r.at, func() { w.arrive(r) })
	}
	for i, e := range w.engines {
		offset := reportInterval * time.Duration(i) / time.Duration(len(w.engines))
		w.after(offset, func() { w.every(reportInterval, func() { w.sendReport(e) }) })
	}
	w.every(tickInterval, w.sharing.tick)
	w.schedule(c.Fault)
	w.runUntil(warm + crest + tail)
	if c.Retries > 0 {
		w.runUntil(warm + crest + tail + comeBackTime)
	}
	return w.figures()
}

// Capacity returns the work per second of all engines when a backlog keeps
// every slot in use.
func Capacity(load Workload, seed uint64) float64 {
	w := newWorld(Config{Workload: load, Nodes: domains, Policy: RoundRobin})
	random := rand.New(rand.NewPCG(seed, 9))
	sum := 0.0
	refill := func() {
		for _, e := range w.engines {
			for e.idle() > -2 {
				j := &job{request: load.draw(random), attempt: 1}
				w.jobs = append(w.jobs, j)
				e.enqueue(j)
			}
		}
	}
	w.sharing = idleSharing{}
	w.every(time.Millisecond, refill)
	w.runUntil(warm + crest)
	for _, j := range w.jobs {
		sum += j.windowWork
	}
	measured := w.engines[0].window
	return sum / (measured.to - measured.from).Seconds()
}

// idleSharing ignores all events.
type idleSharing struct{ sharing }

func (idleSharing) firstToken(*job) {}
func (idleSharing) progress(*job)   {}
func (idleSharing) finish(*job)     {}

func (w *world) arrive(r *request) {
	j := &job{request: r, node: w.liveNode()}
	w.jobs = append(w.jobs, j)
	w.after(patience, func() {
		if j.outcome == pending && j.made == 0 {
			j.outcome = gaveUp
			w.sharing.gaveUp(j)
		}
	})
	w.sharing.arrive(j)
}

// liveNode picks a node as the platform's balancer does.
func (w *world) liveNode() int {
	for {
		if n := w.random.IntN(len(w.nodes)); w.nodes[n].live {
			return n
		}
	}
}

// hop returns the one-way time between two failure domains.
func (w *world) hop(a, b int) time.Duration {
	if a == b {
		return localHop
	}
	return w.config.Workload.domainHop
}

// send takes a job from its node to an engine.
func (w *world) send(j *job, e *engine) {
	j.attempt++
	attempt := j.attempt
	w.after(w.hop(w.nodes[j.node].domain, e.domain), func() {
		switch {
		case j.attempt != attempt || j.outcome != pending:
		case e.dark:
			w.after(detection, func() { w.lose(j, attempt) })
		default:
			e.enqueue(j)
		}
	})
}

// lose tells the node that an attempt is lost.
func (w *world) lose(j *job, attempt int) {
	if j.attempt != attempt || j.outcome != pending {
		return
	}
	if j.made > 0 || !w.nodes[j.node].live {
		j.outcome = failed
	}
	w.sharing.lost(j)
}

// refuse ends a job; it is wrong if a slot is idle anywhere.
func (w *world) refuse(j *job, retryAfter time.Duration) {
	if j.outcome != pending {
		return
	}
	j.outcome = refused
	w.comeBack(j, retryAfter)
	for _, e := range w.engines {
		if e.slowness == 1 && e.unused() {
			j.outcome = wronglyRefused
		}
	}
}

// comeBack has the caller of a refused job send it again.
func (w *world) comeBack(j *job, retryAfter time.Duration) {
	if j.retry >= w.config.Retries {
		return
	}
	again := *j.request
	again.at = w.now + retryAfter
	again.retry++
	w.after(retryAfter, func() { w.arrive(&again) })
}

// back runs the event when word from the engine has reached the job's node.
func (w *world) back(run func()) {
	w.after(localHop, run)
}

func (w *world) firstToken(j *job) {
	w.back(func() { w.sharing.firstToken(j) })
}

func (w *world) progress(j *job) {
	w.back(func() { w.sharing.progress(j) })
}

func (w *world) finish(j *job) {
	j.outcome = finished
	w.back(func() { w.sharing.finish(j) })
}

func (w *world) sendReport(e *engine) {
	if e.dark || w.random.Float64() < w.config.ReportLoss {
		return
	}
	running, waiting, at := len(e.running), len(e.waiting), w.now
	if e.lie >= 0 {
		running, waiting = e.lie, 0
	}
	w.after(w.config.ReportLag, func() { w.sharing.report(e, running, waiting, at) })
}
