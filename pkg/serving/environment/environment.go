// Package environment stores the documents of environments on the platform: one
// row per environment in the table service, and the bytes of each document in
// the object store under their digest.
//
// Package revision decides whether a document is accepted. This package commits
// the decision, and determines its outcome even if a response of the platform is
// lost.
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

// Error is the class of errors of this package.
var Error = errs.Class("environment")

// rowPrefix is the prefix of the keys of environment rows.
const rowPrefix = "environment/"

// Config configures a Store.
type Config struct {
	Table   platform.Table
	Objects platform.Objects
	Clock   clockwork.Clock
	// Attempts is the maximum number of attempts for one command; at least one.
	Attempts int
	// RetryDelay is the time between two attempts; zero retries immediately.
	RetryDelay time.Duration
}

// Store reads and changes environments. It is safe for concurrent use.
type Store struct {
	config Config
}

// New returns a store.
func New(c Config) *Store {
	return &Store{config: c}
}

// Proposal is a request to accept a document.
type Proposal struct {
	// Operation identifies the command. It is unique to the command and the same
	// in every retry.
	Operation string
	// Parent is the revision that the author saw; zero for the first document.
	Parent uint64
	Author string
	// Body is the document in JSON with comments.
	Body []byte
}

// UnknownOutcomeError reports a command that may have been accepted, or may
// still be. The caller can retry it with the same operation ID.
type UnknownOutcomeError struct {
	Operation string
	Cause     error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("environment: outcome of operation %q is unknown: %v", e.Operation, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// UnavailableError reports a command that was certainly not accepted, as the
// platform did not respond or rejected it.
type UnavailableError struct {
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("environment: command not accepted, platform unavailable: %v", e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// CorruptError reports an object whose bytes do not match the digest that it is
// stored under.
type CorruptError struct {
	Hash string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("environment: object %s does not match its digest", e.Hash)
}

// Hash returns the hex SHA-256 digest of a document's bytes.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Read returns the row of an environment; its Revision is zero if no document
// has been accepted.
func (s *Store) Read(ctx context.Context, name string) (revision.Row, error) {
	read, err := s.read(ctx, name)
	return read.row, err
}

// Document returns the bytes of the document with the given digest. It returns a
// CorruptError if the stored bytes do not match the digest.
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

// Accept makes a document the next revision of an environment. If the same bytes
// are already in force, or the operation was accepted before, it changes nothing
// and returns the existing revision.
//
// It returns jsonc.Faults if the document is invalid, a revision.ConflictError
// if the proposal's parent is not the revision in force, an UnavailableError if
// the command was certainly not accepted, and an UnknownOutcomeError if it may
// have been.
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

// Promote accepts the document of the source, byte for byte, in the target, if
// the promotion names the revisions in force in both. Errors are those of
// Accept.
func (s *Store) Promote(ctx context.Context, source, target string, p revision.Promotion) (revision.Entry, error) {
	return s.run(ctx, command{
		operation: p.Operation,
		parent:    p.Parent,
		source:    source,
		target:    target,
		decide: func(source, target revision.Row, now time.Time) (revision.Row, error) {
			return keepIfSameDocument(target)(revision.Promote(source, target, p, now))
		},
	})
}

// Undo accepts the document of an earlier revision as the next revision. Errors
// are those of Accept, and a revision.UnknownRevisionError.
func (s *Store) Undo(ctx context.Context, name string, u revision.UndoRequest) (revision.Entry, error) {
	return s.run(ctx, command{
		operation: u.Operation,
		parent:    u.Parent,
		target:    name,
		decide: func(_, target revision.Row, now time.Time) (revision.Row, error) {
			return keepIfSameDocument(target)(revision.Undo(target, u, now))
		},
	})
}

// keepIfSameDocument returns a filter for the decision on a target. The filter
// returns the target unchanged if its next row has the same document.
func keepIfSameDocument(target revision.Row) func(revision.Row, error) (revision.Row, error) {
	return func(next revision.Row, err error) (revision.Row, error) {
		if err == nil && next.Hash == target.Hash {
			return target, nil
		}
		return next, err
	}
}

// versionedRow is a row with the version on which a write of it is conditional.
type versionedRow struct {
	row     revision.Row
	version uint64
}

func (s *Store) read(ctx context.Context, name string) (versionedRow, error) {
	stored, err := s.config.Table.Read(ctx, rowPrefix+name)
	if err != nil {
		return versionedRow{}, Error.Wrap(err)
	}
	if stored.Version == 0 {
		return versionedRow{row: revision.Row{Environment: name}}, nil
	}
	row, err := decodeRow(name, stored.Value)
	return versionedRow{row: row, version: stored.Version}, err
}

// waitRetryDelay waits for the retry delay or until ctx is done.
func (s *Store) waitRetryDelay(ctx context.Context) error {
	if s.config.RetryDelay == 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.config.Clock.After(s.config.RetryDelay):
		return nil
	}
}

// isConflict reports whether a commit failed because another write changed a row
// that it is conditional on.
func isConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

// isRejected reports whether the platform rejected a commit, which was then
// certainly not applied.
func isRejected(err error) bool {
	var rejected *platform.RefusedError
	return errors.As(err, &rejected)
}
