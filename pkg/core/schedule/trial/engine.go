package trial

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"almondbay.example/core/schedule"
)

const (
	engineSlots = 32
	// The time of one step of a batch is stepBase, stepPerRequest for each
	// request in it and stepPerPromptToken for each prompt token worked on, of
	// which there are at most promptChunk.
	stepBase           = 18 * time.Millisecond
	stepPerRequest     = 300 * time.Microsecond
	stepPerPromptToken = 25 * time.Microsecond
	promptChunk        = 512
	// cachedPrefixes is the number of prefixes that an engine remembers.
	cachedPrefixes = 32
	// maxGap is the objective for the time between tokens.
	maxGap = 45 * time.Millisecond
	// unusedAfter is how long a slot is free before a refusal counts as wrong.
	unusedAfter = 50 * time.Millisecond
)

// job is one request on its way.
type job struct {
	*request
	node int
	// attempt grows with every dispatch; events of older attempts are dropped.
	attempt int
	avoid   []string
	// yields is set when the engine is asked to put the job behind others.
	yields bool

	// prompting is the number of prompt tokens still to work on.
	prompting int
	made      int
	// noted is the number of tokens at the last progress.
	noted     int
	lastToken time.Duration
	first     time.Duration
	gaps      int
	lateGaps  int
	// windowWork is the work done within the measured window.
	windowWork float64
	outcome    outcome
}

// outcome is how a job ended.
type outcome int

const (
	pending outcome = iota
	finished
	refused
	wronglyRefused
	gaveUp
	failed
)

// sink hears what happens to jobs at an engine.
type sink interface {
	firstToken(*job)
	progress(*job)
	finish(*job)
}

// engine is a fake replica group that batches continuously.
type engine struct {
	id     string
	index  int
	domain int
	loop   *loop
	sink   sink
	window window

	running []*job
	waiting []*job
	cache   *simplelru.LRU[uint64, struct{}]
	busy    bool
	// fullAt is when no slot was free last.
	fullAt time.Duration
	dark   bool
	// slowness multiplies the time of each step; one when healthy.
	slowness float64
	// lie replaces the reported number of requests unless negative.
	lie int
}

// window is the time that goodput is measured in.
type window struct {
	from, to time.Duration
}

func (w window) contains(at time.Duration) bool {
	return at >= w.from && at < w.to
}

func newEngine(id string, domain int, l *loop, w window) *engine {
	cache, err := simplelru.NewLRU[uint64, struct{}](cachedPrefixes, nil)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &engine{id: id, domain: domain, loop: l, window: w, cache: cache, slowness: 1, lie: -1}
}

// idle returns the number of free slots.
func (e *engine) idle() int {
	return engineSlots - len(e.running) - len(e.waiting)
}

// unused tells whether a slot has been free for longer than a slot usually is
// between two requests.
func (e *engine) unused() bool {
	return !e.dark && e.idle() > 0 && e.loop.now-e.fullAt > unusedAfter
}

// enqueue takes a job in.
func (e *engine) enqueue(j *job) {
	e.waiting = append(e.waiting, j)
	if !e.busy {
		e.step()
	}
}

// abandon drops a job that has not started.
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
	if len(e.running) == 0 || e.dark {
		e.busy = false
		return
	}
	e.busy = true
	budget := e.prompt(promptChunk, false)
	budget = e.prompt(budget, true)
	worked := make([]*job, 0, len(e.running))
	for _, j := range e.running {
		if j.prompting == 0 {
			worked = append(worked, j)
		}
	}
	took := stepBase + time.Duration(len(e.running))*stepPerRequest +
		time.Duration(promptChunk-budget)*stepPerPromptToken
	e.loop.after(time.Duration(float64(took)*e.slowness), func() { e.complete(worked) })
}

// prompt works on the prompts of the jobs that yield or of those that do not,
// and returns what is left of the budget of tokens.
func (e *engine) prompt(budget int, yielding bool) int {
	for _, j := range e.running {
		if j.yields != yielding {
			continue
		}
		part := min(budget, j.prompting)
		j.prompting -= part
		budget -= part
	}
	return budget
}

func (e *engine) admit(j *job) {
	j.prompting = j.prompt
	if e.cache.Contains(j.prefix) {
		j.prompting = max(1, j.prompt-j.shared)
	}
	e.cache.Add(j.prefix, struct{}{})
	e.running = append(e.running, j)
}

// complete gives a token to each job whose prompt is done.
func (e *engine) complete(worked []*job) {
	if e.dark {
		return
	}
	for _, j := range worked {
		e.token(j)
	}
	if e.idle() <= 0 {
		e.fullAt = e.loop.now
	}
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.made >= j.tokens })
	e.step()
}

func (e *engine) token(j *job) {
	now := e.loop.now
	j.made++
	inWindow := e.window.contains(now)
	if inWindow {
		j.windowWork++
	}
	if j.made == 1 {
		j.first = now
		if inWindow {
			j.windowWork += promptCost * float64(j.prompt)
		}
		e.sink.firstToken(j)
	} else {
		j.gaps++
		if now-j.lastToken > maxGap {
			j.lateGaps++
		}
	}
	j.lastToken = now
	switch {
	case j.made >= j.tokens:
		e.sink.finish(j)
	case j.made >= schedule.NextProgress(j.noted):
		j.noted = j.made
		e.sink.progress(j)
	}
}

// fail makes the engine go dark and returns the jobs that it had.
func (e *engine) fail() []*job {
	lost := slices.Concat(e.running, e.waiting)
	e.dark = true
	e.running, e.waiting = nil, nil
	return lost
}
