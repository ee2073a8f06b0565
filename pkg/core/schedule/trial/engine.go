package trial

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"almondbay.example/core/schedule"
)

const (
	engineSlots = 32
	// A step of a batch takes stepBase, plus stepPerRequest for each request in
	// the batch, plus stepPerPromptToken for each prompt token processed, at
	// most promptChunk of them.
	stepBase           = 18 * time.Millisecond
	stepPerRequest     = 300 * time.Microsecond
	stepPerPromptToken = 25 * time.Microsecond
	promptChunk        = 512
	// cachedPrefixes is the number of prefixes in the cache of an engine.
	cachedPrefixes = 32
	// maxGap is the objective for the time between tokens.
	maxGap = 45 * time.Millisecond
	// unusedAfter is how long a slot must be free for a refusal to count as
	// wrong.
	unusedAfter = 50 * time.Millisecond
)

// job is a request in progress.
type job struct {
	*request
	node int
	// attempt increases with every dispatch; events of older attempts are
	// ignored.
	attempt int
	avoid   []string
	// lowPriority makes the engine process the prompt of the job after those of
	// other jobs.
	lowPriority bool

	// promptLeft is the number of prompt tokens still to process.
	promptLeft int
	generated  int
	// reported is the token count at the last progress event.
	reported  int
	lastToken time.Duration
	first     time.Duration
	gaps      int
	lateGaps  int
	// windowWork is the work done in the measurement window.
	windowWork float64
	outcome    outcome
}

// outcome is the final state of a job.
type outcome int

const (
	pending outcome = iota
	finished
	refused
	wronglyRefused
	gaveUp
	failed
)

// observer receives the events of jobs at an engine.
type observer interface {
	firstToken(*job)
	progress(*job)
	finish(*job)
}

// engine simulates a replica group with continuous batching.
type engine struct {
	id        string
	index     int
	domain    int
	eventLoop *eventLoop
	observer  observer
	window    window

	running []*job
	waiting []*job
	cache   *simplelru.LRU[uint64, struct{}]
	busy    bool
	// lastFull is the last time at which no slot was free.
	lastFull time.Duration
	down     bool
	// slowdown multiplies the time of each step; one when healthy.
	slowdown float64
	// reportOverride replaces the reported number of requests unless negative.
	reportOverride int
}

// window is the time interval in which goodput is measured.
type window struct {
	from, to time.Duration
}

func (w window) contains(at time.Duration) bool {
	return at >= w.from && at < w.to
}

func newEngine(id string, domain int, l *eventLoop, w window) *engine {
	cache, err := simplelru.NewLRU[uint64, struct{}](cachedPrefixes, nil)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &engine{id: id, domain: domain, eventLoop: l, window: w, cache: cache, slowdown: 1, reportOverride: -1}
}

// idle returns the number of free slots.
func (e *engine) idle() int {
	return engineSlots - len(e.running) - len(e.waiting)
}

// hasUnusedSlot reports whether a slot has been free for longer than the usual
// gap between two requests.
func (e *engine) hasUnusedSlot() bool {
	return !e.down && e.idle() > 0 && e.eventLoop.now-e.lastFull > unusedAfter
}

// enqueue adds a job to the queue of the engine.
func (e *engine) enqueue(j *job) {
	e.waiting = append(e.waiting, j)
	if !e.busy {
		e.step()
	}
}

// abandon removes a job that has not started.
func (e *engine) abandon(j *job) {
	if i := slices.Index(e.waiting, j); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
}

// step admits waiting jobs and runs one step of the batch.
func (e *engine) step() {
	for len(e.waiting) > 0 && len(e.running) < engineSlots {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.admit(j)
	}
	if len(e.running) == 0 || e.down {
		e.busy = false
		return
	}
	e.busy = true
	budget := e.prefill(promptChunk, false)
	budget = e.prefill(budget, true)
	decoding := make([]*job, 0, len(e.running))
	for _, j := range e.running {
		if j.promptLeft == 0 {
			decoding = append(decoding, j)
		}
	}
	took := stepBase + time.Duration(len(e.running))*stepPerRequest +
		time.Duration(promptChunk-budget)*stepPerPromptToken
	e.eventLoop.after(time.Duration(float64(took)*e.slowdown), func() { e.complete(decoding) })
}

// prefill processes the prompts of the jobs of the given priority and returns
// the remaining token budget.
func (e *engine) prefill(budget int, lowPriority bool) int {
	for _, j := range e.running {
		if j.lowPriority != lowPriority {
			continue
		}
		part := min(budget, j.promptLeft)
		j.promptLeft -= part
		budget -= part
	}
	return budget
}

func (e *engine) admit(j *job) {
	j.promptLeft = j.prompt
	if e.cache.Contains(j.prefix) {
		j.promptLeft = max(1, j.prompt-j.shared)
	}
	e.cache.Add(j.prefix, struct{}{})
	e.running = append(e.running, j)
}

// complete ends a step: each job that was decoding gets a token.
func (e *engine) complete(decoding []*job) {
	if e.down {
		return
	}
	for _, j := range decoding {
		e.emitToken(j)
	}
	if e.idle() <= 0 {
		e.lastFull = e.eventLoop.now
	}
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.generated >= j.tokens })
	e.step()
}

func (e *engine) emitToken(j *job) {
	now := e.eventLoop.now
	j.generated++
	inWindow := e.window.contains(now)
	if inWindow {
		j.windowWork++
	}
	if j.generated == 1 {
		j.first = now
		if inWindow {
			j.windowWork += promptCost * float64(j.prompt)
		}
		e.observer.firstToken(j)
	} else {
		j.gaps++
		if now-j.lastToken > maxGap {
			j.lateGaps++
		}
	}
	j.lastToken = now
	switch {
	case j.generated >= j.tokens:
		e.observer.finish(j)
	case j.generated >= schedule.NextProgress(j.reported):
		j.reported = j.generated
		e.observer.progress(j)
	}
}

// fail takes the engine down and returns its jobs.
func (e *engine) fail() []*job {
	lost := slices.Concat(e.running, e.waiting)
	e.down = true
	e.running, e.waiting = nil, nil
	return lost
}
