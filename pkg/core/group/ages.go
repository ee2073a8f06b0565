package group

import "time"

// StateTimers records when each observed value last changed. Plan uses it only
// for timeouts, so a controller that starts with empty timers acts later but
// never wrongly.
type StateTimers struct {
	seen map[string]age
	plan uint64
}

type age struct {
	value string
	since time.Time
	// plan is the number of the last plan that queried the entry.
	plan uint64
}

// NewStateTimers returns an empty set of timers.
func NewStateTimers() *StateTimers {
	return &StateTimers{seen: map[string]age{}}
}

// since returns the time at which this controller first observed the current
// value of key. Every plan must query the key: a key that one plan skips is
// dropped and its timer restarts.
func (a *StateTimers) since(key, value string, now time.Time) time.Time {
	known, ok := a.seen[key]
	if !ok || known.value != value {
		known = age{value: value, since: now}
	}
	known.plan = a.plan
	a.seen[key] = known
	return known.since
}

// end drops the entries that the current plan did not query.
func (a *StateTimers) end() {
	for key, known := range a.seen {
		if known.plan != a.plan {
			delete(a.seen, key)
		}
	}
	a.plan++
}
