package schedule

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// predictQuantile is the quantile of generated tokens that counts as cost.
	predictQuantile = 0.6
	// firstTokenQuantile is the quantile of the time to first token that is
	// kept back from the deadline of a waiting request.
	firstTokenQuantile = 0.95
	// reviewInterval is the time between reviews of the groups' health.
	reviewInterval = 500 * time.Millisecond
	// maxSetAside bounds the tickets that are passed over in one round because
	// the groups with room are ones they must avoid.
	maxSetAside = 4
)

// shard schedules the requests of one model under one lock.
type shard struct {
	mu        sync.Mutex
	config    Config
	queue     *fairQueue
	predictor *predictor
	chooser   chooser
	groups    map[string]*groupState
	list      []*groupState
	rate      slotRate
	// costs is the distribution of the cost of finished requests.
	costs distribution
	// firstTokens holds milliseconds from dispatch to first token by class.
	firstTokens [classes]distribution
	// slots is the sum over groups of the larger of budget and requests in
	// flight.
	slots       int
	running     int
	longRunning int
	reviewed    time.Time
	shares      map[string]float64
}

func newShard(c Config, shares map[string]float64, seed uint64) *shard {
	return &shard{
		config:    c,
		queue:     newFairQueue(),
		predictor: newPredictor(),
		chooser: chooser{
			limits: c.limits(),
			random: rand.New(rand.NewPCG(seed, 0)),
		},
		groups: make(map[string]*groupState),
		shares: shares,
	}
}

// setGroups replaces the groups of the model. Groups that stay keep what was
// learnt of them.
func (s *shard) setGroups(groups []Group, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]*groupState, len(groups))
	s.list = s.list[:0]
	var local []*groupState
	for _, group := range groups {
		g := s.groups[group.ID]
		if g == nil {
			g = &groupState{openAt: -1, health: health{weight: 1}}
		}
		resized := g.Slots != group.Slots || g.Shared != group.Shared
		g.Group = group
		g.local = group.FailureDomain == s.config.FailureDomain
		if resized {
			g.assume(s.chooser.limits, s.chooser.random)
		}
		seen[group.ID] = g
		s.list = append(s.list, g)
		if g.local {
			local = append(local, g)
		}
	}
	for id, g := range s.groups {
		if seen[id] == nil {
			g.retired = true
			s.chooser.refresh(g)
		}
	}
	s.groups = seen
	s.chooser.prefix.reset(local)
	s.refreshAll()
	s.dispatch(now)
}

func (s *shard) refreshAll() {
	s.slots = 0
	for _, g := range s.list {
		s.slots += max(g.budget, g.running)
		s.chooser.refresh(g)
	}
}

// update changes a group and keeps the sums over all groups right.
func (s *shard) update(g *groupState, change func()) {
	before := max(g.budget, g.running)
	change()
	if !g.retired {
		s.slots += max(g.budget, g.running) - before
	}
	s.chooser.refresh(g)
}

func (s *shard) observe(r Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[r.Group]
	if g == nil {
		return
	}
	s.update(g, func() { g.observe(r, s.chooser.limits, s.chooser.random) })
	s.dispatch(now)
}

// submit queues a request or refuses it.
func (s *shard) submit(r Request, now time.Time) (*Ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.list) == 0 {
		return nil, &Refusal{Reason: ReasonNoGroup, RetryAfter: s.retryAfter(s.config.NoGroupRetry)}
	}
	t := s.newTicket(r, now)
	if t.queue.len() >= s.config.MaxWaiting {
		return nil, &Refusal{Reason: ReasonQueueFull, RetryAfter: s.retryAfter(s.expectedWait(t))}
	}
	wait := s.expectedWait(t)
	patience := t.dispatchBy.Sub(now)
	if patience < 0 || wait > scale(patience, s.config.AdmitSlack) {
		return nil, &Refusal{Reason: ReasonLate, RetryAfter: s.retryAfter(wait - patience)}
	}
	s.queue.push(t)
	s.dispatch(now)
	return t, nil
}

