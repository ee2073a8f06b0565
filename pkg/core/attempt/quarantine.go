package attempt

import (
	"slices"
	"time"
)

// maxObservationAge is the maximum age of an observation received from another
// node.
const maxObservationAge = 24 * time.Hour

// Crash identifies a crash of a replica group.
type Crash struct {
	Group string
	// Epoch is the epoch of the group when it crashed.
	Epoch uint64
	// Site is the location that crashes with a common cause share; crashes at
	// the same site count as one. It is the fabric domain of the group. For a
	// model with groups in only one fabric domain it is the group, and for a
	// model with only one group it is the group and its epoch.
	Site string
}

// CrashObservation is a crash during which a request was in flight.
type CrashObservation struct {
	Crash Crash
	// Age is the time since the observation was recorded. An age is sent instead
	// of a timestamp because the clocks of nodes are not synchronized.
	Age time.Duration
}

// Evidence is the set of crashes observed while a request was in flight. Nodes
// exchange evidence rather than decisions; each derives the same decision from
// the same evidence.
type Evidence struct {
	Fingerprint  Fingerprint
	Observations []CrashObservation
	// Completed is set if the request is known to have completed, which it did
	// CompletedAge ago.
	Completed    bool
	CompletedAge time.Duration
}

// QuarantineStatus states whether and where a request may run.
type QuarantineStatus uint8

// Quarantine statuses.
const (
	// StatusClear means that the request may run on any group.
	StatusClear QuarantineStatus = iota
	// StatusSuspect means that the request was in flight during a crash that no
	// quarantined request or outage explains. It may run only on a group that
	// runs no other suspect, and on a group that crashed while running it only
	// if there is no other group.
	StatusSuspect
	// StatusQuarantined means that the request must be refused.
	StatusQuarantined
)

// QuarantineConfig configures a Quarantine.
type QuarantineConfig struct {
	// ObservationTTL is the time for which a crash observation counts against a
	// request that is not quarantined.
	ObservationTTL time.Duration
	// QuarantineTTL is the duration of a quarantine after its last observation.
	QuarantineTTL time.Duration
	// MinSites is the number of different sites whose crashes suffice for a
	// quarantine; zero stands for none.
	MinSites int
	// MaxCrashes is the number of crashes that suffice for a quarantine at any site
	// and also as parts of outages: a request that is repeated quickly causes
	// crashes that look like an outage. Zero stands for none.
	MaxCrashes int
	// CompletionGrace is how long after a completion of a request crashes don't
	// count against it. A request that completes is not the cause of a crash at
	// about that time.
	CompletionGrace time.Duration
	// MaxRequests is the maximum number of requests kept in each shard; the
	// request with the fewest observations is evicted first, the one with the oldest among
	// those. Completions are bounded likewise, the oldest is evicted first.
	MaxRequests int
}

// DefaultQuarantineConfig returns the default configuration of a node.
func DefaultQuarantineConfig() QuarantineConfig {
	return QuarantineConfig{
		ObservationTTL: 10 * time.Minute,
		QuarantineTTL:  time.Hour,
		MinSites:       2,
		MaxCrashes:     3,
		MaxRequests:    256,
	}
}

type observation struct {
	crash Crash
	at    time.Time
}

type crashRecord struct {
	inFlight []Fingerprint
	at       time.Time
}

// Quarantine records which requests were in flight when groups crashed, and
// derives which of them cause crashes. It is safe for concurrent use.
//
// The status of a request depends only on the set of observations, so nodes
// with the same evidence agree regardless of the order in which they received
// it. A request with crashes at MinSites sites is quarantined, unless another request
// with crashes at as many sites and at least as many crashes was in flight during
// one of them; in that case the next crash decides. A request with MaxCrashes
// crashes is quarantined in any case. A crash explained by a quarantined request
// does not count against other requests; a crash that was part of an outage of its
// site counts against no request, unless MaxCrashes of them do.
type Quarantine struct {
	config   QuarantineConfig
	requests *shardedMap[Fingerprint, []observation]
	// completions holds when requests with observations last completed.
	completions *shardedMap[Fingerprint, time.Time]
	crashes     *shardedMap[Crash, crashRecord]
	outages     *outages
}

