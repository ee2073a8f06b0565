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
	// Incarnation must differ from those of the node's previous starts and
	// should be higher, such as the start time in nanoseconds. A table that
	// receives its own section with a higher incarnation raises its own above
	// that one.
	Incarnation uint64
	// LoadInterval is the minimum time between two published changes of a
	// member's load while the rest of its report is unchanged.
	LoadInterval time.Duration
	// NodeTimeout is the time without a confirmation of its section after which
	// a node counts as lost; below SectionTTL.
	NodeTimeout time.Duration
	// SectionTTL is the time without an update after which the section of a
	// prober is deleted.
	SectionTTL time.Duration
}

// Table is one node's copy of the sections of all probers of its failure domain.
// It is not safe for concurrent use.
type Table struct {
	config Config
	// own is the section that this node publishes; it is also in sections.
	own      *section
	sections map[string]*section
	// listedSince holds the time at which each listed node was first listed.
	listedSince map[string]time.Time
}

// NewTable returns a table that holds only the node's own, empty section.
func NewTable(c Config, now time.Time) *Table {
	own := newSection(c.Node, c.Incarnation)
	own.position.Version = 1
	own.confirmedAt = now
	return &Table{
		config: c, own: own,
		sections:    map[string]*section{c.Node: own},
		listedSince: make(map[string]time.Time),
	}
}

// Assign sets the members that this node probes. New members count as missing
// until they respond to a probe.
func (t *Table) Assign(members []string, now time.Time) {
	assigned := make(map[string]bool, len(members))
	for _, m := range members {
		assigned[m] = true
		if e := t.own.entries[m]; e == nil || e.dropped {
			t.change(&entry{result: ProbeResult{Member: m, Missing: true}, probedAt: now}, m)
		}
	}
	for m, e := range t.own.entries {
		if !assigned[m] && !e.dropped {
			t.change(&entry{dropped: true}, m)
		}
	}
}

// RecordProbe records the result of a probe that was sent at sentAt. It reports
// whether anything but the load changed, which the caller should forward
// immediately. Results for members that are not assigned, and those older than
// the last one, are ignored.
func (t *Table) RecordProbe(s ProbeResult, sentAt time.Time) bool {
	e := t.own.entries[s.Member]
	if e == nil || e.dropped || sentAt.Before(e.probedAt) {
		return false
	}
	s.Report.SeenAt = time.Time{}
	last := e.result
	if s.Missing {
		s.Report = last.Report
	}
	e.probedAt = sentAt
	changed := s.Missing != last.Missing || !sameState(s.Report, last.Report)
	if !changed && (s.Report.Load == last.Report.Load || sentAt.Sub(e.loadAt()) < t.config.LoadInterval) {
		return false
	}
	next := &entry{result: s, probedAt: sentAt}
	if !changed {
		next.stateVersion = e.stateVersion
	}
	t.change(next, s.Member)
	t.own.entries[s.Member].result.Report.SeenAt = sentAt
	return changed
}

// loadAt returns the time of the probe whose load was last published. In the own
// section, Report.SeenAt holds this time.
func (e *entry) loadAt() time.Time { return e.result.Report.SeenAt }

// change replaces an entry of the own section and increments its version.
func (t *Table) change(e *entry, member string) {
	t.own.position.Version++
	e.version = t.own.position.Version
	if e.stateVersion == 0 {
		e.stateVersion = e.version
	}
	t.own.entries[member] = e
}

// refresh sets the confirmation time of the own section to that of its oldest
// probe. Missing members are left out: their results are no evidence that a
// member is alive, and their probes take longest, so that they would age the
// results of all other members.
func (t *Table) refresh(now time.Time) {
	oldest := now
	for _, e := range t.own.entries {
		if !e.dropped && !e.result.Missing && e.probedAt.Before(oldest) {
			oldest = e.probedAt
		}
	}
	t.own.confirmedAt = oldest
	t.own.updatedAt = now
}

// sameState reports whether two reports are equal except for load and time.
func sameState(a, b fleet.Report) bool {
	if a.Identity != b.Identity || a.Phase != b.Phase || a.Term != b.Term || a.Leaving != b.Leaving {
		return false
	}
	return slices.Equal(a.Adapters, b.Adapters)
}

// outcome is the effect of a delta on a table.
type outcome int

const (
	// outcomeUnchanged means that the table already held the delta's version or
	// a later one.
	outcomeUnchanged outcome = iota
	// outcomeAdvanced means that the section advanced to the delta's version.
	outcomeAdvanced
	// outcomeGap means that the table does not hold the version that the delta
	// applies to.
	outcomeGap
)

// apply applies a delta that was sent no earlier than sentAt.
func (t *Table) apply(d Delta, sentAt, now time.Time) outcome {
	if d.Node == t.config.Node {
		t.supersede(d.Position)
		return outcomeUnchanged
	}
	s := t.sections[d.Node]
	if s == nil {
		s = newSection(d.Node, 0)
	}
	if !d.newer(s.position) {
		if d.Position == s.position {
			s.confirm(d.probedAt(sentAt), now)
		}
		return outcomeUnchanged
	}
	if d.Base != 0 && (d.Incarnation != s.position.Incarnation || d.Base > s.position.Version) {
		return outcomeGap
	}
	s.apply(d, sentAt, now)
	t.sections[d.Node] = s
	return outcomeAdvanced
}

// supersede raises the incarnation of the own section above that of a previous
// start, whose section peers still hold.
func (t *Table) supersede(previous Position) {
	if previous.newer(t.own.position) {
		t.own.position.Incarnation = previous.Incarnation + 1
	}
}

// Live returns the listed nodes whose sections were confirmed within
// NodeTimeout, and the node itself. The platform's list still holds a lost node
// for some time. A newly listed node counts as live for NodeTimeout without a
// confirmation.
func (t *Table) Live(listed []string, now time.Time) []string {
	var live []string
	since := make(map[string]time.Time, len(listed))
	for _, node := range listed {
		at, known := t.listedSince[node]
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
	t.listedSince = since
	return live
}

// Expire deletes the sections that were not updated within SectionTTL.
func (t *Table) Expire(now time.Time) {
	for node, s := range t.sections {
		if s != t.own && now.Sub(s.updatedAt) > t.config.SectionTTL {
			delete(t.sections, node)
		}
	}
}

// Reports returns the reports of all members that a prober does not report as
// missing, by member; of several reports the one with the latest SeenAt.
// Report.SeenAt is a time, by this node's clock, no later than that at which the
// probe behind the report was sent.
func (t *Table) Reports(now time.Time) map[string]fleet.Report {
	t.refresh(now)
	reports := make(map[string]fleet.Report)
	for _, s := range t.sections {
		for member, e := range s.entries {
			if e.dropped || e.result.Missing || e.result.LoadOnly {
				continue
			}
			r := e.result.Report
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
