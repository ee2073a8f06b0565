package environment

import (
	"context"
	"errors"
	"time"

	"almondbay.example/core/revision"
	"almondbay.example/serving/platform"
)

// command is an operator's command that is to be committed to the platform.
type command struct {
	operation string
	// parent is the revision of the target that the author expects to be in
	// force.
	parent uint64
	// source is the environment that a promotion reads; else empty.
	source string
	target string
	// decide returns the row to write to the target, or the target's row if
	// nothing is to be written.
	decide func(source, target revision.Row, now time.Time) (revision.Row, error)
}

// run attempts a command until its outcome is known or the attempts are used up.
//
// Every write is conditional on the versions that were read. At most one of all
// attempts of a command is therefore applied, including those that reach the
// platform late. An attempt that follows a lost response either finds the
// operation in the history, or its own write invalidates the condition of the
// earlier one.
func (s *Store) run(ctx context.Context, c command) (revision.Entry, error) {
	var outcomeUnknown bool
	var lastErr error
	for attempt := range s.config.Attempts {
		if attempt > 0 {
			if err := s.waitRetryDelay(ctx); err != nil {
				break
			}
		}
		entry, done, err := s.attempt(ctx, c, outcomeUnknown)
		if done {
			return entry, err
		}
		outcomeUnknown = outcomeUnknown || (errors.As(err, new(*writeError)) && !isRejected(err))
		lastErr = err
	}
	if outcomeUnknown {
		return revision.Entry{}, &UnknownOutcomeError{Operation: c.operation, Cause: lastErr}
	}
	return revision.Entry{}, &UnavailableError{Cause: lastErr}
}

// writeError wraps an error of a commit, to distinguish it from one of a read.
type writeError struct {
	cause error
}

func (e *writeError) Error() string { return e.cause.Error() }

func (e *writeError) Unwrap() error { return e.cause }

// attempt reads the rows, decides, and commits once. It returns done if the
// outcome of the command is known, and outcomeUnknown says whether that of an
// earlier attempt is not.
func (s *Store) attempt(ctx context.Context, c command, outcomeUnknown bool) (entry revision.Entry, done bool, err error) {
	source, target, err := s.readBoth(ctx, c)
	if err != nil {
		return revision.Entry{}, false, err
	}
	next, err := c.decide(source.row, target.row, s.config.Clock.Now())
	if err != nil {
		return revision.Entry{}, !outcomeUnknown || neverApplied(target.row, c), err
	}
	if accepted, ok := next.Accepted(c.operation); ok && next.Revision == target.row.Revision {
		return accepted, true, nil
	}
	if next.Revision == target.row.Revision {
		return next.Entry, true, nil
	}
	err = s.config.Table.Commit(ctx, transaction(c, source, target, next))
	if isConflict(err) {
		// The next attempt reads the rows again and decides on them.
		return revision.Entry{}, false, err
	}
	if err != nil {
		return revision.Entry{}, false, &writeError{cause: err}
	}
	return next.Entry, true, nil
}

// neverApplied reports whether the history shows that no attempt of the command
// was or will be applied. This is so if another operation made revision
// parent+1, since every write of the command is conditional on the parent being
// in force.
func neverApplied(target revision.Row, c command) bool {
	successor, known := target.Find(c.parent + 1)
	return known && successor.Operation != c.operation
}

func (s *Store) readBoth(ctx context.Context, c command) (source, target versionedRow, err error) {
	if c.source != "" {
		source, err = s.read(ctx, c.source)
		if err != nil {
			return versionedRow{}, versionedRow{}, err
		}
	}
	target, err = s.read(ctx, c.target)
	return source, target, err
}

func transaction(c command, source, target versionedRow, next revision.Row) platform.Transaction {
	key := rowPrefix + c.target
	t := platform.Transaction{
		Operation:  c.operation,
		Conditions: []platform.Condition{{Key: key, Version: target.version}},
		Writes:     []platform.Write{{Key: key, Value: encodeRow(next)}},
	}
	if c.source != "" {
		t.Conditions = append(t.Conditions, platform.Condition{Key: rowPrefix + c.source, Version: source.version})
	}
	return t
}
