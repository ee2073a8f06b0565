package schedule

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// predictQuantile is the quantile of generated tokens used as the predicted
	// length.
	predictQuantile = 0.6
	// firstTokenQuantile is the quantile of the engine time to first token that
	// is subtracted from the deadline of a waiting request.
	firstTokenQuantile = 0.98
	// reviewInterval is the time between health reviews of the groups.
	reviewInterval = 500 * time.Millisecond
	// maxEngineTimeFraction limits the engine time subtracted from the
	// deadline, as a fraction of the objective.
	maxEngineTimeFraction = 0.9
	// infeasibleFraction is the fraction of the time left until the first-token
	// deadline. If the median engine time exceeds it, a busy group cannot meet
	// the deadline.
	infeasibleFraction = 0.8
	// promptSizes is the number of prompt size classes, one per binary order of
	// magnitude.
	promptSizes = distributionSize / bucketsPerOctave
	// creditQuanta is the service that an idle workspace may accumulate, in
	// quanta per unit of share.
	creditQuanta = 4
	// maxSkipped limits the tickets skipped in one round because they must
	// avoid the groups that are open.
	maxSkipped = 4
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
	// medianCost is the median of costs, at least one; it may lag by a few
	// samples.
	medianCost float64
	// firstTokens holds distributions of the milliseconds from dispatch to
	// first token, indexed by promptSize.
	firstTokens [promptSizes]distribution
	// slots is the sum over groups of the larger of budget and requests in
	// flight.
	slots       int
	running     int
	longRunning int
	reviewedAt  time.Time
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
		groups:     make(map[string]*groupState),
		shares:     shares,
		medianCost: 1,
	}
}

// setGroups replaces the groups of the model. Groups that remain keep their
// state.
func (s *shard) setGroups(groups []Group, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]*groupState, len(groups))
	s.list = s.list[:0]
	var local []*groupState
	for _, group := range groups {
		g := s.groups[group.ID]
		if g == nil {
			g = &groupState{openIndex: -1, health: health{weight: 1}, budget: 1, firstSeen: now}
		}
		resized := g.Slots != group.Slots || g.Schedulers != group.Schedulers
		g.Group = group
		g.local = group.FailureDomain == s.config.FailureDomain
		if resized {
			s.recomputeBudget(g, now)
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

// update changes a group and keeps the slot sum and the open sets consistent.
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
		return nil, &Refusal{Reason: ReasonNoGroup, RetryAfter: s.config.NoGroupRetry}
	}
	t := s.newTicket(r, now)
	if t.queue.len() >= s.config.MaxWaiting {
		return nil, &Refusal{Reason: ReasonQueueFull, RetryAfter: s.retryAfter(t.queue, s.expectedWait(t), now)}
	}
	wait := s.expectedWait(t)
	acceptableWait := t.dispatchBy.Sub(now)
	if acceptableWait < 0 || wait > scale(acceptableWait, s.config.AdmitSlack) {
		return nil, &Refusal{Reason: ReasonLate, RetryAfter: s.retryAfter(t.queue, wait-acceptableWait, now)}
	}
	s.queue.credit = creditQuanta * s.quantum()
	s.queue.push(t)
	s.dispatch(now)
	return t, nil
}

func (s *shard) newTicket(r Request, now time.Time) *Ticket {
	if r.Notify == nil {
		r.Notify = func(Decision) {}
	}
	medianCost := s.medianCost
	tokens := s.predictor.predict(&r, medianCost)
	cost := tokens + float64(r.PromptTokens)*s.config.PromptCost
	t := &Ticket{request: r, shard: s, predicted: cost, heapIndex: -1}
	if s.isLong(cost, medianCost) || r.PromptTokens >= maxPendingPrompt {
		t.class = classLong
	}
	t.bucket = min(costBuckets-1, bucketOf(cost)/bucketsPerOctave)
	t.orderKey = now.UnixNano() + int64(scale(s.config.AgeingDelay, cost/medianCost))
	deadline := r.FirstTokenBy
	if deadline.IsZero() {
		deadline = now.Add(s.config.FirstToken)
	}
	t.dispatchBy = deadline.Add(-s.firstTokenTime(&r))
	t.infeasible = s.engineTime(promptSize(&r), 0.5) > scale(deadline.Sub(now), infeasibleFraction)
	t.queue = s.queueFor(r.Workspace)
	return t
}

