// Package environment keeps the environments' documents on the platform: one
// row for each environment in the table service, and the documents' bytes in
// the object store under their digests.
//
// What is accepted is decided by package revision; this package carries the
// decision out, also when an answer of the platform is lost.
package environment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"almondbay.example/core/document"
	"almondbay.example/core/revision"
	"almondbay.example/serving/platform"
)

// Error is the class of all errors of this package.
var Error = errs.Class("environment")

// rowPrefix starts the key of each environment's row.
const rowPrefix = "environment/"

// Config configures a Store.
type Config struct {
	Table   platform.Table
	Objects platform.Objects
	Clock   clockwork.Clock
	// Attempts bounds the tries of one command; at least one.
	Attempts int
	// Pause is the time between two tries.
	Pause time.Duration
}

// Store reads and changes environments. It is safe for concurrent use.
type Store struct {
	config Config
}

// New returns a store.
func New(c Config) *Store {
	return &Store{config: c}
}

// Proposal asks for a document to be accepted.
type Proposal struct {
	// Operation is unique to the command and the same in every retry of it.
	Operation string
	// Parent is the revision that the author saw; zero for the first document.
	Parent uint64
	Author string
	// Body is the document in JSON with comments.
	Body []byte
}

// UnknownOutcomeError reports a command that may or may not have been accepted,
// now or later. The same operation can be tried again.
type UnknownOutcomeError struct {
	Operation string
	Cause     error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("environment: outcome of operation %q not known: %v", e.Operation, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// UnavailableError reports a command that was certainly not accepted, since the
// platform did not answer or refused it.
type UnavailableError struct {
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("environment: not accepted, the platform is unavailable: %v", e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// CorruptError reports a document whose bytes do not have the digest that the
// row names.
type CorruptError struct {
	Hash string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("environment: the object store holds other bytes under %s", e.Hash)
}

// Hash returns the hex SHA-256 digest of a document's bytes.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Read returns the row of an environment; its Revision is zero when no
// document was ever accepted.
func (s *Store) Read(ctx context.Context, name string) (revision.Row, error) {
	read, err := s.read(ctx, name)
	return read.row, err
}

// Document returns the bytes of an accepted document.
func (s *Store) Document(ctx context.Context, hash string) ([]byte, error) {
	body, err := s.config.Objects.Get(ctx, hash)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if Hash(body) != hash {
		return nil, &CorruptError{Hash: hash}
	}
	return body, nil
}

// Accept makes a document the next revision of an environment. Bytes that are
// in force already, and an operation that was accepted before, change nothing
// and return the revision that holds them.
//
// It returns jsonc.Faults for a document that is not sound, a
// revision.ConflictError when the author did not see the revision in force, an
// UnavailableError when the command was certainly not accepted, and an
// UnknownOutcomeError when it may have been.
func (s *Store) Accept(ctx context.Context, name string, p Proposal) (revision.Entry, error) {
	if _, faults := document.Parse("document", p.Body); len(faults) > 0 {
		return revision.Entry{}, faults
	}
	hash := Hash(p.Body)
	if err := s.config.Objects.Put(ctx, hash, p.Body); err != nil {
		return revision.Entry{}, &UnavailableError{Cause: err}
	}
	return s.run(ctx, command{
		operation: p.Operation,
		parent:    p.Parent,
		target:    name,
		decide: func(_, target revision.Row, now time.Time) (revision.Row, error) {
			if target.Hash == hash {
				return target, nil
			}
			return revision.Accept(target, revision.Proposal{
				Operation: p.Operation, Parent: p.Parent, Hash: hash, Author: p.Author,
			}, now)
		},
	})
}

// Promote accepts the very bytes of the source's document in the target, on
// condition that the author saw the revisions in force in both. Errors are
// those of Accept.
func (s *Store) Promote(ctx context.Context, source, target string, p revision.Promotion) (revision.Entry, error) {
	return s.run(ctx, command{
		operation: p.Operation,
		parent:    p.Parent,
		source:    source,
		target:    target,
		decide: func(source, target revision.Row, now time.Time) (revision.Row, error) {
			return unchanged(target)(revision.Promote(source, target, p, now))
		},
	})
}

// Undo accepts the document of an earlier revision again. Errors are those of
// Accept, and a revision.UnknownRevisionError.
func (s *Store) Undo(ctx context.Context, name string, u revision.UndoRequest) (revision.Entry, error) {
	return s.run(ctx, command{
		operation: u.Operation,
		parent:    u.Parent,
		target:    name,
		decide: func(_, target revision.Row, now time.Time) (revision.Row, error) {
			return unchanged(target)(revision.Undo(target, u, now))
		},
	})
}

// unchanged keeps a row whose document would be followed by the same bytes.
func unchanged(target revision.Row) func(revision.Row, error) (revision.Row, error) {
	return func(next revision.Row, err error) (revision.Row, error) {
		if err == nil && next.Hash == target.Hash {
			return target, nil
		}
		return next, err
	}
}

// versioned is a row with the version that a write of it is conditioned on.
type versioned struct {
	row     revision.Row
	version uint64
}

func (s *Store) read(ctx context.Context, name string) (versioned, error) {
	stored, err := s.config.Table.Read(ctx, rowPrefix+name)
	if err != nil {
		return versioned{}, Error.Wrap(err)
	}
	if stored.Version == 0 {
		return versioned{row: revision.Row{Environment: name}}, nil
	}
	row, err := decodeRow(name, stored.Value)
	return versioned{row: row, version: stored.Version}, err
}

// sleep waits between two tries.
func (s *Store) sleep(ctx context.Context) error {
	if s.config.Pause == 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.config.Clock.After(s.config.Pause):
		return nil
	}
}

// isConflict tells whether a commit lost against another write.
func isConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

// isRefused tells whether a commit was certainly not applied.
func isRefused(err error) bool {
	var refused *platform.RefusedError
	return errors.As(err, &refused)
}
