package attempt

import (
	"slices"
	"time"
)

// maxObservationAge bounds the age of an observation learnt from another node.
const maxObservationAge = 24 * time.Hour

// Crash identifies one crash of a replica group.
type Crash struct {
	Group string
	// Epoch is the epoch of the group when it crashed.
	Epoch uint64
	// Site names what crashes may have as their common cause; crashes at one
	// site count as one. It is the fabric domain of the group. Where a model
	// has groups in one fabric domain only, it is the group, and where it has
	// one group only, the group and its epoch.
	Site string
}

// CrashObservation is a crash during which a request was in flight.
type CrashObservation struct {
	Crash Crash
	// Age is the time since the observation was noted. It is an age since nodes
	// share no clock.
	Age time.Duration
}

// Evidence is what nodes tell each other about a quarantined request: the
// evidence, from which each node draws the same conclusion.
type Evidence struct {
	Fingerprint  Fingerprint
	Observations []CrashObservation
}

// QuarantineStatus is how a request is to be treated.
type QuarantineStatus uint8

// Standings of a request.
const (
	// StatusClear means that nothing speaks against the request.
	StatusClear QuarantineStatus = iota
	// StatusSuspect means that the request was in flight during a crash
	// which nothing else explains. It may run only on a group that runs no
	// other suspect, and not on one that crashed under it while there is
	// another.
	StatusSuspect
	// StatusQuarantined means that the request is refused.
	StatusQuarantined
)

// QuarantineConfig sets up a quarantine.
type QuarantineConfig struct {
	// ObservationTTL is how long an observation against a request that is not
	// quarantined counts.
	ObservationTTL time.Duration
	// QuarantineTTL is how long a quarantine lasts after the last observation.
	QuarantineTTL time.Duration
	// MaxRequests bounds the requests remembered in each shard; the one with
	// the oldest observation is forgotten first.
	MaxRequests int
}

// DefaultQuarantineConfig returns the settings that a node uses unless told
// otherwise.
func DefaultQuarantineConfig() QuarantineConfig {
	return QuarantineConfig{
		ObservationTTL: 10 * time.Minute,
		QuarantineTTL:  time.Hour,
		MaxRequests:    256,
	}
}

type observation struct {
	crash Crash
	at    time.Time
}

type crashRecord struct {
	struck []Fingerprint
	at     time.Time
}

