package attempt

import (
	"slices"
	"time"
)

// Flights knows which requests this node has in flight on each group, and
// keeps suspects apart: no two of them are in flight on a group together, so
// that a second crash tells which of them is to blame. It is safe for use by
// several goroutines.
type Flights struct {
	quarantine *Quarantine
	groups     *table[string, []Fingerprint]
}

// NewFlights returns a register without flights.
func NewFlights(q *Quarantine) *Flights {
	return &Flights{
		quarantine: q,
		groups:     newTable[string, []Fingerprint](hashString),
	}
}

// Enter notes that a request is about to be sent to a group. It reports false,
// and notes nothing, when the request must not run there now.
func (f *Flights) Enter(group string, p Fingerprint, now time.Time) bool {
	standing := f.quarantine.Standing(p, now)
	if standing == StandingQuarantined {
		return false
	}
	entered := false
	f.groups.with(group, func(rows map[string][]Fingerprint) {
		if standing == StandingSuspect && f.suspected(rows[group], now) {
			return
		}
		rows[group] = append(rows[group], p)
		entered = true
	})
	return entered
}

// Leave notes the end of a flight that Enter allowed.
func (f *Flights) Leave(group string, p Fingerprint) {
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

func (f *Flights) suspected(flights []Fingerprint, now time.Time) bool {
	return slices.ContainsFunc(flights, func(o Fingerprint) bool {
		return f.quarantine.Standing(o, now) == StandingSuspect
	})
}
