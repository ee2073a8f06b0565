package attempt

import (
	"slices"
	"time"
)

// maxStrikeAge bounds the age of a strike learnt from another node.
const maxStrikeAge = 24 * time.Hour

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

// Strike is a crash during which a request was in flight.
type Strike struct {
	Crash Crash
	// Age is the time since the strike was noted. It is an age since nodes
	// share no clock.
	Age time.Duration
}

// Conviction is what nodes tell each other about a quarantined request: the
// evidence, from which each node draws the same conclusion.
type Conviction struct {
	Fingerprint Fingerprint
	Strikes     []Strike
}

// Standing is how a request is to be treated.
type Standing uint8

// Standings of a request.
const (
	// StandingClear means that nothing speaks against the request.
	StandingClear Standing = iota
	// StandingSuspect means that the request was in flight during a crash
	// which nothing else explains. It may run only on a group that runs no
	// other suspect, and not on one that crashed under it while there is
	// another.
	StandingSuspect
	// StandingQuarantined means that the request is refused.
	StandingQuarantined
)

// QuarantineConfig sets up a quarantine.
type QuarantineConfig struct {
	// StrikeTTL is how long a strike against a request that is not
	// quarantined counts.
	StrikeTTL time.Duration
	// QuarantineTTL is how long a quarantine lasts after the last strike.
	QuarantineTTL time.Duration
	// MaxRequests bounds the requests remembered in each shard; the one with
	// the oldest strike is forgotten first.
	MaxRequests int
}

// DefaultQuarantineConfig returns the settings that a node uses unless told
// otherwise.
func DefaultQuarantineConfig() QuarantineConfig {
	return QuarantineConfig{
		StrikeTTL:     10 * time.Minute,
		QuarantineTTL: time.Hour,
		MaxRequests:   256,
	}
}

