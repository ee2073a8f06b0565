package environment

import (
	"context"
	"errors"
	"time"

	"almondbay.example/core/revision"
	"almondbay.example/serving/platform"
)

// command is one operator's command on its way to the platform.
type command struct {
	operation string
	// parent is the revision of the target that the author saw.
	parent uint64
	// source is empty unless the command reads another environment.
	source string
	target string
	// decide returns the row of the target to write, or the row unchanged.
	decide func(source, target revision.Row, now time.Time) (revision.Row, error)
}

// run tries a command until its outcome is known.
//
// Every write has the versions that were read as its conditions, so that of all
// tries of a command, late ones included, at most one is applied. A try that
// follows a lost answer therefore either finds the operation in the history or
// makes the earlier write fail for good.
func (s *Store) run(ctx context.Context, c command) (revision.Entry, error) {
	var unknown bool
	var last error
	for try := range s.config.Attempts {
		if try > 0 {
			if err := s.sleep(ctx); err != nil {
				break
			}
		}
		entry, done, err := s.try(ctx, c, unknown)
		if done {
			return entry, err
		}
		unknown = unknown || (errors.As(err, new(*writeError)) && !isRefused(err))
		last = err
	}
	if unknown {
		return revision.Entry{}, &UnknownOutcomeError{Operation: c.operation, Cause: last}
	}
	return revision.Entry{}, &UnavailableError{Cause: last}
}

// writeError marks an error of a commit, as against one of a read.
type writeError struct {
	cause error
}

func (e *writeError) Error() string { return e.cause.Error() }

func (e *writeError) Unwrap() error { return e.cause }

// try reads, decides and writes once. It is done when the outcome is known.
func (s *Store) try(ctx context.Context, c command, unknown bool) (entry revision.Entry, done bool, err error) {
	source, target, err := s.readBoth(ctx, c)
	if err != nil {
		return revision.Entry{}, false, err
	}
	next, err := c.decide(source.row, target.row, s.config.Clock.Now())
	if err != nil {
		return revision.Entry{}, !unknown || lostForGood(target.row, c), err
	}
	if accepted, ok := next.Accepted(c.operation); ok && next.Revision == target.row.Revision {
		return accepted, true, nil
	}
	if next.Revision == target.row.Revision {
		return next.Entry, true, nil
	}
	err = s.config.Table.Commit(ctx, transaction(c, source, target, next))
	if isConflict(err) {
		// The next try reads what was written in between and decides anew.
		return revision.Entry{}, false, err
	}
	if err != nil {
		return revision.Entry{}, false, &writeError{cause: err}
	}
	return next.Entry, true, nil
}

// lostForGood tells whether the history shows that no try of the command was
// applied or ever will be: another operation took the revision that each of
// its writes is conditioned to make.
func lostForGood(target revision.Row, c command) bool {
	taken, known := target.Find(c.parent + 1)
	return known && taken.Operation != c.operation
}

func (s *Store) readBoth(ctx context.Context, c command) (source, target versioned, err error) {
	if c.source != "" {
		source, err = s.read(ctx, c.source)
		if err != nil {
			return versioned{}, versioned{}, err
		}
	}
	target, err = s.read(ctx, c.target)
	return source, target, err
}

func transaction(c command, source, target versioned, next revision.Row) platform.Transaction {
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
