// Package trial simulates callers, entry VMs and engines around the real
// scheduler in virtual time and measures the service that callers get. It
// compares scheduling policies; it does not model replicas, the control plane
// or the platform.
package trial

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	domains = 3
	// enginesPerDomain yields 15 groups of four engines, 60 engines in all.
	enginesPerDomain = 5
	localDelay       = 300 * time.Microsecond
	reportInterval   = 250 * time.Millisecond
	tickInterval     = 50 * time.Millisecond
	// detectionDelay is the time until the loss of an engine or node is
	// detected.
	detectionDelay = time.Second
	// retryTail is how long a trial is extended for the retries of refused
	// callers.
	retryTail = time.Minute
	// callerTimeout is how long a caller waits for its first token.
	callerTimeout = 10 * time.Second
	// firstTokenObjective is the objective for the time to first token.
	firstTokenObjective = 2 * time.Second
)

// Config describes one trial.
type Config struct {
	Workload Workload
	Nodes    int
	Policy   Policy
	Seed     uint64
	// Overload is the ratio of the demand at the peak to the capacity, or of
	// the constant demand when ConstantDemand is set.
	Overload       float64
	ConstantDemand bool
	// WithoutLong removes the long requests from the same trace.
	WithoutLong bool
	// ReportLag delays load reports and ReportLoss is the probability that one
	// is lost.
	ReportLag  time.Duration
	ReportLoss float64
	Fault      Fault
	// Retries is how often a refused caller retries, each time after the
	// Retry-After of the refusal.
	Retries int
	// Capacity is the work per second of all engines, as returned by the
	// function Capacity.
	Capacity float64
}

// Policy is a way of dividing the engines among nodes.
type Policy string

// Policies.
const (
	RoundRobin    Policy = "roundRobin"
	LeastInFlight Policy = "leastInFlight"
	// Independent runs a scheduler on each node over all groups.
	Independent Policy = "independent"
	// OwnerPerGroup runs one scheduler per group, from which nodes request
	// slots.
	OwnerPerGroup Policy = "ownerPerGroup"
	// OwnerPerDomain runs one scheduler per failure domain for all of its
	// groups.
	OwnerPerDomain Policy = "ownerPerDomain"
	// LeasedSlots runs a scheduler on each node over slots leased to the node
	// in batches.
	LeasedSlots Policy = "lent"
)

// strategy assigns requests to engines. Methods are called in order of virtual
// time.
type strategy interface {
	arrive(*job)
	// firstToken, progress and finish are called when the event reaches the
	// node of the job.
	firstToken(*job)
	progress(*job)
	finish(*job)
	// callerLeft is called when the caller has left before the first token.
	callerLeft(*job)
	// attemptLost is called when the failure of the engine of a job is
	// detected.
	attemptLost(*job)
	report(e *engine, running, waiting int, at time.Duration)
	tick()
	// membershipChanged is called when engines or nodes have been added or
	// removed.
	membershipChanged()
}

// node is an entry VM.
type node struct {
	domain int
	live   bool
}

// simulation is a trial in progress.
type simulation struct {
	*eventLoop
	config   Config
	random   *rand.Rand
	engines  []*engine
	byID     map[string]*engine
	nodes    []node
	strategy strategy
	jobs     []*job
	// messages counts the messages between nodes that the strategy sends.
	messages int
}

func newSimulation(c Config) *simulation {
	s := &simulation{
		eventLoop: newEventLoop(),
		config:    c,
		random:    rand.New(rand.NewPCG(c.Seed, 5)),
		byID:      make(map[string]*engine),
	}
	measured := window{from: warmup + c.Workload.ramp + settle, to: warmup + peak}
	for i := range domains * enginesPerDomain {
		e := newEngine(fmt.Sprintf("g%02d", i), i%domains, s.eventLoop, measured)
		e.observer = s
		e.index = i
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
	}
	for i := range c.Nodes {
		s.nodes = append(s.nodes, node{domain: i % domains, live: true})
	}
	s.strategy = newStrategy(s)
	return s
}

func newStrategy(s *simulation) strategy {
	switch s.config.Policy {
	case RoundRobin, LeastInFlight:
		return newBaseline(s)
	default:
		return newInstances(s)
	}
}

// Run simulates a trial and returns its figures.
func Run(c Config) Figures {
	s := newSimulation(c)
	base := c.Overload * c.Capacity / c.Workload.meanWork()
	if !c.ConstantDemand {
		base /= peakFactor
	}
	for _, r := range c.Workload.trace(base, c.ConstantDemand, c.Seed) {
		if r.long && c.WithoutLong {
			continue
		}
		s.after(r.at, func() { s.arrive(r) })
	}
	for i, e := range s.engines {
		offset := reportInterval * time.Duration(i) / time.Duration(len(s.engines))
		s.after(offset, func() { s.every(reportInterval, func() { s.sendReport(e) }) })
	}
	s.every(tickInterval, s.strategy.tick)
	s.scheduleFault(c.Fault)
	s.runUntil(warmup + peak + cooldown)
	if c.Retries > 0 {
		s.runUntil(warmup + peak + cooldown + retryTail)
	}
	return s.figures()
}

