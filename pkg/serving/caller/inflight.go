package caller

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"almondbay.example/core/attempt"
	"almondbay.example/serving/view"
)

// Causes of the cancellation of an attempt.
var (
	errGroupLost    = errs.New("replica group lost a member")
	errGroupChanged = errs.New("replica group changed its epoch or was released")
)

var cancelCauses = map[view.Condition]error{
	view.ConditionLost:    errGroupLost,
	view.ConditionChanged: errGroupChanged,
}

const (
	// inFlightShards is the number of shards; a power of two.
	inFlightShards = 64
	// maxCheckGap is the time between two calls of CheckGroups above which the
	// node is assumed to have been paused.
	maxCheckGap = time.Second
	// reportSettleTime is the time after a pause until fresh reports have
	// arrived.
	reportSettleTime = 3 * time.Second
)

// inFlight registers the attempts in flight on each replica group.
type inFlight struct {
	shards [inFlightShards]inFlightShard
}

type inFlightShard struct {
	mu       sync.Mutex
	attempts map[attempt.Target]map[*inFlightAttempt]struct{}
}

type inFlightAttempt struct {
	cancel context.CancelCauseFunc
}

func newInFlight() *inFlight {
	f := &inFlight{}
	for i := range f.shards {
		f.shards[i].attempts = make(map[attempt.Target]map[*inFlightAttempt]struct{})
	}
	return f
}

// add registers an attempt and returns a function that removes it.
func (f *inFlight) add(t attempt.Target, cancel context.CancelCauseFunc) func() {
	s := &f.shards[xxhash.Sum64String(t.Group)%inFlightShards]
	entry := &inFlightAttempt{cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.attempts[t] == nil {
		s.attempts[t] = make(map[*inFlightAttempt]struct{})
	}
	s.attempts[t][entry] = struct{}{}
	return func() { s.remove(t, entry) }
}

func (s *inFlightShard) remove(t attempt.Target, entry *inFlightAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.attempts[t], entry)
	if len(s.attempts[t]) == 0 {
		delete(s.attempts, t)
	}
}

// cancelChanged cancels the attempts on groups that lost a member or changed.
// It skips attempts on plain services, which have no epoch.
func (f *inFlight) cancelChanged(condition func(attempt.Target) view.Condition) {
	for i := range f.shards {
		f.shards[i].cancelChanged(condition)
	}
}

func (s *inFlightShard) cancelChanged(condition func(attempt.Target) view.Condition) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for t, attempts := range s.attempts {
		if t.Epoch == 0 {
			continue
		}
		cause := cancelCauses[condition(t)]
		if cause == nil {
			continue
		}
		for entry := range attempts {
			entry.cancel(cause)
		}
	}
}

// CheckGroups cancels attempts on groups that lost a member or changed, so that
// they are resumed or retried on other groups. It must be called several times
// per second. After a pause of this node all reports are stale and say nothing
// about the groups, so it cancels nothing until fresh reports have arrived.
func (g *Gateway) CheckGroups(context.Context) error {
	now := g.clock.Now()
	if !g.checkedAt.IsZero() && now.Sub(g.checkedAt) > maxCheckGap {
		g.checkFrom = now.Add(reportSettleTime)
	}
	g.checkedAt = now
	if !now.Before(g.checkFrom) {
		g.inFlight.cancelChanged(func(t attempt.Target) view.Condition {
			return g.view.Condition(t.Group, t.Epoch, now)
		})
	}
	g.suspects.quarantine.Expire(now)
	return nil
}
