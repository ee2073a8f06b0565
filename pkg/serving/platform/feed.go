package platform

import (
	"context"
	"fmt"
	"time"
)

// Change is a row as a feed tells of it.
type Change struct {
	// Key is the row's key within its table.
	Key     string
	Version uint64
	Value   []byte
	// Deleted is set when the row is gone; Value is then nil.
	Deleted bool
}

// Changes is a part of a feed, or a whole table.
type Changes struct {
	// Rows is in the order of Version for a feed, of Key for a whole table.
	Rows []Change
	// Version is the version that the table was read at.
	Version uint64
}

// Feed tells what changes in a table, so that lists needn't be read again.
type Feed interface {
	// Scan returns all rows of a table.
	Scan(ctx context.Context, table string) (Changes, error)
	// Changes returns the rows changed after a version, as soon as there is one
	// and after wait at the latest. It returns a HistoryLostError when the
	// history does not reach back that far.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// Committer applies transactions and tells the version that their writes have,
// so that the next condition on them needs no read.
type Committer interface {
	CommitVersion(ctx context.Context, t Transaction) (version uint64, err error)
}

// HistoryLostError reports that the changes after a version are no longer known.
type HistoryLostError struct {
	Table   string
	Version uint64
}

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("platform: history of table %q after version %d is lost", e.Table, e.Version)
}