// Capacity returns the work per second of all engines when a backlog keeps
// every slot in use.
func Capacity(load Workload, seed uint64) float64 {
	s := newSimulation(Config{Workload: load, Nodes: domains, Policy: RoundRobin})
	random := rand.New(rand.NewPCG(seed, 9))
	sum := 0.0
	refill := func() {
		for _, e := range s.engines {
			for e.idle() > -2 {
				j := &job{request: load.draw(random), attempt: 1}
				s.jobs = append(s.jobs, j)
				e.enqueue(j)
			}
		}
	}
	s.strategy = noopStrategy{}
	s.every(time.Millisecond, refill)
	s.runUntil(warmup + peak)
	for _, j := range s.jobs {
		sum += j.windowWork
	}
	measured := s.engines[0].window
	return sum / (measured.to - measured.from).Seconds()
}

// noopStrategy ignores all events.
type noopStrategy struct{ strategy }

func (noopStrategy) firstToken(*job) {}
func (noopStrategy) progress(*job)   {}
func (noopStrategy) finish(*job)     {}

func (s *simulation) arrive(r *request) {
	j := &job{request: r, node: s.liveNode()}
	s.jobs = append(s.jobs, j)
	s.after(callerTimeout, func() {
		if j.outcome == pending && j.generated == 0 {
			j.outcome = gaveUp
			s.strategy.callerLeft(j)
		}
	})
	s.strategy.arrive(j)
}

// liveNode picks a node at random, as the load balancer of the platform does.
func (s *simulation) liveNode() int {
	for {
		if n := s.random.IntN(len(s.nodes)); s.nodes[n].live {
			return n
		}
	}
}

// networkDelay returns the one-way delay between two failure domains.
func (s *simulation) networkDelay(a, b int) time.Duration {
	if a == b {
		return localDelay
	}
	return s.config.Workload.domainDelay
}

// send dispatches a job from its node to an engine.
func (s *simulation) send(j *job, e *engine) {
	j.attempt++
	attempt := j.attempt
	s.after(s.networkDelay(s.nodes[j.node].domain, e.domain), func() {
		switch {
		case j.attempt != attempt || j.outcome != pending:
		case e.down:
			s.after(detectionDelay, func() { s.failAttempt(j, attempt) })
		default:
			e.enqueue(j)
		}
	})
}

// failAttempt reports the loss of an attempt to the strategy.
func (s *simulation) failAttempt(j *job, attempt int) {
	if j.attempt != attempt || j.outcome != pending {
		return
	}
	if j.generated > 0 || !s.nodes[j.node].live {
		j.outcome = failed
	}
	s.strategy.attemptLost(j)
}

// refuse ends a job. The refusal counts as wrong if a healthy engine has an
// unused slot.
func (s *simulation) refuse(j *job, retryAfter time.Duration) {
	if j.outcome != pending {
		return
	}
	j.outcome = refused
	s.retryLater(j, retryAfter)
	for _, e := range s.engines {
		if e.slowdown == 1 && e.hasUnusedSlot() {
			j.outcome = wronglyRefused
		}
	}
}

// retryLater makes the caller of a refused job retry.
func (s *simulation) retryLater(j *job, retryAfter time.Duration) {
	if j.retry >= s.config.Retries {
		return
	}
	again := *j.request
	again.at = s.now + retryAfter
	again.retry++
	s.after(retryAfter, func() { s.arrive(&again) })
}

// deliver runs an event after the network delay from the engine to the node of
// the job.
func (s *simulation) deliver(run func()) {
	s.after(localDelay, run)
}

func (s *simulation) firstToken(j *job) {
	s.deliver(func() { s.strategy.firstToken(j) })
}

func (s *simulation) progress(j *job) {
	s.deliver(func() { s.strategy.progress(j) })
}

func (s *simulation) finish(j *job) {
	j.outcome = finished
	s.deliver(func() { s.strategy.finish(j) })
}

func (s *simulation) sendReport(e *engine) {
	if e.down || s.random.Float64() < s.config.ReportLoss {
		return
	}
	running, waiting, at := len(e.running), len(e.waiting), s.now
	if e.reportOverride >= 0 {
		running, waiting = e.reportOverride, 0
	}
	s.after(s.config.ReportLag, func() { s.strategy.report(e, running, waiting, at) })
}
