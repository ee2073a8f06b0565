// Package relay distributes the tables of the platform's store within a failure
// domain: one node reads them and the others read from that node, which keeps the
// load on the store low. Rows keep the store's versions, so that a node that
// loses its source can continue from the same version at the store. At a source it
// continues from a position in the source's log: a version doesn't tell what the
// follower has, since a source keeps back what its log has a newer value for, and
// two nodes may know different values of the same version.
package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"almondbay.example/serving/platform"
)

// Error is the class of all errors of this package.
var Error = errs.Class("relay")

// row is the last known state of a row. That of a deleted one has its last value.
type row struct {
	platform.Change
	// changedAt is the index in the log of the row's last significant change.
	// Followers that have read less must receive the row.
	changedAt uint64
	// decoded is Value as the policy decodes it; nil if the row was deleted and its last
	// value isn't known.
	decoded any
	// deletedAt is when this node learned that the row was deleted; zero if it wasn't.
	deletedAt time.Time
}

// ValuePolicy compares values of the same row. A nil function allows everything: every
// new value differs and supersedes the old one.
type ValuePolicy struct {
	// Decode returns what the other functions compare. It is called once for each value,
	// since most rows are written again and again.
	Decode func(value []byte) any
	// Differs reports whether followers must receive a new value.
	Differs func(old, new any) bool
	// Supersedes reports whether a value that the store wrote later is newer by its content.
	// One that isn't was written late, and is ignored. Where it holds in one direction only,
	// the content decides, whatever the versions are.
	Supersedes func(old, new any) bool
}

// Position is how much of a log a follower has read.
type Position struct {
	// Log is the ID of the log; empty if the follower has read none.
	Log string
	// Index is the number of changes of the log that the follower has.
	Index uint64
}

// Log holds the last known rows of a table, including deleted ones, and serves
// the changes after any recent version. It is safe for concurrent use.
type Log struct {
	policy ValuePolicy
	// ordered is set if the policy tells which of two values is newer.
	ordered bool

	// id differs between all logs, also between those of two runs of a node.
	id string

	mu      sync.Mutex
	rows    map[string]row
	version uint64
	// index is that of the newest significant change.
	index uint64
	// completeFrom is the index from which on all changes are known. Those after
	// an older one are incomplete, since deletions were dropped or never seen.
	completeFrom uint64
	readAt       time.Time
	// failing is set if the last read of the table failed.
	failing bool
	// changed is closed and replaced when there are rows to notify or a read fails.
	changed chan struct{}
}

// maxDeleted limits the deleted rows that are kept. A follower that is further
// behind reads the whole table.
const maxDeleted = 2048

// lateWriteWindow is how long after the deletion of a row the nodes that start are told of
// it, so that they can recognize a late write. The store performs writes seconds late.
const lateWriteWindow = 10 * time.Second

// NewLog returns an empty log.
func NewLog(policy ValuePolicy) *Log {
	ordered := policy.Supersedes != nil
	always := func(_, _ any) bool { return true }
	if policy.Decode == nil {
		policy.Decode = func(value []byte) any { return value }
	}
	if policy.Differs == nil {
		policy.Differs = always
	}
	if policy.Supersedes == nil {
		policy.Supersedes = always
	}
	return &Log{policy: policy, ordered: ordered, id: uuid.NewString(), rows: map[string]row{}, changed: make(chan struct{})}
}

// Apply applies changes that were read from the store at the given time.
func (l *Log) Apply(c platform.Changes, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	notify := false
	for _, change := range c.Rows {
		notify = l.apply(change, now).notify || notify
	}
	l.recordRead(c.Version, now, notify)
}

// Replace replaces the table with a snapshot that was read from the store at the
// given time. Rows that the snapshot lacks are marked as deleted. A snapshot newer
// than the log does not show rows that were written and deleted in between. It reports
// whether the log has a newer value of a row, which differs from that in the snapshot.
func (l *Log) Replace(c platform.Changes, now time.Time) (ahead bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if c.Version > l.version {
		l.index++
		l.completeFrom = l.index
	}
	listed := make(map[string]bool, len(c.Rows))
	for _, change := range c.Rows {
		listed[change.Key] = true
		ahead = l.apply(change, now).ahead || ahead
	}
	for key, r := range l.rows {
		if !listed[key] && !r.Deleted {
			l.apply(platform.Change{Key: key, Version: c.Version, Deleted: true}, now)
		}
	}
	l.recordRead(c.Version, now, true)
	return ahead
}

// ApplyNewer applies those rows of another node's snapshot that are newer by their content
// than the ones that this log has, and returns them. It adds no rows: the store doesn't tell
// when one is deleted that it no longer has.
func (l *Log) ApplyNewer(rows []platform.Change, now time.Time) []platform.Change {
	l.mu.Lock()
	defer l.mu.Unlock()

	var newer []platform.Change
	for _, c := range rows {
		old, known := l.rows[c.Key]
		if !known || c.Deleted || !l.newerByContent(row{Change: c, decoded: l.policy.Decode(c.Value)}, old) {
			continue
		}
		c.Version = old.Version
		l.apply(c, now)
		newer = append(newer, c)
	}
	if len(newer) > 0 {
		l.wake()
	}
	return newer
}

