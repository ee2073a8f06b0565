package schedule

import "time"

// outlivedFactor is the length that is expected of a request that has become
// long, as a multiple of its length then.
const outlivedFactor = 2

// typicalInterval is the number of samples between two looks at the median.
const typicalInterval = 8

// firstToken records that a running request has sent its first token.
func (s *shard) firstToken(t *Ticket, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != ticketRunning || t.tokens > 0 {
		return
	}
	spent := now.Sub(t.dispatchedAt)
	s.firstTokens[promptSize(&t.request)].add(float64(spent.Milliseconds()))
	s.prompted(t)
	if t.class == classShort {
		t.group.health.observeFirstToken(spent)
	}
	cost := 1 + float64(t.request.PromptTokens)*s.config.PromptCost
	s.rate.add(cost, spent, now)
	t.tokens = 1
	t.progressAt = now
	s.dispatch(now)
}

// prompted notes that the prompt of a request is no longer worked on.
func (s *shard) prompted(t *Ticket) {
	t.group.prompting -= t.prompting
	t.prompting = 0
}

// progress records the number of tokens sent so far.
func (s *shard) progress(t *Ticket, tokens int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != ticketRunning {
		return
	}
	if t.tokens == 0 {
		return // The first token has to be recorded before.
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
// that the cap on long work holds for it too. Its kind is learnt to be longer
// than this at once: its end may be minutes away.
func (s *shard) reclassify(t *Ticket) {
	if t.class == classLong || s.costs.total < minSamples || s.used(t) <= s.quantum() {
		return
	}
	s.predictor.learn(&t.request, outlivedFactor*t.tokens)
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
	s.learnCost(s.used(t))
	s.release(t, now)
}

func (s *shard) learnCost(cost float64) {
	s.costs.add(cost)
	if s.costs.total <= minSamples || s.costs.total%typicalInterval == 0 {
		s.typical = max(1, s.costs.quantile(0.5))
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
	s.queue.charge(t.queue, s.used(t)-t.charged)
	t.queue.running--
	s.running--
	if t.class == classLong {
		s.longRunning--
	}
	s.prompted(t)
	s.update(t.group, func() { t.group.finished(t.class, now) })
	s.dispatch(now)
}
