// Package schedule decides which request runs next, on which replica group, and
// which request is refused. It does no I/O: events and the time go in, decisions
// come out through the Notify function of each request.
//
// Requests wait here rather than in an engine's own queue, so that the order is
// decided here. Workspaces share the slots by weighted fair queueing; inside a
// workspace, work that is predicted to be short goes first, and waiting work
// ages. Long work is held to a part of the slots while short work waits. What
// cannot get its first token in time is refused early.
//
// State is kept in one shard for each model, each under its own lock; every
// event hands out the slots that it has freed, so there is no common loop.
package schedule

import (
	"maps"
	"sync"
	"time"
)

// DefaultFirstToken is the default objective for the time to first token.
const DefaultFirstToken = 2 * time.Second

// Config configures a Scheduler. Zero values take the defaults.
type Config struct {
	// FailureDomain is where the scheduler runs; groups there come first.
	FailureDomain string
	// Seed makes random choices repeatable.
	Seed uint64
	// FirstToken is the objective for the time to first token.
	FirstToken time.Duration
	// PromptCost is the cost of a prompt token in generated tokens.
	PromptCost float64
	// LongFactor is the multiple of the median cost from which work is long.
	LongFactor float64
	// LongShare is the part of the slots that long work may hold while short
	// work waits, LongMaxShare the part while none does; in (0, 1].
	LongShare    float64
	LongMaxShare float64
	// AgeingDelay is how much later than a request of no cost, sent at the same
	// time, one of median cost takes its turn.
	AgeingDelay time.Duration
	// AdmitSlack is the ratio of the expected wait to the longest acceptable one
	// above which a request is refused at once.
	AdmitSlack float64
	// MaxWaiting bounds the waiting requests of one workspace and model.
	MaxWaiting int
	// OvercommitRatio is the number of requests kept at a group above its slots, as a
	// part of the slots and at least one, so that no slot is idle while an
	// answer and a new request travel; negative for none.
	OvercommitRatio float64
	// RemoteReserve is the part of the slots of a group in another failure
	// domain that is left to that domain.
	RemoteReserve float64
	// MinShare is the part of an equal share of a group that a scheduler keeps
	// even if reports say the group is full.
	MinShare float64
	// ReportTTL is the age from which a report is no longer used.
	ReportTTL time.Duration
	// PrefixLoadBound is the load up to which a request follows its prefix, as a
	// fraction of the slots.
	PrefixLoadBound float64
	// NoGroupRetry is the Retry-After while no group serves the model.
	NoGroupRetry time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.FirstToken, DefaultFirstToken)
	setDefault(&c.PromptCost, 0.03)
	setDefault(&c.LongFactor, 6)
	setDefault(&c.LongShare, 0.5)
	setDefault(&c.LongMaxShare, 0.75)
	setDefault(&c.AgeingDelay, 200*time.Millisecond)
	setDefault(&c.AdmitSlack, 1.5)
	setDefault(&c.MaxWaiting, 4096)
	setDefault(&c.OvercommitRatio, 1.0/16)
	setDefault(&c.RemoteReserve, 0.1)
	setDefault(&c.MinShare, 0.5)
	setDefault(&c.ReportTTL, 6*time.Second)
	setDefault(&c.PrefixLoadBound, 1)
	setDefault(&c.NoGroupRetry, 5*time.Second)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c Config) limits() limits {
	return limits{
		overcommitRatio: c.OvercommitRatio,
		remoteReserve:   c.RemoteReserve,
		minShare:        c.MinShare,
		longShare:       c.LongShare,
		longMaxShare:    c.LongMaxShare,
		prefixLoadBound: c.PrefixLoadBound,
	}
}

// Workspace gives the weight of a workspace in fair queueing.
type Workspace struct {
	Name string
	// Share is above zero.
	Share float64
}

