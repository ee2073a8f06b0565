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
	firstTokenQuantile = 0.98
	// reviewInterval is the time between reviews of the groups' health.
	reviewInterval = 500 * time.Millisecond
	// maxReserve bounds the time that is kept back, as a part of the objective.
	maxReserve = 0.9
	// hopelessPart is the part of the time to the due first token that an engine
	// usually takes from which a request cannot be in time at a busy group.
	hopelessPart = 0.8
	// promptSizes is the number of classes of prompts, one for each binary order
	// of magnitude.
	promptSizes = distributionSize / bucketsPerOctave
	// creditQuanta is the service, in quanta for each unit of share, that an idle
	// workspace may save up.
	creditQuanta = 4
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
	// typical is the median of costs, at least one, as of the last few samples.
	typical float64
	// firstTokens holds milliseconds from dispatch to first token, by promptSize.
	firstTokens [promptSizes]distribution
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
		groups:  make(map[string]*groupState),
		shares:  shares,
		typical: 1,
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
			g = &groupState{openAt: -1, health: health{weight: 1}, budget: 1, since: now}
		}
		resized := g.Slots != group.Slots || g.Schedulers != group.Schedulers
		g.Group = group
		g.local = group.FailureDomain == s.config.FailureDomain
		if resized {
			s.reassess(g, now)
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
		return nil, &Refusal{Reason: ReasonNoGroup, RetryAfter: s.config.NoGroupRetry}
	}
	t := s.newTicket(r, now)
	if t.queue.len() >= s.config.MaxWaiting {
		return nil, &Refusal{Reason: ReasonQueueFull, RetryAfter: s.retryAfter(t.queue, s.expectedWait(t), now)}
	}
	wait := s.expectedWait(t)
	patience := t.dispatchBy.Sub(now)
	if patience < 0 || wait > scale(patience, s.config.AdmitSlack) {
		return nil, &Refusal{Reason: ReasonLate, RetryAfter: s.retryAfter(t.queue, wait-patience, now)}
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
	typical := s.typical
	tokens := s.predictor.predict(&r, typical)
	cost := tokens + float64(r.PromptTokens)*s.config.PromptCost
	t := &Ticket{request: r, shard: s, predicted: cost, index: -1}
	if s.isLong(cost, typical) || r.PromptTokens >= maxPrompting {
		t.class = classLong
	}
	t.bucket = min(costBuckets-1, bucketOf(cost)/bucketsPerOctave)
	t.order = now.UnixNano() + int64(scale(s.config.AgeingDelay, cost/typical))
	due := r.FirstTokenBy
	if due.IsZero() {
		due = now.Add(s.config.FirstToken)
	}
	t.dispatchBy = due.Add(-s.firstTokenTime(&r))
	t.hopeless = s.engineTime(promptSize(&r), 0.5) > scale(due.Sub(now), hopelessPart)
	t.queue = s.queueOf(r.Workspace)
	return t
}

// isLong tells whether a cost is long compared with the typical one.
func (s *shard) isLong(cost, typical float64) bool {
	return s.costs.total >= minSamples && cost > typical*s.config.LongFactor
}

// firstTokenTime is the time to keep back for the engine. What even an idle
// engine cannot do in time keeps a small part of its objective to wait.
func (s *shard) firstTokenTime(r *Request) time.Duration {
	usual := s.engineTime(promptSize(r), firstTokenQuantile)
	return min(usual, scale(s.config.FirstToken, maxReserve))
}

// engineTime returns a quantile of the time from dispatch to first token. For
// sizes not seen yet it is worked out from the next smaller size that was.
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
	refusal := &Refusal{Reason: ReasonLate, RetryAfter: s.retryAfter(t.queue, wait, now)}
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
	if t.class == classLong {
		t.prompting = t.request.PromptTokens
		g.prompting += t.prompting
	}
	s.update(g, func() { g.started(t.class, now) })
	t.request.Notify(Decision{Ticket: t, Group: g.ID, Long: t.class == classLong})
}

// quantum bounds the cost that is charged before it has been used, so that one
// long request does not lock its workspace out.
func (s *shard) quantum() float64 {
	return s.typical * s.config.LongFactor
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
	switch {
	case now.Sub(g.reported) <= s.config.ReportTTL:
		own := float64(g.running)
		g.setBudget(own, own+g.others, s.chooser.limits, s.chooser.random)
	case now.Sub(g.since) >= firstReportWait:
		g.assume(s.chooser.limits, s.chooser.random)
	}
}