func (s *shard) newTicket(r Request, now time.Time) *Ticket {
	if r.Notify == nil {
		r.Notify = func(Decision) {}
	}
	typical := max(1, s.costs.quantile(0.5))
	tokens := s.predictor.predict(&r, typical)
	cost := tokens + float64(r.PromptTokens)*s.config.PromptCost
	t := &Ticket{request: r, shard: s, predicted: cost, index: -1}
	if s.costs.total >= minSamples && cost > typical*s.config.LongFactor {
		t.class = classLong
	}
	t.bucket = min(costBuckets-1, bucketOf(cost)/bucketsPerOctave)
	t.order = now.Add(scale(s.config.AgeingDelay, cost/typical))
	due := r.FirstTokenBy
	if due.IsZero() {
		due = now.Add(s.config.FirstToken)
	}
	t.dispatchBy = due.Add(-s.firstTokenTime(t.class))
	t.queue = s.queueOf(r.Workspace)
	return t
}

// firstTokenTime is the time to keep back for the engine, at most half the
// objective.
func (s *shard) firstTokenTime(c class) time.Duration {
	ms := s.firstTokens[c].quantile(firstTokenQuantile)
	return min(time.Duration(ms)*time.Millisecond, s.config.FirstToken/2)
}

func (s *shard) queueOf(workspace string) *workspaceQueue {
	q := s.queue.byName[workspace]
	if q == nil {
		q = newWorkspaceQueue(workspace, s.shareOf(workspace))
		s.queue.byName[workspace] = q
	}
	return q
}

func (s *shard) shareOf(workspace string) float64 {
	if share := s.shares[workspace]; share > 0 {
		return share
	}
	return 1
}

// setShares replaces the shares of the workspaces.
func (s *shard) setShares(shares map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares = shares
	s.queue.activeShares = 0
	for name, q := range s.queue.byName {
		q.share = s.shareOf(name)
		if q.len() > 0 {
			s.queue.activeShares += q.share
		}
	}
}

// dispatch hands out free slots until none is left or nothing waits.
func (s *shard) dispatch(now time.Time) {
	allowed := [classes]bool{true, true}
	var aside []*Ticket
	for {
		t := s.queue.peek(allowed)
		if t == nil {
			break
		}
		if t.dispatchBy.Before(now) {
			s.refuseLate(t, now)
			continue
		}
		if g := s.chooser.choose(t, s.queue.waiting[classShort] > 0); g != nil {
			s.start(t, g, now)
			continue
		}
		if len(t.request.Avoid) == 0 || len(aside) == maxSetAside {
			allowed[t.class] = false
			continue
		}
		s.queue.remove(t)
		aside = append(aside, t)
	}
	for _, t := range aside {
		s.queue.push(t)
	}
}

func (s *shard) refuseLate(t *Ticket, now time.Time) {
	s.queue.remove(t)
	t.state = ticketDone
	wait := s.expectedWait(t) - t.dispatchBy.Sub(now)
	refusal := &Refusal{Reason: ReasonLate, RetryAfter: s.retryAfter(wait)}
	t.request.Notify(Decision{Ticket: t, Refusal: refusal})
}

func (s *shard) start(t *Ticket, g *groupState, now time.Time) {
	s.queue.remove(t)
	s.queue.served(t.queue)
	t.charged = min(t.predicted, s.quantum())
	s.queue.charge(t.queue, t.charged)
	t.state = ticketRunning
	t.group = g
	t.dispatchedAt = now
	t.progressAt = now
	t.queue.running++
	s.running++
	if t.class == classLong {
		s.longRunning++
	}
	s.update(g, func() { g.started(t.class, now) })
	t.request.Notify(Decision{Ticket: t, Group: g.ID, Long: t.class == classLong})
}