// isLong reports whether a cost is long relative to the median cost.
func (s *shard) isLong(cost, medianCost float64) bool {
	return s.costs.total >= minSamples && cost > medianCost*s.config.LongFactor
}

// firstTokenTime returns the engine time to reserve before the deadline. The
// limit leaves some queueing time even to requests that an idle engine cannot
// serve in time.
func (s *shard) firstTokenTime(r *Request) time.Duration {
	expected := s.engineTime(promptSize(r), firstTokenQuantile)
	return min(expected, scale(s.config.FirstToken, maxEngineTimeFraction))
}

// engineTime returns a quantile of the time from dispatch to first token. Sizes
// without samples are extrapolated from the next smaller size with samples,
// doubling per size.
func (s *shard) engineTime(size int, quantile float64) time.Duration {
	factor := 1.0
	for ; size >= 0; size-- {
		if ms := s.firstTokens[size].quantile(quantile); ms > 0 {
			return time.Duration(factor * ms * float64(time.Millisecond))
		}
		factor *= 2
	}
	return 0
}

func promptSize(r *Request) int {
	return bucketOf(float64(r.PromptTokens)) / bucketsPerOctave
}

func (s *shard) queueFor(workspace string) *workspaceQueue {
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

// dispatch assigns waiting tickets to open groups until no ticket or no group
// is left.
func (s *shard) dispatch(now time.Time) {
	allowed := [classes]bool{true, true}
	var skipped []*Ticket
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
		if len(t.request.Avoid) == 0 || len(skipped) == maxSkipped {
			allowed[t.class] = false
			continue
		}
		s.queue.remove(t)
		skipped = append(skipped, t)
	}
	for _, t := range skipped {
		s.queue.push(t)
	}
}

func (s *shard) refuseLate(t *Ticket, now time.Time) {
	s.queue.remove(t)
	t.state = ticketDone
	wait := s.expectedWait(t) - t.dispatchBy.Sub(now)
	refusal := &Refusal{Reason: ReasonLate, RetryAfter: s.retryAfter(t.queue, wait, now)}
	t.request.Notify(Decision{Ticket: t, Refusal: refusal})
}

func (s *shard) start(t *Ticket, g *groupState, now time.Time) {
	s.queue.remove(t)
	s.queue.advanceTo(t.queue)
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
	if t.class == classLong {
		t.pendingPrompt = t.request.PromptTokens
		g.pendingPrompt += t.pendingPrompt
	}
	s.update(g, func() { g.recordStart(t.class, now) })
	t.request.Notify(Decision{Ticket: t, Group: g.ID, Long: t.class == classLong})
}

// quantum returns the limit on cost charged in advance, so that one long
// request does not block its workspace.
func (s *shard) quantum() float64 {
	return s.medianCost * s.config.LongFactor
}

// tick refuses tickets whose deadline has passed and reviews the groups.
func (s *shard) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.queue.overdue(now) {
		s.refuseLate(t, now)
	}
	if now.Sub(s.reviewedAt) >= reviewInterval {
		s.reviewedAt = now
		s.review(now)
	}
	s.dispatch(now)
}

func (s *shard) review(now time.Time) {
	changed := reviewHealth(s.list)
	s.chooser.probe = nil
	for _, g := range s.list {
		if changed || now.Sub(g.reportedAt) > s.config.ReportTTL {
			s.update(g, func() { s.recomputeBudget(g, now) })
		}
		if g.local && g.health.weight < 1 && g.running == 0 {
			s.chooser.probe = g
		}
	}
}

// recomputeBudget recomputes the budget of a group between reports.
func (s *shard) recomputeBudget(g *groupState, now time.Time) {
	switch {
	case now.Sub(g.reportedAt) <= s.config.ReportTTL:
		own := float64(g.running)
		g.setBudget(own, own+g.otherRequests, s.chooser.limits, s.chooser.random)
	case now.Sub(g.firstSeen) >= firstReportTimeout:
		g.assumeEqualShare(s.chooser.limits, s.chooser.random)
	}
}
