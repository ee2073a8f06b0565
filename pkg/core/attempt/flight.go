package attempt

import (
	"slices"
	"time"
)

// InFlight knows which requests this node has in flight on each group, and
// keeps suspects apart: no two of them are in flight on a group together, so
// that a second crash tells which of them is to blame. It is safe for use by
// several goroutines.
type InFlight struct {
	quarantine *Quarantine
	groups     *table[string, []Fingerprint]
}

// NewInFlight returns a register without flights.
func NewInFlight(q *Quarantine) *InFlight {
	return &InFlight{
		quarantine: q,
		groups:     newTable[string, []Fingerprint](hashString),
	}
}

// Enter notes that a request is about to be sent to a group. It reports false,
// and notes nothing, when the request must not run there now.
func (f *InFlight) Admit(group string, p Fingerprint, now time.Time) bool {
	standing := f.quarantine.Status(p, now)
	if standing == StatusQuarantined {
		return false
	}
	entered := false
	f.groups.with(group, func(rows map[string][]Fingerprint) {
		if standing == StatusSuspect && f.suspected(rows[group], now) {
			return
		}
		rows[group] = append(rows[group], p)
		entered = true
	})
	return entered
}

// Leave notes the end of a flight that Enter allowed.
func (f *InFlight) Done(group string, p Fingerprint) {
	f.groups.with(group, func(rows map[string][]Fingerprint) {
		flights := rows[group]
		i := slices.Index(flights, p)
		if i < 0 {
			return
		}
		last := len(flights) - 1
		flights[i] = flights[last]
		if last == 0 {
			delete(rows, group)
			return
		}
		rows[group] = flights[:last]
	})
}

func (f *InFlight) suspected(flights []Fingerprint, now time.Time) bool {
	return slices.ContainsFunc(flights, func(o Fingerprint) bool {
		return f.quarantine.Status(o, now) == StatusSuspect
	})
}