// wake wakes waiting followers. It is called with mu held.
func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// applied is what came of applying the state of a row.
type applied struct {
	// notify is set if followers must receive it.
	notify bool
	// ahead is set if the known value is newer by its content, and differs.
	ahead bool
}

// apply stores a newer state of a row. A value that was written late leaves the row as it
// was, also if it was deleted. It is called with mu held.
func (l *Log) apply(c platform.Change, now time.Time) applied {
	old, known := l.rows[c.Key]
	next := row{Change: c}
	if !c.Deleted || c.Value != nil {
		next.decoded = l.policy.Decode(c.Value)
	}
	ahead := l.newerByContent(old, next) && l.policy.Differs(old.decoded, next.decoded)
	if known && c.Version <= old.Version {
		if !l.newerByContent(next, old) {
			return applied{ahead: ahead}
		}
		next.Version = old.Version
	}
	late := old.decoded != nil && next.decoded != nil && !l.policy.Supersedes(old.decoded, next.decoded)
	significant := true
	switch {
	case late && !c.Deleted:
		old.Version = c.Version
		l.rows[c.Key] = old
		return applied{ahead: ahead}
	case c.Deleted:
		next.deletedAt = now
		if known && (c.Value == nil || late) {
			next.Value, next.decoded = old.Value, old.decoded
		}
	case known && !old.Deleted && !l.policy.Differs(old.decoded, next.decoded):
		next.changedAt = old.changedAt
		significant = false
	}
	if significant {
		l.index++
		next.changedAt = l.index
	}
	l.rows[c.Key] = next
	return applied{notify: significant}
}

// newerByContent reports whether one value of a row is newer than another one whatever
// their versions are: a node may know it from before the store lost it, or from before the
// store performed a late write. Deletions are ordered by their versions alone.
func (l *Log) newerByContent(r, than row) bool {
	if !l.ordered || r.Deleted || than.Deleted || r.decoded == nil || than.decoded == nil {
		return false
	}
	return l.policy.Supersedes(than.decoded, r.decoded) && !l.policy.Supersedes(r.decoded, than.decoded)
}

// recordRead records a successful read and wakes waiting followers if notify is
// set. It is called with mu held.
func (l *Log) recordRead(version uint64, now time.Time, notify bool) {
	l.version = max(l.version, version)
	l.readAt = now
	l.failing = false
	l.compact()
	if notify {
		l.wake()
	}
}

// RecordFailure records that the table could not be read, and wakes waiting
// followers so that they read it elsewhere.
func (l *Log) RecordFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.failing {
		return
	}
	l.failing = true
	l.wake()
}

// compact drops the older half of the deleted rows when there are more than
// maxDeleted. It is called with mu held.
func (l *Log) compact() {
	var deleted []row
	for _, r := range l.rows {
		if r.Deleted {
			deleted = append(deleted, r)
		}
	}
	if len(deleted) <= maxDeleted {
		return
	}
	slices.SortFunc(deleted, func(a, b row) int { return cmp.Compare(a.Version, b.Version) })
	for _, r := range deleted[:len(deleted)/2] {
		delete(l.rows, r.Key)
		l.completeFrom = max(l.completeFrom, r.changedAt)
	}
}

// LogChanges holds the changes of a table after a position.
type LogChanges struct {
	platform.Changes
	// Position is that of a follower that has these changes.
	Position Position
	// Age is the time since the table was read from the store.
	Age time.Duration
	// HistoryLost is set when the log doesn't have all changes after the position, or the
	// position is in another log.
	HistoryLost bool
	// Available is false until the table was first read, and while reads fail.
	Available bool
	// Unread is set until the table was first read or a read has failed.
	Unread bool
	// changed is closed when there are further changes or a read fails.
	changed <-chan struct{}
}

// Since returns the rows that a follower at the position must receive, in the
// order of their versions.
func (l *Log) Since(after Position, now time.Time) LogChanges {
	l.mu.Lock()
	defer l.mu.Unlock()

	changes := l.since(after.Index, now)
	changes.HistoryLost = after.Log != l.id || after.Index < l.completeFrom
	return changes
}

// since returns the rows that changed after an index. It is called with mu held.
func (l *Log) since(after uint64, now time.Time) LogChanges {
	changes := LogChanges{
		Available: !l.readAt.IsZero() && !l.failing,
		Unread:    l.readAt.IsZero() && !l.failing,
		Age:       now.Sub(l.readAt),
		Position:  Position{Log: l.id, Index: l.index},
		changed:   l.changed,
	}
	changes.Version = l.version
	for _, r := range l.rows {
		if r.changedAt > after {
			changes.Rows = append(changes.Rows, r.Change)
		}
	}
	slices.SortFunc(changes.Rows, func(x, y platform.Change) int { return cmp.Compare(x.Version, y.Version) })
	return changes
}

// Snapshot returns all rows that are not deleted. If values are ordered by their content, it
// returns those that were deleted within lateWriteWindow, too.
func (l *Log) Snapshot(now time.Time) LogChanges {
	l.mu.Lock()
	defer l.mu.Unlock()

	changes := l.since(0, now)
	changes.Rows = slices.DeleteFunc(changes.Rows, func(c platform.Change) bool {
		return c.Deleted && (!l.ordered || c.Value == nil || now.Sub(l.rows[c.Key].deletedAt) > lateWriteWindow)
	})
	return changes
}
