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

// Causes of the end of an attempt.
var (
	errGroupLost    = errs.New("the group has lost a member")
	errGroupChanged = errs.New("the group has another epoch or was released")
)

var causes = map[view.Condition]error{
	view.ConditionLost:    errGroupLost,
	view.ConditionChanged: errGroupChanged,
}

const (
	// inFlightShards is the number of shards; a power of two.
	inFlightShards = 64
	// maxReviewGap is the time between two reviews above which the node itself
	// has been paused.
	maxReviewGap = time.Second
	// reportTime is how long new reports take to arrive after that.
	reportTime = 3 * time.Second
)

// inFlight knows the attempts in flight on each replica group.
type inFlight struct {
	shards [inFlightShards]inFlightShard
}

type inFlightShard struct {
	mu      sync.Mutex
	flights map[attempt.Target]map[*flight]struct{}
}

type flight struct {
	cancel context.CancelCauseFunc
}

func newInFlight() *inFlight {
	f := &inFlight{}
	for i := range f.shards {
		f.shards[i].flights = make(map[attempt.Target]map[*flight]struct{})
	}
	return f
}

// add notes an attempt. It returns how to remove it.
func (f *inFlight) add(t attempt.Target, cancel context.CancelCauseFunc) func() {
	s := &f.shards[xxhash.Sum64String(t.Group)%inFlightShards]
	entry := &flight{cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.flights[t] == nil {
		s.flights[t] = make(map[*flight]struct{})
	}
	s.flights[t][entry] = struct{}{}
	return func() { s.remove(t, entry) }
}

func (s *inFlightShard) remove(t attempt.Target, entry *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.flights[t], entry)
	if len(s.flights[t]) == 0 {
		delete(s.flights, t)
	}
}

// review cancels the attempts on groups that have changed. Attempts on plain
// services, which have no epoch, are left alone.
func (f *inFlight) review(condition func(attempt.Target) view.Condition) {
	for i := range f.shards {
		f.shards[i].review(condition)
	}
}

func (s *inFlightShard) review(condition func(attempt.Target) view.Condition) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for t, flights := range s.flights {
		if t.Epoch == 0 {
			continue
		}
		cause := causes[condition(t)]
		if cause == nil {
			continue
		}
		for entry := range flights {
			entry.cancel(cause)
		}
	}
}

// CheckGroups cancels attempts on groups that have lost a member or changed, so
// that they are resumed or retried elsewhere. It is to be called a few times a
// second. After a pause of the node itself all reports are old, which says
// nothing about the groups; it waits for new ones then.
func (g *Gateway) CheckGroups(context.Context) error {
	now := g.clock.Now()
	if !g.reviewedAt.IsZero() && now.Sub(g.reviewedAt) > maxReviewGap {
		g.reviewFrom = now.Add(reportTime)
	}
	g.reviewedAt = now
	if !now.Before(g.reviewFrom) {
		g.inFlight.review(func(t attempt.Target) view.Condition {
			return g.view.Condition(t.Group, t.Epoch, now)
		})
	}
	g.suspects.quarantine.Expire(now)
	return nil
}
