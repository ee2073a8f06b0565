package attempt

import (
	"slices"
	"time"
)

// InFlight tracks the requests that this node has in flight on each group. It
// admits at most one suspect to a group at a time, so that a second crash shows
// which suspect caused it. It is safe for concurrent use.
type InFlight struct {
	quarantine *Quarantine
	groups     *shardedMap[string, []Fingerprint]
}

// NewInFlight returns a tracker without requests.
func NewInFlight(q *Quarantine) *InFlight {
	return &InFlight{
		quarantine: q,
		groups:     newShardedMap[string, []Fingerprint](hashString),
	}
}

// Admit registers a request that is about to be sent to a group. It reports
// false, and registers nothing, when the request is quarantined, or is a suspect
// and the group already runs another suspect.
func (f *InFlight) Admit(group string, p Fingerprint, now time.Time) bool {
	status := f.quarantine.Status(p, now)
	if status == StatusQuarantined {
		return false
	}
	admitted := false
	f.groups.with(group, func(entries map[string][]Fingerprint) {
		if status == StatusSuspect && f.hasSuspect(entries[group], now) {
			return
		}
		entries[group] = append(entries[group], p)
		admitted = true
	})
	return admitted
}

// Done unregisters a request that Admit allowed.
func (f *InFlight) Done(group string, p Fingerprint) {
	f.groups.with(group, func(entries map[string][]Fingerprint) {
		running := entries[group]
		i := slices.Index(running, p)
		if i < 0 {
			return
		}
		last := len(running) - 1
		running[i] = running[last]
		if last == 0 {
			delete(entries, group)
			return
		}
		entries[group] = running[:last]
	})
}

// hasSuspect reports whether any of the running requests is a suspect.
func (f *InFlight) hasSuspect(running []Fingerprint, now time.Time) bool {
	return slices.ContainsFunc(running, func(o Fingerprint) bool {
		return f.quarantine.Status(o, now) == StatusSuspect
	})
}