// NewQuarantine returns a quarantine without observations.
func NewQuarantine(c QuarantineConfig) *Quarantine {
	return &Quarantine{
		config:   c,
		requests: newShardedMap[Fingerprint, []observation](hashFingerprint),

		completions: newShardedMap[Fingerprint, time.Time](hashFingerprint),
		crashes:     newShardedMap[Crash, crashRecord](hashCrash),
		outages:     newOutages(),
	}
}

// RecordCrash records that a request was in flight on a group that crashed, and
// returns its new status.
func (q *Quarantine) RecordCrash(f Fingerprint, c Crash, now time.Time) QuarantineStatus {
	q.record(f, c, now)
	return q.Status(f, now)
}

// RecordGroupCrash records a crash of a group, whether or not a request of this
// node was in flight on it.
func (q *Quarantine) RecordGroupCrash(c Crash, now time.Time) {
	q.outages.record(c, now)
}

// Clear removes all observations of a request after it has completed.
func (q *Quarantine) Clear(f Fingerprint) {
	var observations []observation
	q.requests.with(f, func(entries map[Fingerprint][]observation) {
		observations = entries[f]
		delete(entries, f)
	})
	for _, obs := range observations {
		q.removeInFlight(f, obs.crash)
	}
}

// RecordCompletion records that a request completed: crashes until CompletionGrace
// afterwards no longer count against it. It reports whether that is news.
func (q *Quarantine) RecordCompletion(f Fingerprint, at time.Time) bool {
	recorded := false
	q.completions.with(f, func(entries map[Fingerprint]time.Time) {
		last, ok := entries[f]
		if ok && !at.After(last) {
			return
		}
		if !ok && len(entries) >= q.config.MaxRequests {
			evictOldest(entries)
		}
		entries[f] = at
		recorded = true
	})
	return recorded
}

// completion returns when a request last completed; zero if it is not known to have.
func (q *Quarantine) completion(f Fingerprint) time.Time {
	var at time.Time
	q.completions.with(f, func(entries map[Fingerprint]time.Time) { at = entries[f] })
	return at
}

// Crashes returns the crashes that count against a request, including those that
// were part of an outage.
func (q *Quarantine) Crashes(f Fingerprint, now time.Time) []Crash {
	var crashes []Crash
	for _, obs := range q.counted(f, now) {
		crashes = append(crashes, obs.crash)
	}
	return crashes
}

// Status returns the status of a request.
func (q *Quarantine) Status(f Fingerprint, now time.Time) QuarantineStatus {
	if q.Quarantined(f, now) {
		return StatusQuarantined
	}
	observations := q.observations(f, now)
	for _, obs := range observations {
		if !q.explained(f, obs.crash, now) {
			return StatusSuspect
		}
	}
	return StatusClear
}

// Quarantined reports whether the request must be refused. It is cheaper than Status.
func (q *Quarantine) Quarantined(f Fingerprint, now time.Time) bool {
	return q.isCulprit(f, q.observations(f, now), now)
}

// Groups returns the groups on which the request was in flight when they
// crashed, and their sites.
func (q *Quarantine) Groups(f Fingerprint, now time.Time) (groups, sites []string) {
	for _, obs := range q.observations(f, now) {
		groups = append(groups, obs.crash.Group)
		sites = append(sites, obs.crash.Site)
	}
	return groups, sites
}

// Merge adds the evidence received from another node. It reports whether any of it
// is news.
func (q *Quarantine) Merge(e Evidence, now time.Time) bool {
	news := false
	if e.Completed {
		news = q.RecordCompletion(e.Fingerprint, now.Add(-e.CompletedAge))
	}
	for _, obs := range e.Observations {
		if q.record(e.Fingerprint, obs.Crash, now.Add(-obs.Age)) {
			news = true
		}
	}
	return news
}

// Evidence returns all evidence against a request.
func (q *Quarantine) Evidence(f Fingerprint, now time.Time) Evidence {
	e := Evidence{Fingerprint: f}
	for _, obs := range q.counted(f, now) {
		e.Observations = append(e.Observations, CrashObservation{Crash: obs.crash, Age: now.Sub(obs.at)})
	}
	if at := q.completion(f); !at.IsZero() {
		e.Completed, e.CompletedAge = true, now.Sub(at)
	}
	return e
}

// History returns all evidence about a request, also what a completion refutes.
func (q *Quarantine) History(f Fingerprint, now time.Time) Evidence {
	e := q.Evidence(f, now)
	e.Observations = nil
	q.requests.with(f, func(entries map[Fingerprint][]observation) {
		for _, obs := range entries[f] {
			e.Observations = append(e.Observations, CrashObservation{Crash: obs.crash, Age: now.Sub(obs.at)})
		}
	})
	return e
}

