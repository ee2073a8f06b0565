package caller

import (
	"github.com/jonboulle/clockwork"

	"almondbay.example/core/schedule"
)

// scheduledSlot passes the progress of an attempt on to the scheduler.
type scheduledSlot struct {
	progressFilter
	scheduler *schedule.Scheduler
	clock     clockwork.Clock
	ticket    *schedule.Ticket
}

var _ Slot = (*scheduledSlot)(nil)

// Progress implements Slot.
func (s *scheduledSlot) Progress(tokens int) {
	switch made, first, due := s.filter(tokens); {
	case first:
		s.scheduler.FirstToken(s.ticket, s.clock.Now())
	case due:
		s.scheduler.Progress(s.ticket, made, s.clock.Now())
	}
}

// Finish implements Slot.
func (s *scheduledSlot) Finish(tokens int) {
	s.scheduler.Finish(s.ticket, tokens-s.first, s.clock.Now())
}

// Release implements Slot.
func (s *scheduledSlot) Release() {
	s.scheduler.Cancel(s.ticket, s.clock.Now())
}

// progressFilter picks the progress that is worth passing on. It is used by one
// goroutine only.
type progressFilter struct {
	// first is the number of tokens before this attempt, which is not zero for a
	// resumed answer.
	first    int
	passedOn int
	started  bool
}

// filter returns the tokens that the attempt has made, and whether they are the
// first or are due to be passed on.
func (f *progressFilter) filter(tokens int) (made int, first, due bool) {
	if !f.started {
		f.started = true
		f.first = tokens - 1
		return 1, true, false
	}
	made = tokens - f.first
	if made < schedule.NextProgress(f.passedOn) {
		return made, false, false
	}
	f.passedOn = made
	return made, false, true
}
