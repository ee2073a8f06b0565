package revision_test

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/core/revision"
)

var now = time.Unix(1_700_000_000, 0)

// accepted returns a row after the given documents were applied in turn.
func accepted(t *testing.T, hashes ...string) revision.Row {
	t.Helper()
	row := revision.Row{Environment: "trial"}
	for i, h := range hashes {
		next, err := revision.Accept(row, revision.Proposal{Operation: "op-" + h, Parent: uint64(i), Hash: h}, now)
		if err != nil {
			t.Fatal(err)
		}
		row = next
	}
	return row
}

func TestAccept(t *testing.T) {
	row := accepted(t, "a", "b")
	tests := []struct {
		name     string
		proposal revision.Proposal
		revision uint64
		want     error
	}{
		{"on the revision in force", revision.Proposal{Operation: "x", Parent: 2, Hash: "c"}, 3, nil},
		{"retried", revision.Proposal{Operation: "op-b", Parent: 1, Hash: "b"}, 2, nil},
		{"retried after another was accepted", revision.Proposal{Operation: "op-a", Parent: 0, Hash: "a"}, 2, nil},
		{"lost the race", revision.Proposal{Operation: "x", Parent: 1, Hash: "c"}, 0, &revision.ConflictError{}},
		{"operation reused", revision.Proposal{Operation: "op-b", Parent: 2, Hash: "c"}, 0, &revision.ReusedOperationError{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next, err := revision.Accept(row, tt.proposal, now)
			if !sameType(err, tt.want) {
				t.Fatalf("error %v, want %T", err, tt.want)
			}
			if next.Revision != tt.revision {
				t.Fatalf("revision %d, want %d", next.Revision, tt.revision)
			}
		})
	}
}

// sameType reports whether got and want are nil or errors of the same type.
func sameType(got, want error) bool {
	return reflect.TypeOf(got) == reflect.TypeOf(want)
}

func TestConflictNamesBothDocuments(t *testing.T) {
	_, err := revision.Accept(accepted(t, "a", "b"), revision.Proposal{Operation: "x", Parent: 1, Hash: "c"}, now)
	var got *revision.ConflictError
	if !errors.As(err, &got) {
		t.Fatal(err)
	}
	if got.SeenHash != "a" || got.Current.Hash != "b" {
		t.Fatalf("conflict between %q and %q, want a and b", got.SeenHash, got.Current.Hash)
	}
}

func TestRetryBeyondHistoryIsNotAcceptedTwice(t *testing.T) {
	row := accepted(t, "a")
	for i := range uint64(2 * revision.HistoryLimit) {
		next, err := revision.Accept(row, revision.Proposal{Operation: string(rune('A' + i)), Parent: i + 1, Hash: "z"}, now)
		if err != nil {
			t.Fatal(err)
		}
		row = next
	}
	if len(row.History) != revision.HistoryLimit {
		t.Fatalf("%d entries of history, want %d", len(row.History), revision.HistoryLimit)
	}
	_, err := revision.Accept(row, revision.Proposal{Operation: "op-a", Parent: 0, Hash: "a"}, now)
	if !sameType(err, &revision.ConflictError{}) {
		t.Fatalf("error %v, want a conflict", err)
	}
}

func TestPromoteAndUndo(t *testing.T) {
	trial := accepted(t, "a", "b")
	production := revision.Row{Environment: "production"}
	_, err := revision.Promote(trial, production, revision.Promotion{Operation: "p", SourceRevision: 1}, now)
	if !sameType(err, &revision.ConflictError{}) {
		t.Fatalf("promoted a revision that is not in force: %v", err)
	}
	promoted, err := revision.Promote(trial, production, revision.Promotion{Operation: "p", SourceRevision: 2}, now)
	if err != nil {
		t.Fatal(err)
	}
	want := revision.Entry{
		Revision: 1, Hash: "b", Operation: "p", Kind: revision.KindPromote,
		Source: revision.Source{Environment: "trial", Revision: 2}, AcceptedAt: now,
	}
	if d := cmp.Diff(want, promoted.Entry); d != "" {
		t.Fatal(d)
	}
	moved := accepted(t, "a", "b", "c")
	again, err := revision.Promote(moved, promoted, revision.Promotion{Operation: "p", SourceRevision: 2}, now)
	if err != nil || again.Revision != 1 {
		t.Fatalf("retried promotion: revision %d, %v", again.Revision, err)
	}
	undone, err := revision.Undo(moved, revision.UndoRequest{Operation: "u", Parent: 3, To: 1}, now)
	if err != nil || undone.Revision != 4 || undone.Hash != "a" {
		t.Fatalf("undo: %+v, %v", undone.Entry, err)
	}
	_, err = revision.Undo(moved, revision.UndoRequest{Operation: "u", Parent: 3, To: 9}, now)
	if !sameType(err, &revision.UnknownRevisionError{}) {
		t.Fatalf("undo to an unknown revision: %v", err)
	}
}

// TestFollowerOnlyMovesUp guards against a node that reverts to an older
// revision after a late answer, a lagging peer or a restored platform.
func TestFollowerOnlyMovesUp(t *testing.T) {
	f := revision.NewFollower("production")
	offers := []struct {
		revision  uint64
		hash      string
		origin    revision.Origin
		adopted   bool
		confirmed bool
		diverges  bool
	}{
		{0, "", revision.OriginPlatform, false, false, false},
		{4, "d", revision.OriginPeer, true, false, false},
		{3, "c", revision.OriginPlatform, false, false, false},
		{4, "d", revision.OriginPlatform, false, true, false},
		{4, "x", revision.OriginPeer, false, true, true},
		{5, "e", revision.OriginPeer, true, false, false},
		{4, "d", revision.OriginPlatform, false, false, false},
		{6, "f", revision.OriginPlatform, true, true, false},
	}
	for i, o := range offers {
		before := f.State().Revision
		adopted, err := f.Offer(revision.Entry{Revision: o.revision, Hash: o.hash}, o.origin)
		if adopted != o.adopted || (err != nil) != o.diverges || f.State().Confirmed != o.confirmed {
			t.Fatalf("offer %d: adopted %v, error %v, held %+v", i, adopted, err, f.State())
		}
		if f.State().Revision < before {
			t.Fatalf("offer %d lowered the revision", i)
		}
	}
}