// quantum bounds the cost that is charged before it has been used, so that one
// long request does not lock its workspace out.
func (s *shard) quantum() float64 {
	return max(1, s.costs.quantile(0.5)) * s.config.LongFactor
}

// firstToken records that a running request has sent its first token.
func (s *shard) firstToken(t *Ticket, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != ticketRunning || t.tokens > 0 {
		return
	}
	spent := now.Sub(t.dispatchedAt)
	s.firstTokens[t.class].add(float64(spent.Milliseconds()))
	if t.class == classShort {
		t.group.health.observeFirstToken(spent)
	}
	cost := 1 + float64(t.request.PromptTokens)*s.config.PromptCost
	s.rate.add(cost, spent, now)
	t.tokens = 1
	t.progressAt = now
}

// progress records the number of tokens sent so far.
func (s *shard) progress(t *Ticket, tokens int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != ticketRunning {
		return
	}
	s.advance(t, tokens, now)
	s.reclassify(t)
}

func (s *shard) advance(t *Ticket, tokens int, now time.Time) {
	made := tokens - t.tokens
	if made <= 0 {
		return
	}
	spent := now.Sub(t.progressAt)
	if t.tokens > 0 {
		t.group.health.observePace(spent / time.Duration(made))
	}
	s.rate.add(float64(made), spent, now)
	t.tokens = tokens
	t.progressAt = now
	if used := s.used(t); used > t.charged {
		s.queue.charge(t.queue, used-t.charged)
		t.charged = used
	}
}

func (s *shard) used(t *Ticket) float64 {
	return float64(t.tokens) + float64(t.request.PromptTokens)*s.config.PromptCost
}

// reclassify counts a request as long once it has outlived its prediction, so
// that the cap on long work holds for it too.
func (s *shard) reclassify(t *Ticket) {
	if t.class == classLong || s.costs.total < minSamples || s.used(t) <= s.quantum() {
		return
	}
	t.class = classLong
	t.group.longRunning++
	s.longRunning++
}

// finish ends a running request and frees its slot.
func (s *shard) finish(t *Ticket, tokens int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != ticketRunning {
		return
	}
	s.advance(t, tokens, now)
	s.predictor.learn(&t.request, tokens)
	s.costs.add(s.used(t))
	s.release(t, now)
}

// cancel ends a ticket whose request will not complete.
func (s *shard) cancel(t *Ticket, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch t.state {
	case ticketWaiting:
		s.queue.remove(t)
		t.state = ticketDone
	case ticketRunning:
		s.release(t, now)
	case ticketDone:
	}
}

func (s *shard) release(t *Ticket, now time.Time) {
	t.state = ticketDone
	s.queue.charge(t.queue, s.used(t)-t.charged)
	t.queue.running--
	s.running--
	if t.class == classLong {
		s.longRunning--
	}
	s.update(t.group, func() { t.group.finished(t.class, now) })
	s.dispatch(now)
}

// tick refuses what has waited too long and reviews the groups.
func (s *shard) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.queue.overdue(now) {
		s.refuseLate(t, now)
	}
	if now.Sub(s.reviewed) >= reviewInterval {
		s.reviewed = now
		s.review(now)
	}
	s.dispatch(now)
}

func (s *shard) review(now time.Time) {
	changed := reviewHealth(s.list)
	s.chooser.probe = nil
	for _, g := range s.list {
		if changed || now.Sub(g.reported) > s.config.ReportTTL {
			s.update(g, func() { s.reassess(g, now) })
		}
		if g.local && g.health.weight < 1 && g.running == 0 {
			s.chooser.probe = g
		}
	}
}

// reassess sets the budget of a group anew between reports.
func (s *shard) reassess(g *groupState, now time.Time) {
	if now.Sub(g.reported) > s.config.ReportTTL {
		g.assume(s.chooser.limits, s.chooser.random)
		return
	}
	own := float64(g.running)
	g.setBudget(own, own+g.others, s.chooser.limits, s.chooser.random)
}