// QuarantinedEvidence returns the evidence against each quarantined request.
func (q *Quarantine) QuarantinedEvidence(now time.Time) []Evidence {
	var candidates []Fingerprint
	q.requests.each(func(entries map[Fingerprint][]observation) {
		for f, observations := range entries {
			if q.suffices(observations) {
				candidates = append(candidates, f)
			}
		}
	})
	var evidence []Evidence
	for _, f := range candidates {
		if q.Status(f, now) == StatusQuarantined {
			evidence = append(evidence, q.Evidence(f, now))
		}
	}
	return evidence
}

// Expire removes expired observations, crashes and outages.
func (q *Quarantine) Expire(now time.Time) {
	q.requests.each(func(entries map[Fingerprint][]observation) {
		for f, observations := range entries {
			if len(q.unexpired(observations, now)) == 0 {
				delete(entries, f)
			}
		}
	})
	q.completions.each(func(entries map[Fingerprint]time.Time) {
		for f, at := range entries {
			if now.Sub(at) > q.config.QuarantineTTL {
				delete(entries, f)
			}
		}
	})
	q.outages.expire(now, q.config.QuarantineTTL)
	q.crashes.each(func(entries map[Crash]crashRecord) {
		for c, r := range entries {
			if now.Sub(r.at) > q.config.QuarantineTTL {
				delete(entries, c)
			}
		}
	})
}

// record adds an observation and evicts the oldest request when the shard is
// full. It reports whether the observation is news. Of a known one the earliest time
// counts: an age is understated by the time for which a row with it was not read.
func (q *Quarantine) record(f Fingerprint, c Crash, at time.Time) bool {
	q.outages.record(c, at)
	added := false
	evicted := requestObservations{}
	q.requests.with(f, func(entries map[Fingerprint][]observation) {
		known := entries[f]
		if i := slices.IndexFunc(known, func(obs observation) bool { return obs.crash == c }); i >= 0 {
			if at.Before(known[i].at) {
				// Readers use the old slice without the lock.
				known = slices.Clone(known)
				known[i].at = at
				entries[f] = known
			}
			return
		}
		known = q.withinTTL(known, at)
		if known == nil && len(entries) >= q.config.MaxRequests {
			evicted = leastSuspect(entries)
			delete(entries, evicted.fingerprint)
		}
		// Append to a copy, since readers use the old slice without the lock.
		entries[f] = append(slices.Clone(known), observation{crash: c, at: at})
		added = true
	})
	for _, obs := range evicted.observations {
		q.removeInFlight(evicted.fingerprint, obs.crash)
	}
	q.crashes.with(c, func(entries map[Crash]crashRecord) {
		r := entries[c]
		if !slices.Contains(r.inFlight, f) {
			r.inFlight = append(slices.Clone(r.inFlight), f)
		}
		if at.After(r.at) {
			r.at = at
		}
		entries[c] = r
	})
	return added
}

// withinTTL returns the observations that still count when one is added at the
// given time. The caller must hold the lock of the shard.
func (q *Quarantine) withinTTL(observations []observation, at time.Time) []observation {
	if q.suffices(observations) {
		return observations
	}
	var kept []observation
	for _, obs := range observations {
		if at.Sub(obs.at).Abs() <= q.config.ObservationTTL {
			kept = append(kept, obs)
		}
	}
	return kept
}

// removeInFlight removes the request from those in flight during the crash.
func (q *Quarantine) removeInFlight(f Fingerprint, c Crash) {
	q.crashes.with(c, func(entries map[Crash]crashRecord) {
		r := entries[c]
		r.inFlight = slices.DeleteFunc(slices.Clone(r.inFlight), func(o Fingerprint) bool { return o == f })
		if len(r.inFlight) == 0 {
			delete(entries, c)
			return
		}
		entries[c] = r
	})
}

// isCulprit reports whether a request has MaxCrashes crashes, or crashes at MinSites
// sites and no other request, in flight during one of them, has crashes at as many
// sites and at least as many observations.
func (q *Quarantine) isCulprit(f Fingerprint, observations []observation, now time.Time) bool {
	if q.reachesMaxCrashes(q.counted(f, now)) {
		return true
	}
	if !q.atMinSites(observations) {
		return false
	}
	for _, obs := range observations {
		for _, o := range q.othersInFlight(f, obs.crash) {
			rival := q.observations(o, now)
			if q.atMinSites(rival) && len(rival) >= len(observations) {
				return false
			}
		}
	}
	return true
}

