package membership

import (
	"time"

	"almondbay.example/core/fleet"
)

// maxAge is the largest age that is sent or accepted. It exceeds the time for
// which any report counts as evidence that a member is alive.
const maxAge = time.Hour

// ProbeResult is the result of a prober's last probe of one member.
type ProbeResult struct {
	Member string
	// Missing is set while the member does not respond; Report is then its last
	// report, or zero if it has never responded.
	Missing bool
	// LoadOnly is set in a delta if only the load has changed since the version
	// that the receiver holds; only Report.Load is then set.
	LoadOnly bool
	Report   fleet.Report
}

// entry is the state of one member in a section.
type entry struct {
	result ProbeResult
	// version is the section's version that last changed the entry.
	version uint64
	// stateVersion is the section's version that last changed anything but the
	// load.
	stateVersion uint64
	// dropped marks a member that the prober no longer probes.
	dropped bool
	// probedAt is the time of the last probe; set only in the node's own
	// section.
	probedAt time.Time
}

// Position identifies one version of one section.
type Position struct {
	// Node is the prober that publishes the section.
	Node string
	// Incarnation increases with each start of the prober.
	Incarnation uint64
	// Version increases with each change of the section.
	Version uint64
}

// newer reports whether p is a later version than q of the same section.
func (p Position) newer(q Position) bool {
	if p.Incarnation != q.Incarnation {
		return p.Incarnation > q.Incarnation
	}
	return p.Version > q.Version
}

// Delta updates a section from one version to the later one in Position.
type Delta struct {
	Position
	// Age is the time since the oldest probe behind the version.
	Age time.Duration
	// Base is the version that the delta applies to, or zero if the delta holds
	// the complete section.
	Base    uint64
	Results []ProbeResult
	// Dropped lists the members that the prober no longer probes.
	Dropped []string
}

// section is a node's copy of one prober's section.
type section struct {
	position Position
	// confirmedAt is a time, by this node's clock, that is no later than the
	// oldest of the probes whose results the version holds.
	confirmedAt time.Time
	// updatedAt is when position or confirmedAt last changed.
	updatedAt time.Time
	// entries holds the members by ID.
	entries map[string]*entry
}

func newSection(node string, incarnation uint64) *section {
	return &section{
		position: Position{Node: node, Incarnation: incarnation},
		entries:  make(map[string]*entry),
	}
}

// age returns the time since the oldest probe behind the current version, from
// zero to maxAge.
func (s *section) age(now time.Time) time.Duration {
	return min(max(now.Sub(s.confirmedAt), 0), maxAge)
}

// probedAt returns a time no later than the oldest probe behind a delta that was
// sent no earlier than sentAt. It returns the zero time for an age out of range,
// as the age comes from a peer.
func (d Delta) probedAt(sentAt time.Time) time.Time {
	if d.Age < 0 || d.Age > maxAge {
		return time.Time{}
	}
	return sentAt.Add(-d.Age)
}

// confirm advances confirmedAt if the given time is later.
func (s *section) confirm(confirmedAt, now time.Time) {
	if confirmedAt.After(s.confirmedAt) {
		s.confirmedAt = confirmedAt
		s.updatedAt = now
	}
}

// since returns the changes after version base, or the complete section if base
// is zero.
func (s *section) since(base uint64, now time.Time) Delta {
	d := Delta{Position: s.position, Age: s.age(now), Base: base}
	for member, e := range s.entries {
		switch {
		case e.version <= base:
		case e.dropped:
			d.Dropped = append(d.Dropped, member)
		case e.stateVersion <= base:
			load := fleet.Report{Load: e.result.Report.Load}
			d.Results = append(d.Results, ProbeResult{Member: member, LoadOnly: true, Report: load})
		default:
			d.Results = append(d.Results, e.result)
		}
	}
	return d
}

// apply advances the section to the delta's version. The caller has checked that
// the section holds the delta's base; the delta was sent no earlier than sentAt.
func (s *section) apply(d Delta, sentAt, now time.Time) {
	if d.Base == 0 {
		s.entries = make(map[string]*entry, len(d.Results))
	}
	for _, result := range d.Results {
		e := &entry{result: result, version: d.Version, stateVersion: d.Version}
		if current := s.entries[result.Member]; result.LoadOnly && current != nil {
			e.result, e.stateVersion = current.result, current.stateVersion
			e.result.Report.Load = result.Report.Load
		}
		s.entries[result.Member] = e
	}
	for _, member := range d.Dropped {
		s.entries[member] = &entry{version: d.Version, dropped: true}
	}
	s.position = d.Position
	s.confirmedAt = d.probedAt(sentAt)
	s.updatedAt = now
}
