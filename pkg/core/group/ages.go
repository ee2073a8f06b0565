package group

import "time"

// StateTimers remembers since when things are as they are. It only serves to time
// out; a controller that starts with empty ages is merely slower to act.
type StateTimers struct {
	seen map[string]age
	plan uint64
}

type age struct {
	value string
	since time.Time
	// plan is the last plan that asked.
	plan uint64
}

// NewStateTimers returns empty ages.
func NewStateTimers() *StateTimers {
	return &StateTimers{seen: map[string]age{}}
}

// since returns since when the thing named key has had value without a break,
// as far as this controller has seen. It has to be asked in every plan, else
// the time starts anew.
func (a *StateTimers) since(key, value string, now time.Time) time.Time {
	known, ok := a.seen[key]
	if !ok || known.value != value {
		known = age{value: value, since: now}
	}
	known.plan = a.plan
	a.seen[key] = known
	return known.since
}

// end forgets what the plan that ends has not asked for.
func (a *StateTimers) end() {
	for key, known := range a.seen {
		if known.plan != a.plan {
			delete(a.seen, key)
		}
	}
	a.plan++
}
