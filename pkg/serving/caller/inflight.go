package caller

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"almondbay.example/core/attempt"
)

// errGroupLost is the cause of the end of an attempt whose group has lost a
// member.
var errGroupLost = errs.New("the group has lost a member")

// inFlightShards is the number of shards; a power of two.
const inFlightShards = 64

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

// cancelLost cancels the attempts on groups that are not intact. Attempts on
// plain services, which have no epoch, are left alone.
func (f *inFlight) cancelLost(intact func(attempt.Target) bool) {
	for i := range f.shards {
		f.shards[i].cancelLost(intact)
	}
}

func (s *inFlightShard) cancelLost(intact func(attempt.Target) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for t, flights := range s.flights {
		if t.Epoch == 0 || intact(t) {
			continue
		}
		for entry := range flights {
			entry.cancel(errGroupLost)
		}
	}
}
