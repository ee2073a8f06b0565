package platform

import (
	"context"
	"fmt"
	"time"
)

// Change is the new state of a changed row.
type Change struct {
	// Key is the row's key within its table.
	Key     string
	Version uint64
	Value   []byte
	// Deleted is set if the row was deleted; Value is then its last value, or nil if that
	// isn't known.
	Deleted bool
}

// Changes is a result of a feed or of the scan of a whole table.
type Changes struct {
	// Rows is sorted by Version for a feed and by Key for a scan.
	Rows []Change
	// Version is the version at which the table was read. A feed continues from
	// it.
	Version uint64
}

// Feed reports changes to a table, so that its readers need not poll the whole
// table.
type Feed interface {
	// Scan returns all rows of a table.
	Scan(ctx context.Context, table string) (Changes, error)
	// Changes returns the rows changed after a version. It waits until there is
	// such a row, but for wait at most. It returns a HistoryLostError if the
	// store no longer has all changes after the version.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// Committer applies transactions and reports the version of the written rows.
type Committer interface {
	// CommitVersion applies a transaction like Table.Commit. It returns the
	// version of the written rows, so that the next transaction with a condition
	// on them need not read them first.
	CommitVersion(ctx context.Context, t Transaction) (version uint64, err error)
}

// HistoryLostError reports that the store no longer has all changes to a table
// after a version; the table must be scanned again.
type HistoryLostError struct {
	Table   string
	Version uint64
}

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("platform: changes to table %q after version %d are no longer available", e.Table, e.Version)
}