type strike struct {
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
// The standing of a request is a function of the strikes alone, so that nodes
// with the same evidence agree, whatever order it came in. A request with
// crashes at two sites is quarantined unless another request with as
// many crashes shares one of them; then a further crash decides. A crash that
// a quarantined request explains counts against nobody else, and one that was
// part of an outage of its site counts against nobody.
type Quarantine struct {
	config   QuarantineConfig
	requests *table[Fingerprint, []strike]
	crashes  *table[Crash, crashRecord]
	outages  *outages
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine(c QuarantineConfig) *Quarantine {
	return &Quarantine{
		config:   c,
		requests: newTable[Fingerprint, []strike](hashFingerprint),
		crashes:  newTable[Crash, crashRecord](hashCrash),
		outages:  newOutages(),
	}
}

// Strike notes that a request was in flight on a group that crashed, and
// returns its standing after that.
func (q *Quarantine) Strike(f Fingerprint, c Crash, now time.Time) Standing {
	q.note(f, c, now)
	return q.Standing(f, now)
}

// Crashed notes a crash, whether or not a request of this node was in flight.
func (q *Quarantine) Crashed(c Crash, now time.Time) {
	q.outages.note(c, now)
}

// Clear forgets all strikes of a request that has run to its end.
func (q *Quarantine) Clear(f Fingerprint) {
	var strikes []strike
	q.requests.with(f, func(rows map[Fingerprint][]strike) {
		strikes = rows[f]
		delete(rows, f)
	})
	for _, s := range strikes {
		q.forget(f, s.crash)
	}
}

// Standing returns how a request is to be treated.
func (q *Quarantine) Standing(f Fingerprint, now time.Time) Standing {
	strikes := q.strikes(f, now)
	if len(strikes) == 0 {
		return StandingClear
	}
	if q.convicted(f, strikes, now) {
		return StandingQuarantined
	}
	for _, s := range strikes {
		if !q.explained(f, s.crash, now) {
			return StandingSuspect
		}
	}
	return StandingClear
}

// Groups returns the groups on which the request was in flight when they
// crashed, and their sites.
func (q *Quarantine) Groups(f Fingerprint, now time.Time) (groups, sites []string) {
	for _, s := range q.strikes(f, now) {
		groups = append(groups, s.crash.Group)
		sites = append(sites, s.crash.Site)
	}
	return groups, sites
}

// Learn takes in the evidence of another node.
func (q *Quarantine) Learn(c Conviction, now time.Time) {
	for _, s := range c.Strikes {
		q.note(c.Fingerprint, s.Crash, now.Add(-s.Age))
	}
}

// Conviction returns the evidence against a request.
func (q *Quarantine) Conviction(f Fingerprint, now time.Time) Conviction {
	c := Conviction{Fingerprint: f}
	for _, s := range q.strikes(f, now) {
		c.Strikes = append(c.Strikes, Strike{Crash: s.crash, Age: now.Sub(s.at)})
	}
	return c
}

// Convictions returns the evidence against all quarantined requests.
func (q *Quarantine) Convictions(now time.Time) []Conviction {
	var candidates []Fingerprint
	q.requests.each(func(rows map[Fingerprint][]strike) {
		for f, strikes := range rows {
			if independent(strikes) {
				candidates = append(candidates, f)
			}
		}
	})
	var convictions []Conviction
	for _, f := range candidates {
		if q.Standing(f, now) == StandingQuarantined {
			convictions = append(convictions, q.Conviction(f, now))
		}
	}
	return convictions
}

// Expire forgets what is older than the settings allow.
func (q *Quarantine) Expire(now time.Time) {
	q.requests.each(func(rows map[Fingerprint][]strike) {
		for f, strikes := range rows {
			if len(q.live(strikes, now)) == 0 {
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
	evicted := strikeOwner{}
	q.requests.with(f, func(rows map[Fingerprint][]strike) {
		known := rows[f]
		if slices.ContainsFunc(known, func(s strike) bool { return s.crash == c }) {
			return
		}
		known = q.related(known, at)
		if known == nil && len(rows) >= q.config.MaxRequests {
			evicted = oldest(rows)
			delete(rows, evicted.fingerprint)
		}
		// A new slice, since readers hold the old one outside the lock.
		rows[f] = append(slices.Clone(known), strike{crash: c, at: at})
	})
	for _, s := range evicted.strikes {
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

// related returns the strikes that count together with one at the given time.
// The caller holds the lock of the shard.
func (q *Quarantine) related(strikes []strike, at time.Time) []strike {
	if independent(strikes) {
		return strikes
	}
	var kept []strike
	for _, s := range strikes {
		if at.Sub(s.at).Abs() <= q.config.StrikeTTL {
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

// convicted reports whether the strikes suffice and no rival has as many.
func (q *Quarantine) convicted(f Fingerprint, strikes []strike, now time.Time) bool {
	if !independent(strikes) {
		return false
	}
	for _, s := range strikes {
		for _, o := range q.others(f, s.crash) {
			rival := q.strikes(o, now)
			if independent(rival) && len(rival) >= len(strikes) {
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
		if q.convicted(o, q.strikes(o, now), now) {
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

func (q *Quarantine) strikes(f Fingerprint, now time.Time) []strike {
	var strikes []strike
	q.requests.with(f, func(rows map[Fingerprint][]strike) {
		strikes = rows[f]
	})
	blamed := slices.DeleteFunc(slices.Clone(strikes), func(s strike) bool { return q.outages.includes(s.crash) })
	return q.live(blamed, now)
}

// live returns the strikes that still count. Those of a request with enough
// for a quarantine count together until the last of them expires.
func (q *Quarantine) live(strikes []strike, now time.Time) []strike {
	if independent(strikes) {
		latest := slices.MaxFunc(strikes, func(a, b strike) int { return a.at.Compare(b.at) })
		if now.Sub(latest.at) > q.config.QuarantineTTL {
			return nil
		}
		return strikes
	}
	if slices.ContainsFunc(strikes, func(s strike) bool { return now.Sub(s.at) <= q.config.StrikeTTL }) {
		return strikes
	}
	return nil
}

// independent reports whether two of the strikes are at different sites.
func independent(strikes []strike) bool {
	for i, s := range strikes {
		for _, o := range strikes[i+1:] {
			if s.crash.Site != o.crash.Site {
				return true
			}
		}
	}
	return false
}

type strikeOwner struct {
	fingerprint Fingerprint
	strikes     []strike
}

func oldest(rows map[Fingerprint][]strike) strikeOwner {
	var found strikeOwner
	for f, strikes := range rows {
		if found.strikes == nil || strikes[0].at.Before(found.strikes[0].at) {
			found = strikeOwner{fingerprint: f, strikes: strikes}
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
