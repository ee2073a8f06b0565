// Package relay passes what one node of a failure domain reads from the
// platform's store on to the others, so that the store is read few times. Rows
// keep the versions of the store: a node that loses its source goes on from the
// same version at the store itself.
package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"almondbay.example/serving/platform"
)

// Error is the class of all errors of this package.
var Error = errs.Class("relay")

// row is the last state of a row.
type row struct {
	platform.Change
	// notifyVersion is the version from which on a listener must hear of the row.
	notifyVersion uint64
}

// Log holds a table as it was last read, deletions included.
type Log struct {
	// differs reports whether listeners must hear of a new value.
	differs func(old, new []byte) bool

	mu      sync.Mutex
	rows    map[string]row
	version uint64
	// floor is the version of the newest deletion that was forgotten.
	floor  uint64
	readAt time.Time
	// failing is set while the last reading of the table has failed.
	failing bool
	// changed is closed when version grows past what listeners wait for.
	changed chan struct{}
}

// maxDeleted bounds the deletions that are remembered; a listener further
// behind reads the whole table.
const maxDeleted = 2048

// NewLog returns an empty log. Without a function every new value is passed on.
func NewLog(differs func(old, new []byte) bool) *Log {
	if differs == nil {
		differs = func(_, _ []byte) bool { return true }
	}
	return &Log{differs: differs, rows: map[string]row{}, changed: make(chan struct{})}
}

// Apply takes in changes that were read at a time.
func (l *Log) Apply(c platform.Changes, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	news := false
	for _, change := range c.Rows {
		news = l.apply(change) || news
	}
	l.read(c.Version, now, news)
}

// Replace takes in a whole table that was read at a time.
func (l *Log) Replace(c platform.Changes, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	listed := make(map[string]bool, len(c.Rows))
	for _, change := range c.Rows {
		listed[change.Key] = true
		l.apply(change)
	}
	for key, r := range l.rows {
		if !listed[key] && !r.Deleted {
			l.apply(platform.Change{Key: key, Version: c.Version, Deleted: true})
		}
	}
	l.read(c.Version, now, true)
}

func (l *Log) apply(c platform.Change) bool {
	old, known := l.rows[c.Key]
	if known && c.Version <= old.Version {
		return false
	}
	next := row{Change: c, notifyVersion: c.Version}
	if known && !c.Deleted && !old.Deleted && !l.differs(old.Value, c.Value) {
		next.notifyVersion = old.notifyVersion
	}
	l.rows[c.Key] = next
	return next.notifyVersion == c.Version
}

// read is called with mu held.
func (l *Log) read(version uint64, now time.Time, news bool) {
	l.version = max(l.version, version)
	l.readAt = now
	l.failing = false
	l.forget()
	if news {
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// RecordFailure notes that the table could not be read. Whoever waits for it is told.
func (l *Log) RecordFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.failing {
		return
	}
	l.failing = true
	close(l.changed)
	l.changed = make(chan struct{})
}

// forget drops the oldest deletions when there are too many.
func (l *Log) forget() {
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
		l.floor = max(l.floor, r.Version)
	}
}

// LogChanges is what a log knows after a version.
type LogChanges struct {
	platform.Changes
	// Age is the time since the table was read from the store.
	Age time.Duration
	// HistoryLost is set when the log does not reach back to the version.
	HistoryLost bool
	// Available is false before the table was ever read, and while it can't be.
	Available bool
	// more is closed when there is more to tell.
	changed <-chan struct{}
}

// Since returns the rows that a listener at a version must hear of.
func (l *Log) Since(after uint64, now time.Time) LogChanges {
	l.mu.Lock()
	defer l.mu.Unlock()

	a := LogChanges{Available: !l.readAt.IsZero() && !l.failing, Age: now.Sub(l.readAt), HistoryLost: after < l.floor, changed: l.changed}
	a.Version = max(l.version, after)
	for _, r := range l.rows {
		if r.notifyVersion > after {
			a.Rows = append(a.Rows, r.Change)
		}
	}
	slices.SortFunc(a.Rows, func(x, y platform.Change) int { return cmp.Compare(x.Version, y.Version) })
	return a
}

// Snapshot returns all rows that are there.
func (l *Log) Snapshot(now time.Time) LogChanges {
	a := l.Since(0, now)
	a.HistoryLost = false
	a.Rows = slices.DeleteFunc(a.Rows, func(c platform.Change) bool { return c.Deleted })
	return a
}
