// Package revision decides which environment document is in force.
//
// Each environment has one row in the table service. A proposal becomes a new
// revision by one conditional write of that row, so exactly one of two
// concurrent proposals is accepted. A node tracks the row with a Follower,
// which never moves to a lower revision.
//
// The functions are pure: they take the row that was read and return the row
// to write. The caller writes it on condition that every row passed in is
// still at the version that was read.
package revision

import (
	"slices"
	"time"
)

// HistoryLimit is the number of entries that a row keeps.
const HistoryLimit = 32

// Kind is the command that created a revision.
type Kind string

// Kinds of revisions.
const (
	KindApply   Kind = "apply"
	KindPromote Kind = "promote"
	KindUndo    Kind = "undo"
)

// Entry is one accepted revision.
type Entry struct {
	// Revision is at least one and grows by one with each acceptance.
	Revision uint64
	// Hash is the hex SHA-256 digest of the document's bytes. The bytes are in
	// the object store before the entry is written.
	Hash string
	// Parent is the revision that the author saw; always Revision minus one.
	Parent uint64
	// Operation identifies the operator's command. It is the same in every
	// retry of the command.
	Operation string
	Kind      Kind
	Author    string
	// Source is the revision that the document was copied from; the zero value
	// for KindApply.
	Source Source
	// AcceptedAt is taken from the clock of the accepting node, for display
	// only.
	AcceptedAt time.Time
}

// Source is the revision that a promotion or an undo copied.
type Source struct {
	Environment string
	Revision    uint64
}

// Row is the row of one environment. A row with only Environment set is an
// environment without a document.
type Row struct {
	Environment string
	// Entry is the revision in force; its Revision is zero when there is none.
	Entry
	// History holds the revisions before Entry, the newest first, at most
	// HistoryLimit.
	History []Entry
}

// Proposal is a request to accept a document.
type Proposal struct {
	// Operation is unique to the command and the same in every retry of it.
	Operation string
	// Parent is the revision that the author saw; zero for the first document.
	Parent uint64
	// Hash is the hex SHA-256 digest of the proposed bytes.
	Hash   string
	Author string
}

// Promotion is a request to accept the document of one environment in another.
type Promotion struct {
	Operation string
	// SourceRevision is the revision of the source that the author saw.
	SourceRevision uint64
	// Parent is the revision of the target that the author saw.
	Parent uint64
	Author string
}

// UndoRequest is a request to accept the document of an earlier revision
// again.
type UndoRequest struct {
	Operation string
	// Parent is the revision that the author saw.
	Parent uint64
	// To is the revision whose document to restore.
	To     uint64
	Author string
}

// Accept returns the row with the proposal as the revision in force. If the
// operation of the proposal was accepted before, it returns current unchanged
// and nothing needs to be written. It returns a ConflictError if the author
// did not see the revision in force.
func Accept(current Row, p Proposal, now time.Time) (Row, error) {
	return accept(current, Entry{
		Hash:      p.Hash,
		Parent:    p.Parent,
		Operation: p.Operation,
		Kind:      KindApply,
		Author:    p.Author,
	}, now)
}

// Promote returns the row of the target with the document of the source,
// unchanged. It returns a ConflictError if the author did not see the revision
// in force in the source or in the target. The caller must also condition its
// write on the version of the source row.
func Promote(source, target Row, p Promotion, now time.Time) (Row, error) {
	if _, ok := target.Accepted(p.Operation); ok {
		return target, nil
	}
	if source.Revision == 0 {
		return Row{}, &UnknownRevisionError{Environment: source.Environment, Revision: p.SourceRevision}
	}
	if source.Revision != p.SourceRevision {
		return Row{}, conflict(source, p.SourceRevision)
	}
	return accept(target, Entry{
		Hash:      source.Hash,
		Parent:    p.Parent,
		Operation: p.Operation,
		Kind:      KindPromote,
		Author:    p.Author,
		Source:    Source{Environment: source.Environment, Revision: source.Revision},
	}, now)
}

// Undo returns the row with the document of an earlier revision under a new
// revision. It returns an UnknownRevisionError if the history no longer holds
// the earlier one.
func Undo(current Row, u UndoRequest, now time.Time) (Row, error) {
	if _, ok := current.Accepted(u.Operation); ok {
		return current, nil
	}
	earlier, ok := current.Find(u.To)
	if !ok {
		return Row{}, &UnknownRevisionError{Environment: current.Environment, Revision: u.To}
	}
	return accept(current, Entry{
		Hash:      earlier.Hash,
		Parent:    u.Parent,
		Operation: u.Operation,
		Kind:      KindUndo,
		Author:    u.Author,
		Source:    Source{Environment: current.Environment, Revision: u.To},
	}, now)
}

// Accepted returns the entry that an operation created, if the history still
// holds it.
func (r Row) Accepted(operation string) (Entry, bool) {
	return r.find(func(e Entry) bool { return e.Operation == operation })
}

// Find returns the entry of a revision, if the history still holds it.
func (r Row) Find(revision uint64) (Entry, bool) {
	return r.find(func(e Entry) bool { return e.Revision == revision })
}

func (r Row) find(match func(Entry) bool) (Entry, bool) {
	if r.Revision == 0 {
		return Entry{}, false
	}
	if match(r.Entry) {
		return r.Entry, true
	}
	i := slices.IndexFunc(r.History, match)
	if i < 0 {
		return Entry{}, false
	}
	return r.History[i], true
}

// accept appends e to current. A retry whose first attempt is no longer in the
// history still has an outdated parent, so it is never accepted twice.
func accept(current Row, e Entry, now time.Time) (Row, error) {
	if done, ok := current.Accepted(e.Operation); ok {
		if done.Hash != e.Hash {
			return Row{}, &ReusedOperationError{Operation: e.Operation, Revision: done.Revision}
		}
		return current, nil
	}
	if e.Parent != current.Revision {
		return Row{}, conflict(current, e.Parent)
	}
	e.Revision = current.Revision + 1
	e.AcceptedAt = now
	next := Row{Environment: current.Environment, Entry: e}
	if current.Revision > 0 {
		next.History = append(next.History, current.Entry)
	}
	next.History = append(next.History, current.History...)
	next.History = next.History[:min(len(next.History), HistoryLimit)]
	return next, nil
}

func conflict(current Row, seen uint64) *ConflictError {
	e := &ConflictError{Environment: current.Environment, Seen: seen, Current: current.Entry}
	if earlier, ok := current.Find(seen); ok {
		e.SeenHash = earlier.Hash
	}
	return e
}