// Scheduler schedules requests for all models. It is safe for concurrent use.
type Scheduler struct {
	config Config

	mu     sync.RWMutex
	shards map[string]*shard
	shares map[string]float64
}

// New returns a scheduler without groups.
func New(c Config) *Scheduler {
	return &Scheduler{config: c.withDefaults(), shards: make(map[string]*shard)}
}

// SetWorkspaces replaces the shares; a workspace not listed has share one.
func (s *Scheduler) SetWorkspaces(workspaces []Workspace) {
	shares := make(map[string]float64, len(workspaces))
	for _, w := range workspaces {
		shares[w.Name] = w.Share
	}
	s.mu.Lock()
	s.shares = shares
	s.mu.Unlock()
	for _, sh := range s.all() {
		sh.setShares(shares)
	}
}

// SetGroups replaces the groups that serve. Requests in flight at a group that
// has gone are left to their owners, who cancel or finish them.
func (s *Scheduler) SetGroups(groups []Group, now time.Time) {
	byModel := make(map[string][]Group)
	for _, g := range groups {
		byModel[g.Model] = append(byModel[g.Model], g)
	}
	for model, sh := range s.all() {
		if _, ok := byModel[model]; !ok {
			sh.setGroups(nil, now)
		}
	}
	for model, list := range byModel {
		s.shardOf(model).setGroups(list, now)
	}
}

// ObserveLoad takes in the load that a group has reported.
func (s *Scheduler) ObserveLoad(r Report, now time.Time) {
	if sh := s.find(r.Model); sh != nil {
		sh.observe(r, now)
	}
}

// Submit queues a request. Its decision may come before Submit returns. A
// request that is refused at once gives a *Refusal.
func (s *Scheduler) Submit(r Request, now time.Time) (*Ticket, error) {
	sh := s.find(r.Model)
	if sh == nil {
		return nil, &Refusal{Reason: ReasonNoGroup, RetryAfter: s.config.NoGroupRetry}
	}
	return sh.submit(r, now)
}

// FirstToken records that a dispatched request has sent its first token.
func (s *Scheduler) FirstToken(t *Ticket, now time.Time) {
	t.shard.firstToken(t, now)
}

// Progress records how many tokens a dispatched request has sent so far. It is
// enough to call it at the numbers of tokens that NextProgress gives.
func (s *Scheduler) Progress(t *Ticket, tokens int, now time.Time) {
	t.shard.progress(t, tokens, now)
}

// Bounds of the number of tokens between two calls of Progress.
const (
	minProgress = 16
	maxProgress = 256
)

// NextProgress returns at how many tokens Progress is to be called next after it
// was called at the given number. The steps double up to a bound: a request is
// soon seen to be slow or long, and one that is long takes few calls.
func NextProgress(last int) int {
	return last + min(max(last, minProgress), maxProgress)
}

// Finish ends a dispatched request that completed with that many tokens.
func (s *Scheduler) Finish(t *Ticket, tokens int, now time.Time) {
	t.shard.finish(t, tokens, now)
}

// Cancel ends a ticket, waiting or dispatched, whose request does not complete.
// It has no effect on a ticket that has ended.
func (s *Scheduler) Cancel(t *Ticket, now time.Time) {
	t.shard.cancel(t, now)
}

// Tick refuses requests whose time has run out and reviews the groups. It is to
// be called about every 50 ms.
func (s *Scheduler) Tick(now time.Time) {
	for _, sh := range s.all() {
		sh.tick(now)
	}
}

func (s *Scheduler) all() map[string]*shard {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.shards)
}

func (s *Scheduler) find(model string) *shard {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.shards[model]
}

func (s *Scheduler) shardOf(model string) *shard {
	if sh := s.find(model); sh != nil {
		return sh
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if sh := s.shards[model]; sh != nil {
		return sh
	}
	sh := newShard(s.config, s.shares, mix(s.config.Seed^hashString(model)))
	s.shards[model] = sh
	return sh
}
