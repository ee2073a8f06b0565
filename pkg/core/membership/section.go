package membership

import (
	"time"

	"almondbay.example/core/fleet"
)

// maxAge bounds the ages that are told; no proof lasts as long.
const maxAge = time.Hour

// ProbeResult is what a prober last saw of one member.
type ProbeResult struct {
	Member string
	// Missing is set while the member doesn't answer; Report is then the last
	// one that it gave, or zero.
	Missing bool
	// LoadOnly is set in a delta whose receiver holds all else; Report then
	// has the member's load alone.
	LoadOnly bool
	Report   fleet.Report
}

// entry is a sighting with the section's version that brought it.
type entry struct {
	sighting ProbeResult
	version  uint64
	// stateVersion is the section's version that last changed more than the
	// load.
	stateVersion uint64
	dropped      bool
	// probedAt is meaningful in the own section only.
	probedAt time.Time
}

// Position tells how far a node holds one section.
type Position struct {
	// Node is the prober whose section it is.
	Node string
	// Incarnation grows with each start of the prober.
	Incarnation uint64
	Version     uint64
}

// newer reports whether p is further than q of the same section.
func (p Position) newer(q Position) bool {
	if p.Incarnation != q.Incarnation {
		return p.Incarnation > q.Incarnation
	}
	return p.Version > q.Version
}

// Delta brings a section from one version to a later one.
type Delta struct {
	Position
	// Age is the time since the oldest probe behind the version.
	Age time.Duration
	// Base is the version that the delta starts from; zero for a whole section.
	Base    uint64
	Results []ProbeResult
	// Dropped lists the members that the prober does not probe any more.
	Dropped []string
}

// section is what a node holds of one prober's section.
type section struct {
	position Position
	// confirmedAt is no later than the oldest probe behind the version, by the
	// holder's clock.
	confirmedAt time.Time
	// heardAt is when the section last moved or was confirmed anew.
	heardAt time.Time
	entries map[string]*entry
}

func newSection(node string, incarnation uint64) *section {
	return &section{
		position: Position{Node: node, Incarnation: incarnation},
		entries:  make(map[string]*entry),
	}
}

// age returns the time since the oldest probe behind the version held.
func (s *section) age(now time.Time) time.Duration {
	return min(max(now.Sub(s.confirmedAt), 0), maxAge)
}

// probedAt returns the time of the oldest probe behind a delta that was sent no
// earlier than sentAt. A peer's age is not trusted to be in range.
func (d Delta) probedAt(sentAt time.Time) time.Time {
	if d.Age < 0 || d.Age > maxAge {
		return time.Time{}
	}
	return sentAt.Add(-d.Age)
}

// confirm takes over a fresher time of the oldest probe behind the version.
func (s *section) confirm(confirmedAt, now time.Time) {
	if confirmedAt.After(s.confirmedAt) {
		s.confirmedAt = confirmedAt
		s.heardAt = now
	}
}

// since returns the changes after version base.
func (s *section) since(base uint64, now time.Time) Delta {
	d := Delta{Position: s.position, Age: s.age(now), Base: base}
	for member, e := range s.entries {
		switch {
		case e.version <= base:
		case e.dropped:
			d.Dropped = append(d.Dropped, member)
		case e.stateVersion <= base:
			load := fleet.Report{Load: e.sighting.Report.Load}
			d.Results = append(d.Results, ProbeResult{Member: member, LoadOnly: true, Report: load})
		default:
			d.Results = append(d.Results, e.sighting)
		}
	}
	return d
}

// apply moves the section to the delta's version, which fits and was sent no
// earlier than sentAt.
func (s *section) apply(d Delta, sentAt, now time.Time) {
	if d.Base == 0 {
		s.entries = make(map[string]*entry, len(d.Results))
	}
	for _, sighting := range d.Results {
		e := &entry{sighting: sighting, version: d.Version, stateVersion: d.Version}
		if held := s.entries[sighting.Member]; sighting.LoadOnly && held != nil {
			e.sighting, e.stateVersion = held.sighting, held.stateVersion
			e.sighting.Report.Load = sighting.Report.Load
		}
		s.entries[sighting.Member] = e
	}
	for _, member := range d.Dropped {
		s.entries[member] = &entry{version: d.Version, dropped: true}
	}
	s.position = d.Position
	s.confirmedAt = d.probedAt(sentAt)
	s.heardAt = now
}