// explained reports whether a quarantined request other than f was in flight
// during the crash.
func (q *Quarantine) explained(f Fingerprint, c Crash, now time.Time) bool {
	for _, o := range q.othersInFlight(f, c) {
		if q.isCulprit(o, q.observations(o, now), now) {
			return true
		}
	}
	return false
}

// othersInFlight returns the requests other than f that were in flight during the crash.
func (q *Quarantine) othersInFlight(f Fingerprint, c Crash) []Fingerprint {
	var inFlight []Fingerprint
	q.crashes.with(c, func(entries map[Crash]crashRecord) {
		inFlight = entries[c].inFlight
	})
	return slices.DeleteFunc(slices.Clone(inFlight), func(o Fingerprint) bool { return o == f })
}

// observations returns the observations of a request that count and were not part
// of an outage.
func (q *Quarantine) observations(f Fingerprint, now time.Time) []observation {
	counted := slices.DeleteFunc(q.counted(f, now), func(obs observation) bool { return q.outages.includes(obs.crash) })
	return q.unexpired(counted, now)
}

// counted returns the observations of a request that have not expired and that no
// completion of it refutes.
func (q *Quarantine) counted(f Fingerprint, now time.Time) []observation {
	var observations []observation
	q.requests.with(f, func(entries map[Fingerprint][]observation) {
		observations = slices.Clone(entries[f])
	})
	if at := q.completion(f); !at.IsZero() {
		excused := at.Add(q.config.CompletionGrace)
		observations = slices.DeleteFunc(observations, func(obs observation) bool { return !obs.at.After(excused) })
	}
	return q.unexpired(observations, now)
}

// unexpired returns the observations that still count. Observations that suffice
// for a quarantine expire together, QuarantineTTL after the latest of them.
// Otherwise they expire together, ObservationTTL after the latest.
func (q *Quarantine) unexpired(observations []observation, now time.Time) []observation {
	if q.suffices(observations) {
		latest := slices.MaxFunc(observations, func(a, b observation) int { return a.at.Compare(b.at) })
		if now.Sub(latest.at) > q.config.QuarantineTTL {
			return nil
		}
		return observations
	}
	if slices.ContainsFunc(observations, func(obs observation) bool { return now.Sub(obs.at) <= q.config.ObservationTTL }) {
		return observations
	}
	return nil
}

// suffices reports whether observations may lead to a quarantine by themselves.
func (q *Quarantine) suffices(observations []observation) bool {
	return q.atMinSites(observations) || q.reachesMaxCrashes(observations)
}

// reachesMaxCrashes reports whether there are MaxCrashes observations.
func (q *Quarantine) reachesMaxCrashes(observations []observation) bool {
	return q.config.MaxCrashes > 0 && len(observations) >= q.config.MaxCrashes
}

// atMinSites reports whether the observations are at MinSites different sites.
func (q *Quarantine) atMinSites(observations []observation) bool {
	var sites []string
	for _, obs := range observations {
		if !slices.Contains(sites, obs.crash.Site) {
			sites = append(sites, obs.crash.Site)
		}
	}
	return q.config.MinSites > 0 && len(sites) >= q.config.MinSites
}

type requestObservations struct {
	fingerprint  Fingerprint
	observations []observation
}

// leastSuspect returns the request with the fewest observations, and among those the one
// whose first observation is the oldest. One that crashes server after server is kept,
// however many others were in flight with it once.
func leastSuspect(entries map[Fingerprint][]observation) requestObservations {
	var found requestObservations
	for f, observations := range entries {
		fewer := len(observations) - len(found.observations)
		if found.observations == nil || fewer < 0 || fewer == 0 && observations[0].at.Before(found.observations[0].at) {
			found = requestObservations{fingerprint: f, observations: observations}
		}
	}
	return found
}

// evictOldest removes the oldest completion.
func evictOldest(entries map[Fingerprint]time.Time) {
	var oldest Fingerprint
	first := true
	for f, at := range entries {
		if first || at.Before(entries[oldest]) {
			oldest, first = f, false
		}
	}
	delete(entries, oldest)
}

func hashCrash(c Crash) uint64 {
	return hashString(c.Group) + c.Epoch
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
