package quarantine

import (
	"slices"
	"time"

	"almondbay.example/core/attempt"
)

// PartPolicy is when crashes are blamed on a part of a prompt. Nearly all parts that ran
// during a crash are innocent: a later request that is answered acquits them, and parts
// that were answered before need more evidence than others. A part counts as answered at
// the time at which the request was sent.
type PartPolicy struct {
	// Quarantine tells how long crashes count, and for how many parts.
	Quarantine attempt.QuarantineConfig
	// New holds for parts that are not known to have been answered within AnsweredFor
	// before the first crash that counts, Answered for the others.
	New, Answered PartThreshold
	AnsweredFor   time.Duration
	// SuspectCrashes is the number of crashes under a new part from which requests with it
	// get no second try. Nodes that answered the part say so before that.
	SuspectCrashes int
	// Decisive is the number of crashes without another part, which is blamed too, that
	// tells a part apart from it.
	Decisive int
	// CommonCause is the time within which crashes may have one cause, such as a fault of a
	// rack: they make one episode.
	CommonCause time.Duration
}

// PartThreshold is the evidence that suffices to blame a part.
type PartThreshold struct {
	// Crashes is the number of crashes since the part was last answered.
	Crashes int
	// Episodes is the least number of episodes that these crashes make.
	Episodes int
	// Silence is the least time since the part was last answered.
	Silence time.Duration
}

// threshold returns the threshold for a part with the given evidence.
func (p PartPolicy) threshold(e attempt.Evidence) PartThreshold {
	if p.isNew(e) {
		return p.New
	}
	return p.Answered
}

// isNew reports whether a part was not answered for long before its first crash that
// counts.
func (p PartPolicy) isNew(e attempt.Evidence) bool {
	first := time.Duration(0)
	for _, obs := range e.Observations {
		first = max(first, obs.Age)
	}
	return !e.Completed || e.CompletedAge-first > p.AnsweredFor
}

// blames reports whether the evidence suffices to blame a part.
func (p PartPolicy) blames(e attempt.Evidence) bool {
	t := p.threshold(e)
	return len(e.Observations) >= t.Crashes && p.episodes(e) >= t.Episodes && (!e.Completed || e.CompletedAge >= t.Silence)
}

// episodes returns the number of times, apart by CommonCause, at which servers crashed.
func (p PartPolicy) episodes(e attempt.Evidence) int {
	ages := make([]time.Duration, 0, len(e.Observations))
	for _, obs := range e.Observations {
		ages = append(ages, obs.Age)
	}
	slices.Sort(ages)
	count := 0
	var start time.Duration
	for i, age := range ages {
		if i == 0 || age-start > p.CommonCause {
			count++
			start = age
		}
	}
	return count
}

// crashesOutside returns the number of crashes in one evidence that are not in another.
func crashesOutside(e, other attempt.Evidence) int {
	count := 0
	for _, obs := range e.Observations {
		if !slices.ContainsFunc(other.Observations, func(o attempt.CrashObservation) bool { return o.Crash == obs.Crash }) {
			count++
		}
	}
	return count
}
