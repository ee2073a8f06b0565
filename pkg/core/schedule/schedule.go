// Package schedule orders requests, assigns them to replica groups and refuses
// those that cannot be served in time. It does no I/O: callers pass in events
// and the current time, and receive decisions through the Notify function of
// each request.
//
// Requests queue here rather than in the engines, so that this package controls
// their order. Workspaces share the slots by weighted fair queueing. Within a
// workspace, requests with a short predicted run time go first, and waiting
// requests gain priority with age. Long requests are limited to a fraction of
// the slots while short ones wait. Requests that cannot get their first token
// by the deadline are refused early.
//
// State is held in one shard per model, each under its own lock. Every event
// dispatches the slots that it freed, so no central scheduling loop is needed.
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
	// FailureDomain is the domain of the scheduler; groups in the same domain
	// are preferred.
	FailureDomain string
	// Seed initializes the random generators, so that runs can be repeated.
	Seed uint64
	// FirstToken is the objective for the time to first token.
	FirstToken time.Duration
	// PromptCost is the cost of a prompt token, in units of one generated
	// token.
	PromptCost float64
	// LongFactor is the multiple of the median cost above which a request
	// counts as long.
	LongFactor float64
	// LongShare is the fraction of the slots that long requests may use while
	// short ones wait, LongMaxShare the fraction while none does; both in (0,
	// 1].
	LongShare    float64
	LongMaxShare float64
	// AgeingDelay is the delay in queue order of a request of median cost
	// relative to a request without cost submitted at the same time.
	AgeingDelay time.Duration
	// AdmitSlack is the ratio of the expected wait to the longest acceptable
	// wait above which a request is refused on arrival.
	AdmitSlack float64
	// MaxWaiting limits the queued requests per workspace and model.
	MaxWaiting int
	// OvercommitRatio is the number of requests kept at a group beyond its
	// slots, as a fraction of the slots and at least one, so that no slot idles
	// for the round trip between a response and the next request; negative for
	// none.
	OvercommitRatio float64
	// RemoteReserve is the fraction of the slots of a group in another failure
	// domain that is reserved for that domain.
	RemoteReserve float64
	// MinShare is the fraction of an equal share of a group that a scheduler
	// keeps even when reports say that the group is full.
	MinShare float64
	// ReportTTL is the age at which a load report expires.
	ReportTTL time.Duration
	// PrefixLoadBound is the load, as a fraction of the slots, up to which a
	// request is routed by its prefix.
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

// Workspace sets the weight of a workspace in fair queueing.
type Workspace struct {
	Name string
	// Share is the weight; above zero.
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

// SetWorkspaces replaces the shares. A workspace that is not listed has a share
// of one.
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

// SetGroups replaces the serving groups. Requests in flight at a removed group
// are not ended; their owners must cancel or finish them.
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
		s.shardFor(model).setGroups(list, now)
	}
}

// ObserveLoad applies a load report of a group.
func (s *Scheduler) ObserveLoad(r Report, now time.Time) {
	if sh := s.find(r.Model); sh != nil {
		sh.observe(r, now)
	}
}

// Submit queues a request. Notify may be called before Submit returns. A
// request refused on arrival returns a *Refusal and Notify is not called.
func (s *Scheduler) Submit(r Request, now time.Time) (*Ticket, error) {
	sh := s.find(r.Model)
	if sh == nil {
		return nil, &Refusal{Reason: ReasonNoGroup, RetryAfter: s.config.NoGroupRetry}
	}
	return sh.submit(r, now)
}

// FirstToken records that a dispatched request has produced its first token.
func (s *Scheduler) FirstToken(t *Ticket, now time.Time) {
	t.shard.firstToken(t, now)
}

// Progress records how many tokens a dispatched request has produced so far.
// Calling it at the token counts returned by NextProgress is sufficient.
func (s *Scheduler) Progress(t *Ticket, tokens int, now time.Time) {
	t.shard.progress(t, tokens, now)
}

// Bounds on the number of tokens between two calls of Progress.
const (
	minProgress = 16
	maxProgress = 256
)

// NextProgress returns the token count at which to call Progress next, given
// the count at the last call. The steps double up to a limit: slow and long
// requests are detected early, and long ones need few calls.
func NextProgress(last int) int {
	return last + min(max(last, minProgress), maxProgress)
}

// Finish ends a dispatched request that completed with the given number of
// tokens.
func (s *Scheduler) Finish(t *Ticket, tokens int, now time.Time) {
	t.shard.finish(t, tokens, now)
}

// Cancel ends a waiting or dispatched ticket whose request does not complete.
// It has no effect on a ticket that has ended.
func (s *Scheduler) Cancel(t *Ticket, now time.Time) {
	t.shard.cancel(t, now)
}

// Tick refuses requests whose deadline has passed and reviews the health of the
// groups. Call it about every 50 ms.
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

func (s *Scheduler) shardFor(model string) *shard {
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
