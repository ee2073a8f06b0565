package membership

import (
	"slices"
	"time"

	"almondbay.example/core/fleet"
)

// Config configures a Table.
type Config struct {
	// Node is the ID of the node that the table belongs to.
	Node string
	// Incarnation differs from that of the node's former starts and is best
	// higher; the time of the start in nanoseconds does. A table that meets its
	// own section of a higher incarnation moves above it.
	Incarnation uint64
	// LoadInterval is the least time between two spread changes of a member's
	// load while all else stays the same.
	LoadInterval time.Duration
	// NodeTimeout is the time after which a node that nobody confirms counts as
	// lost; below ForgetAfter.
	NodeTimeout time.Duration
	// SectionTTL is the time after which a silent prober's section is
	// forgotten.
	SectionTTL time.Duration
}

// Table holds the sections of all probers of a failure domain at one node. It
// is not safe for concurrent use.
type Table struct {
	config   Config
	own      *section
	sections map[string]*section
	// listed holds when each node was first listed.
	listed map[string]time.Time
}

// NewTable returns a table with an empty section of its own.
func NewTable(c Config, now time.Time) *Table {
	own := newSection(c.Node, c.Incarnation)
	own.position.Version = 1
	own.confirmedAt = now
	return &Table{
		config: c, own: own,
		sections: map[string]*section{c.Node: own},
		listed:   make(map[string]time.Time),
	}
}

// Assign sets the members that this node probes.
func (t *Table) Assign(members []string, now time.Time) {
	assigned := make(map[string]bool, len(members))
	for _, m := range members {
		assigned[m] = true
		if e := t.own.entries[m]; e == nil || e.dropped {
			t.change(&entry{sighting: ProbeResult{Member: m, Missing: true}, probedAt: now}, m)
		}
	}
	for m, e := range t.own.entries {
		if !assigned[m] && !e.dropped {
			t.change(&entry{dropped: true}, m)
		}
	}
}

// RecordProbe takes the outcome of a probe that was sent at sentAt. It reports
// whether the own section changed, which is to be passed on at once.
func (t *Table) RecordProbe(s ProbeResult, sentAt time.Time) bool {
	e := t.own.entries[s.Member]
	if e == nil || e.dropped || sentAt.Before(e.probedAt) {
		return false
	}
	s.Report.SeenAt = time.Time{}
	last := e.sighting
	if s.Missing {
		s.Report = last.Report
	}
	e.probedAt = sentAt
	changed := s.Missing != last.Missing || !sameState(s.Report, last.Report)
	if !changed && (s.Report.Load == last.Report.Load || sentAt.Sub(e.loadAt()) < t.config.LoadInterval) {
		return false
	}
	next := &entry{sighting: s, probedAt: sentAt}
	if !changed {
		next.stateVersion = e.stateVersion
	}
	t.change(next, s.Member)
	t.own.entries[s.Member].sighting.Report.SeenAt = sentAt
	return changed
}

// loadAt returns when the load of the own sighting was spread.
func (e *entry) loadAt() time.Time { return e.sighting.Report.SeenAt }

func (t *Table) change(e *entry, member string) {
	t.own.position.Version++
	e.version = t.own.position.Version
	if e.stateVersion == 0 {
		e.stateVersion = e.version
	}
	t.own.entries[member] = e
}

// refresh sets the age of the own section from its oldest probe. Members that
// are missing prove nothing, so that their probes, which take longest, don't
// count.
func (t *Table) refresh(now time.Time) {
	oldest := now
	for _, e := range t.own.entries {
		if !e.dropped && !e.sighting.Missing && e.probedAt.Before(oldest) {
			oldest = e.probedAt
		}
	}
	t.own.confirmedAt = oldest
	t.own.heardAt = now
}

// sameState reports whether two reports differ in load alone.
func sameState(a, b fleet.Report) bool {
	if a.Identity != b.Identity || a.Phase != b.Phase || a.Term != b.Term || a.Leaving != b.Leaving {
		return false
	}
	return slices.Equal(a.Adapters, b.Adapters)
}

// outcome tells what became of a delta.
type outcome int

const (
	// outcomeKnown means that the table held as much.
	outcomeKnown outcome = iota
	outcomeMoved
	// outcomeGap means that the delta starts from a version that the table does
	// not hold.
	outcomeGap
)

// apply takes a delta that was sent no earlier than sentAt.
func (t *Table) apply(d Delta, sentAt, now time.Time) outcome {
	if d.Node == t.config.Node {
		t.outlive(d.Position)
		return outcomeKnown
	}
	s := t.sections[d.Node]
	if s == nil {
		s = newSection(d.Node, 0)
	}
	if !d.newer(s.position) {
		if d.Position == s.position {
			s.confirm(d.probedAt(sentAt), now)
		}
		return outcomeKnown
	}
	if d.Base != 0 && (d.Incarnation != s.position.Incarnation || d.Base > s.position.Version) {
		return outcomeGap
	}
	s.apply(d, sentAt, now)
	t.sections[d.Node] = s
	return outcomeMoved
}

// outlive moves the own section above a former start's, which peers still hold.
func (t *Table) outlive(former Position) {
	if former.newer(t.own.position) {
		t.own.position.Incarnation = former.Incarnation + 1
	}
}

// Live returns the listed nodes that are not silent. The platform's list lags;
// silence shows within SilentAfter. A node that was just listed has as long to
// be heard.
func (t *Table) Live(listed []string, now time.Time) []string {
	var live []string
	since := make(map[string]time.Time, len(listed))
	for _, node := range listed {
		at, known := t.listed[node]
		if !known {
			at = now
		}
		since[node] = at
		if s := t.sections[node]; s != nil && s.confirmedAt.After(at) {
			at = s.confirmedAt
		}
		if node == t.config.Node || now.Sub(at) <= t.config.NodeTimeout {
			live = append(live, node)
		}
	}
	t.listed = since
	return live
}

// Expire drops the sections of probers that were silent for too long.
func (t *Table) Expire(now time.Time) {
	for node, s := range t.sections {
		if s != t.own && now.Sub(s.heardAt) > t.config.SectionTTL {
			delete(t.sections, node)
		}
	}
}

// Reports returns the reports of all members that a prober has seen answering,
// the fresher of two. Report.SeenAt is the time that the probe behind it was
// sent at the latest, by this node's clock.
func (t *Table) Reports(now time.Time) map[string]fleet.Report {
	t.refresh(now)
	reports := make(map[string]fleet.Report)
	for _, s := range t.sections {
		for member, e := range s.entries {
			if e.dropped || e.sighting.Missing || e.sighting.LoadOnly {
				continue
			}
			r := e.sighting.Report
			r.SeenAt = s.confirmedAt
			if s == t.own {
				r.SeenAt = e.probedAt
			}
			if last, ok := reports[member]; !ok || r.SeenAt.After(last.SeenAt) {
				reports[member] = r
			}
		}
	}
	return reports
}
