package group

import "time"

// StateTimers records when each observed value last changed. Plan uses it only
// for timeouts, so a controller that starts with empty timers acts later but
// never wrongly.
type StateTimers struct {
	timers map[string]timer
	// plan is the number of the current plan.
	plan uint64
}

type timer struct {
	value string
	since time.Time
	// plan is the number of the last plan that queried the entry.
	plan uint64
}

// NewStateTimers returns an empty set of timers.
func NewStateTimers() *StateTimers {
	return &StateTimers{timers: map[string]timer{}}
}

// since returns the time at which this controller first observed the current
// value of key. Every plan must query the key: a key that one plan skips is
// dropped and its timer restarts.
func (t *StateTimers) since(key, value string, now time.Time) time.Time {
	known, ok := t.timers[key]
	if !ok || known.value != value {
		known = timer{value: value, since: now}
	}
	known.plan = t.plan
	t.timers[key] = known
	return known.since
}

// end drops the entries that the current plan did not query.
func (t *StateTimers) end() {
	for key, known := range t.timers {
		if known.plan != t.plan {
			delete(t.timers, key)
		}
	}
	t.plan++
}