// Quarantine remembers which requests were in flight when groups crashed, and
// concludes which of them cause crashes. It is safe for use by several
// goroutines.
//
// The standing of a request is a function of the observations alone, so that nodes
// with the same evidence agree, whatever order it came in. A request with
// crashes at two sites is quarantined unless another request with as
// many crashes shares one of them; then a further crash decides. A crash that
// a quarantined request explains counts against nobody else, and one that was
// part of an outage of its site counts against nobody.
type Quarantine struct {
	config   QuarantineConfig
	requests *table[Fingerprint, []observation]
	crashes  *table[Crash, crashRecord]
	outages  *outages
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine(c QuarantineConfig) *Quarantine {
	return &Quarantine{
		config:   c,
		requests: newTable[Fingerprint, []observation](hashFingerprint),
		crashes:  newTable[Crash, crashRecord](hashCrash),
		outages:  newOutages(),
	}
}

// CrashObservation notes that a request was in flight on a group that crashed, and
// returns its standing after that.
func (q *Quarantine) RecordCrash(f Fingerprint, c Crash, now time.Time) QuarantineStatus {
	q.note(f, c, now)
	return q.Status(f, now)
}

// Crashed notes a crash, whether or not a request of this node was in flight.
func (q *Quarantine) RecordGroupCrash(c Crash, now time.Time) {
	q.outages.note(c, now)
}

// Clear forgets all observations of a request that has run to its end.
func (q *Quarantine) Clear(f Fingerprint) {
	var observations []observation
	q.requests.with(f, func(rows map[Fingerprint][]observation) {
		observations = rows[f]
		delete(rows, f)
	})
	for _, s := range observations {
		q.forget(f, s.crash)
	}
}

// QuarantineStatus returns how a request is to be treated.
func (q *Quarantine) Status(f Fingerprint, now time.Time) QuarantineStatus {
	observations := q.observations(f, now)
	if len(observations) == 0 {
		return StatusClear
	}
	if q.isCulprit(f, observations, now) {
		return StatusQuarantined
	}
	for _, s := range observations {
		if !q.explained(f, s.crash, now) {
			return StatusSuspect
		}
	}
	return StatusClear
}

// Groups returns the groups on which the request was in flight when they
// crashed, and their sites.
func (q *Quarantine) Groups(f Fingerprint, now time.Time) (groups, sites []string) {
	for _, s := range q.observations(f, now) {
		groups = append(groups, s.crash.Group)
		sites = append(sites, s.crash.Site)
	}
	return groups, sites
}

// Learn takes in the evidence of another node.
func (q *Quarantine) Merge(c Evidence, now time.Time) {
	for _, s := range c.Observations {
		q.note(c.Fingerprint, s.Crash, now.Add(-s.Age))
	}
}

// Evidence returns the evidence against a request.
func (q *Quarantine) Evidence(f Fingerprint, now time.Time) Evidence {
	c := Evidence{Fingerprint: f}
	for _, s := range q.observations(f, now) {
		c.Observations = append(c.Observations, CrashObservation{Crash: s.crash, Age: now.Sub(s.at)})
	}
	return c
}

// QuarantinedEvidence returns the evidence against all quarantined requests.
func (q *Quarantine) QuarantinedEvidence(now time.Time) []Evidence {
	var candidates []Fingerprint
	q.requests.each(func(rows map[Fingerprint][]observation) {
		for f, observations := range rows {
			if independent(observations) {
				candidates = append(candidates, f)
			}
		}
	})
	var convictions []Evidence
	for _, f := range candidates {
		if q.Status(f, now) == StatusQuarantined {
			convictions = append(convictions, q.Evidence(f, now))
		}
	}
	return convictions
}

// Expire forgets what is older than the settings allow.
func (q *Quarantine) Expire(now time.Time) {
	q.requests.each(func(rows map[Fingerprint][]observation) {
		for f, observations := range rows {
			if len(q.live(observations, now)) == 0 {
				delete(rows, f)
			}
		}
	})
	q.outages.expire(now, q.config.QuarantineTTL)
	q.crashes.each(func(rows map[Crash]crashRecord) {
		for c, r := range rows {
			if now.Sub(r.at) > q.config.QuarantineTTL {
				delete(rows, c)
			}
		}
	})
}

func (q *Quarantine) note(f Fingerprint, c Crash, at time.Time) {
	q.outages.note(c, at)
	evicted := evictedRequest{}
	q.requests.with(f, func(rows map[Fingerprint][]observation) {
		known := rows[f]
		if slices.ContainsFunc(known, func(s observation) bool { return s.crash == c }) {
			return
		}
		known = q.related(known, at)
		if known == nil && len(rows) >= q.config.MaxRequests {
			evicted = oldest(rows)
			delete(rows, evicted.fingerprint)
		}
		// A new slice, since readers hold the old one outside the lock.
		rows[f] = append(slices.Clone(known), observation{crash: c, at: at})
	})
	for _, s := range evicted.observations {
		q.forget(evicted.fingerprint, s.crash)
	}
	q.crashes.with(c, func(rows map[Crash]crashRecord) {
		r := rows[c]
		if !slices.Contains(r.struck, f) {
			r.struck = append(slices.Clone(r.struck), f)
		}
		if at.After(r.at) {
			r.at = at
		}
		rows[c] = r
	})
}

// related returns the observations that count together with one at the given time.
// The caller holds the lock of the shard.
func (q *Quarantine) related(observations []observation, at time.Time) []observation {
	if independent(observations) {
		return observations
	}
	var kept []observation
	for _, s := range observations {
		if at.Sub(s.at).Abs() <= q.config.ObservationTTL {
			kept = append(kept, s)
		}
	}
	return kept
}

func (q *Quarantine) forget(f Fingerprint, c Crash) {
	q.crashes.with(c, func(rows map[Crash]crashRecord) {
		r := rows[c]
		r.struck = slices.DeleteFunc(slices.Clone(r.struck), func(o Fingerprint) bool { return o == f })
		if len(r.struck) == 0 {
			delete(rows, c)
			return
		}
		rows[c] = r
	})
}

// convicted reports whether the observations suffice and no rival has as many.
func (q *Quarantine) isCulprit(f Fingerprint, observations []observation, now time.Time) bool {
	if !independent(observations) {
		return false
	}
	for _, s := range observations {
		for _, o := range q.others(f, s.crash) {
			rival := q.observations(o, now)
			if independent(rival) && len(rival) >= len(observations) {
				return false
			}
		}
	}
	return true
}

// explained reports whether a quarantined request other than f was in flight
// during the crash.
func (q *Quarantine) explained(f Fingerprint, c Crash, now time.Time) bool {
	for _, o := range q.others(f, c) {
		if q.isCulprit(o, q.observations(o, now), now) {
			return true
		}
	}
	return false
}

func (q *Quarantine) others(f Fingerprint, c Crash) []Fingerprint {
	var struck []Fingerprint
	q.crashes.with(c, func(rows map[Crash]crashRecord) {
		struck = rows[c].struck
	})
	return slices.DeleteFunc(slices.Clone(struck), func(o Fingerprint) bool { return o == f })
}

func (q *Quarantine) observations(f Fingerprint, now time.Time) []observation {
	var observations []observation
	q.requests.with(f, func(rows map[Fingerprint][]observation) {
		observations = rows[f]
	})
	blamed := slices.DeleteFunc(slices.Clone(observations), func(s observation) bool { return q.outages.includes(s.crash) })
	return q.live(blamed, now)
}

// live returns the observations that still count. Those of a request with enough
// for a quarantine count together until the last of them expires.
func (q *Quarantine) live(observations []observation, now time.Time) []observation {
	if independent(observations) {
		latest := slices.MaxFunc(observations, func(a, b observation) int { return a.at.Compare(b.at) })
		if now.Sub(latest.at) > q.config.QuarantineTTL {
			return nil
		}
		return observations
	}
	if slices.ContainsFunc(observations, func(s observation) bool { return now.Sub(s.at) <= q.config.ObservationTTL }) {
		return observations
	}
	return nil
}

// independent reports whether two of the observations are at different sites.
func independent(observations []observation) bool {
	for i, s := range observations {
		for _, o := range observations[i+1:] {
			if s.crash.Site != o.crash.Site {
				return true
			}
		}
	}
	return false
}

type evictedRequest struct {
	fingerprint  Fingerprint
	observations []observation
}

func oldest(rows map[Fingerprint][]observation) evictedRequest {
	var found evictedRequest
	for f, observations := range rows {
		if found.observations == nil || observations[0].at.Before(found.observations[0].at) {
			found = evictedRequest{fingerprint: f, observations: observations}
		}
	}
	return found
}

func hashCrash(c Crash) uint64 {
	return hashString(c.Group) + c.Epoch
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
