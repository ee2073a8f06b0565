package schedule

import "time"

// overrunFactor is the length learned for a request when it becomes long, as a
// multiple of its length so far.
const overrunFactor = 2

// medianInterval is the number of samples between updates of the median cost.
const medianInterval = 8

// firstToken records the first token of a running request.
func (s *shard) firstToken(t *Ticket, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != ticketRunning || t.tokens > 0 {
		return
	}
	spent := now.Sub(t.dispatchedAt)
	s.firstTokens[promptSize(&t.request)].add(float64(spent.Milliseconds()))
	s.clearPendingPrompt(t)
	if t.class == classShort {
		t.group.health.observeFirstToken(spent)
	}
	cost := 1 + float64(t.request.PromptTokens)*s.config.PromptCost
	s.rate.add(cost, spent, now)
	t.tokens = 1
	t.progressAt = now
	s.dispatch(now)
}

// clearPendingPrompt removes the prompt of a request from the pending prompt
// tokens of its group.
func (s *shard) clearPendingPrompt(t *Ticket) {
	t.group.pendingPrompt -= t.pendingPrompt
	t.pendingPrompt = 0
}

// progress records the number of tokens produced so far.
func (s *shard) progress(t *Ticket, tokens int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != ticketRunning {
		return
	}
	if t.tokens == 0 {
		return // The first token must be recorded first.
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
		t.group.health.observeTokenInterval(spent / time.Duration(made))
	}
	s.rate.add(float64(made), spent, now)
	t.tokens = tokens
	t.progressAt = now
	if used := s.costOf(t); used > t.charged {
		s.queue.charge(t.queue, used-t.charged)
		t.charged = used
	}
}

func (s *shard) costOf(t *Ticket) float64 {
	return float64(t.tokens) + float64(t.request.PromptTokens)*s.config.PromptCost
}

// reclassify makes a request long once its cost exceeds the prediction, so that
// the limit on long requests covers it. The predictor learns a longer length at
// once, because the request may run for minutes before it ends.
func (s *shard) reclassify(t *Ticket) {
	if t.class == classLong || s.costs.total < minSamples || s.costOf(t) <= s.quantum() {
		return
	}
	s.predictor.learn(&t.request, overrunFactor*t.tokens)
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
	s.advance(t, max(tokens, 1), now)
	s.predictor.learn(&t.request, tokens)
	s.learnCost(s.costOf(t))
	s.release(t, now)
}

func (s *shard) learnCost(cost float64) {
	s.costs.add(cost)
	if s.costs.total <= minSamples || s.costs.total%medianInterval == 0 {
		s.medianCost = max(1, s.costs.quantile(0.5))
	}
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
	s.queue.charge(t.queue, s.costOf(t)-t.charged)
	t.queue.running--
	s.running--
	if t.class == classLong {
		s.longRunning--
	}
	s.clearPendingPrompt(t)
	s.update(t.group, func() { t.group.recordEnd(t.class, now) })
	s.dispatch(now)
}
