package environment_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/jsonc"
	"almondbay.example/core/revision"
	"almondbay.example/serving/environment"
	"almondbay.example/serving/platform"
)

// fault is a fault that is injected into one commit.
type fault int

const (
	none fault = iota
	// responseLost applies the write and loses the response.
	responseLost
	// requestLost loses the request, so that the write is not applied.
	requestLost
	// requestDelayed applies the write only after the next commit.
	requestDelayed
	// rejected has the platform reject the request.
	rejected
)

// faultyTable injects faults into the commits to a table.
type faultyTable struct {
	*platform.Memory
	// faults are those of the next commits, in order.
	faults []fault
	// delayed holds the transactions whose request is delayed.
	delayed []platform.Transaction
	// unreadable fails all reads after the first commit.
	unreadable bool
	commits    int
}

func (f *faultyTable) Read(ctx context.Context, key string) (platform.Row, error) {
	if f.unreadable && f.commits > 0 {
		return platform.Row{}, &platform.UnknownError{Reason: "connection closed"}
	}
	return f.Memory.Read(ctx, key)
}

func (f *faultyTable) Commit(ctx context.Context, t platform.Transaction) error {
	f.commits++
	next := none
	if len(f.faults) > 0 {
		next, f.faults = f.faults[0], f.faults[1:]
	}
	lost := &platform.UnknownError{Reason: "response lost"}
	switch next {
	case requestLost:
		return lost
	case requestDelayed:
		f.delayed = append(f.delayed, t)
		return lost
	case rejected:
		return &platform.RefusedError{Reason: "overloaded"}
	}
	err := f.Memory.Commit(ctx, t)
	for _, delayed := range f.delayed {
		_ = f.Memory.Commit(ctx, delayed)
	}
	if next == responseLost {
		return lost
	}
	return err
}

func body(version string) []byte {
	return fmt.Appendf(nil, `{"models": [{"name": "draft", "version": %q, "groups": 1, "span": 1}]}`, version)
}

func newStore(table platform.Table, objects platform.Objects) *environment.Store {
	return environment.New(environment.Config{
		Table: table, Objects: objects, Clock: clockwork.NewFakeClock(), Attempts: 3,
	})
}

func proposal(operation, version string, parent uint64) environment.Proposal {
	return environment.Proposal{Operation: operation, Parent: parent, Author: "ana", Body: body(version)}
}

// TestAcceptUnderFaults guards against a command that is accepted twice, or whose
// reported outcome is wrong, because the platform lost, delayed or rejected a
// request or lost its response.
func TestAcceptUnderFaults(t *testing.T) {
	var unknown *environment.UnknownOutcomeError
	var unavailable *environment.UnavailableError
	tests := map[string]struct {
		faults     []fault
		unreadable bool
		revision   uint64
		want       any
	}{
		"no fault":                            {nil, false, 1, nil},
		"response lost":                       {[]fault{responseLost}, false, 1, nil},
		"request lost":                        {[]fault{requestLost}, false, 1, nil},
		"request delayed":                     {[]fault{requestDelayed}, false, 1, nil},
		"request delayed, then response lost": {[]fault{requestDelayed, responseLost}, false, 1, nil},
		"request rejected once":               {[]fault{rejected}, false, 1, nil},
		"request rejected each time":          {[]fault{rejected, rejected, rejected}, false, 0, &unavailable},
		"request lost each time":              {[]fault{requestLost, requestLost, requestLost}, false, 0, &unknown},
		"request lost, then rejected":         {[]fault{requestLost, rejected, rejected}, false, 0, &unknown},
		"response lost, reads fail":           {[]fault{responseLost}, true, 1, &unknown},
		"request lost, reads fail":            {[]fault{requestLost}, true, 0, &unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			memory := platform.NewMemory()
			table := &faultyTable{Memory: memory, faults: test.faults, unreadable: test.unreadable}
			entry, err := newStore(table, memory).Accept(t.Context(), "trial", proposal("op", "v1", 0))
			if (err == nil) != (test.want == nil) || (test.want != nil && !errors.As(err, test.want)) {
				t.Fatalf("got error %v, want type %T", err, test.want)
			}
			row, readErr := newStore(memory, memory).Read(t.Context(), "trial")
			if readErr != nil || row.Revision != test.revision {
				t.Errorf("got revision %d in the table, want %d (read error: %v)", row.Revision, test.revision, readErr)
			}
			if err == nil && entry.Revision != 1 {
				t.Errorf("Accept returned revision %d, want 1", entry.Revision)
			}
			// The operator repeats the command, which must take effect only once.
			repeated, err := newStore(memory, memory).Accept(t.Context(), "trial", proposal("op", "v1", 0))
			if err != nil || repeated.Revision != 1 {
				t.Errorf("repeating the command returned revision %d and error %v, want revision 1", repeated.Revision, err)
			}
		})
	}
}

// TestConcurrentAcceptsHaveOneWinner guards against two commands that read the
// same revision and are both accepted as its successor.
func TestConcurrentAcceptsHaveOneWinner(t *testing.T) {
	const operators = 8
	memory := platform.NewMemory()
	store := newStore(memory, memory)
	if _, err := store.Accept(t.Context(), "trial", proposal("first", "v0", 0)); err != nil {
		t.Fatal(err)
	}
	results := make([]error, operators)
	racing := &barrierTable{Memory: memory}
	racing.readers.Add(operators)
	store = newStore(racing, memory)
	var group errgroup.Group
	for i := range operators {
		group.Go(func() error {
			_, results[i] = store.Accept(t.Context(), "trial", proposal(fmt.Sprint(i), fmt.Sprint("v", i+1), 1))
			return nil
		})
	}
	_ = group.Wait()
	winners := 0
	for _, err := range results {
		var conflict *revision.ConflictError
		switch {
		case err == nil:
			winners++
		case !errors.As(err, &conflict) || conflict.Current.Revision != 2:
			t.Errorf("a losing command got error %v, want a conflict with revision 2", err)
		}
	}
	if winners != 1 {
		t.Errorf("%d of %d commands were accepted, want one", winners, operators)
	}
}

// barrierTable delays each operator's first read until all operators have read,
// so that all decide on the same version.
type barrierTable struct {
	*platform.Memory
	readers sync.WaitGroup
	open    atomic.Bool
}

func (b *barrierTable) Read(ctx context.Context, key string) (platform.Row, error) {
	row, err := b.Memory.Read(ctx, key)
	if !b.open.Load() {
		b.readers.Done()
		b.readers.Wait()
		b.open.Store(true)
	}
	return row, err
}

// TestLateWriteNeverReverts guards against a delayed write of the first operator
// that reaches the platform after the second operator's revision and replaces
// it.
func TestLateWriteNeverReverts(t *testing.T) {
	memory := platform.NewMemory()
	table := &faultyTable{Memory: memory, faults: []fault{requestDelayed}}
	if _, err := newStore(table, memory).Accept(t.Context(), "trial", proposal("op", "v1", 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := newStore(memory, memory).Accept(t.Context(), "trial", proposal("other", "v2", 1)); err != nil {
		t.Fatal(err)
	}
	for _, delayed := range table.delayed {
		var conflict *platform.ConflictError
		if err := memory.Commit(t.Context(), delayed); !errors.As(err, &conflict) {
			t.Errorf("the late write got error %v, want a conflict", err)
		}
	}
	row, err := newStore(memory, memory).Read(t.Context(), "trial")
	if err != nil || row.Revision != 2 || row.Operation != "other" {
		t.Errorf("got entry %+v and error %v, want revision 2 of operation \"other\"", row.Entry, err)
	}
}

// sourceChangingTable has another operator change the source environment
// immediately before the first commit.
type sourceChangingTable struct {
	*platform.Memory
	changed bool
}

func (s *sourceChangingTable) Commit(ctx context.Context, t platform.Transaction) error {
	if !s.changed {
		s.changed = true
		if _, err := newStore(s.Memory, s.Memory).Accept(ctx, "trial", proposal("other", "v2", 1)); err != nil {
			return err
		}
	}
	return s.Memory.Commit(ctx, t)
}

// TestPromotionConflictsIfSourceChanges guards against the promotion of a
// document that is replaced in the source between the promotion's read and its
// commit.
func TestPromotionConflictsIfSourceChanges(t *testing.T) {
	memory := platform.NewMemory()
	if _, err := newStore(memory, memory).Accept(t.Context(), "trial", proposal("op", "v1", 0)); err != nil {
		t.Fatal(err)
	}
	store := newStore(&sourceChangingTable{Memory: memory}, memory)
	_, err := store.Promote(t.Context(), "trial", "production", revision.Promotion{Operation: "p", SourceRevision: 1})
	var conflict *revision.ConflictError
	if !errors.As(err, &conflict) || conflict.Environment != "trial" || conflict.Current.Revision != 2 {
		t.Errorf("got error %v, want a conflict with revision 2 of the source", err)
	}
	if row, err := store.Read(t.Context(), "production"); err != nil || row.Revision != 0 {
		t.Errorf("got entry %+v and error %v in production, want no revision", row.Entry, err)
	}
}

// TestLostRequestReportsConflictOnlyIfCertain guards against a wrong outcome when
// the first operator's request is lost and others then accept documents. The
// command must report a conflict if the history shows that its write can never
// be applied, and an unknown outcome if the history no longer reaches back that
// far.
func TestLostRequestReportsConflictOnlyIfCertain(t *testing.T) {
	for others, certain := range map[int]bool{1: true, revision.HistoryLimit: true, revision.HistoryLimit + 2: false} {
		memory := platform.NewMemory()
		table := &competingTable{faultyTable: &faultyTable{Memory: memory, faults: []fault{requestLost}}, others: others}
		_, err := newStore(table, memory).Accept(t.Context(), "trial", proposal("op", "v0", 0))
		var conflict *revision.ConflictError
		var unknown *environment.UnknownOutcomeError
		if certain != !errors.As(err, &unknown) || (certain && !errors.As(err, &conflict)) {
			t.Errorf("after %d other commands, got error %v, want a conflict: %t, else an unknown outcome", others, err, certain)
		}
	}
}

// competingTable has other operators accept documents immediately after the first
// commit.
type competingTable struct {
	*faultyTable
	others int
}

func (c *competingTable) Commit(ctx context.Context, t platform.Transaction) error {
	err := c.faultyTable.Commit(ctx, t)
	if c.commits > 1 {
		return err
	}
	for n := range c.others {
		name := fmt.Sprint("other", n)
		_, otherErr := newStore(c.Memory, c.Memory).Accept(ctx, "trial", proposal(name, name, uint64(n)))
		err = errors.Join(err, otherErr)
	}
	return err
}

func TestPromoteAndUndo(t *testing.T) {
	memory := platform.NewMemory()
	store := newStore(memory, memory)
	accept := func(name, operation, version string, parent uint64) {
		t.Helper()
		if _, err := store.Accept(t.Context(), name, proposal(operation, version, parent)); err != nil {
			t.Fatal(err)
		}
	}
	accept("trial", "a", "v1", 0)
	accept("trial", "b", "v2", 1)
	var conflict *revision.ConflictError
	stale := revision.Promotion{Operation: "c", SourceRevision: 1, Author: "ana"}
	if _, err := store.Promote(t.Context(), "trial", "production", stale); !errors.As(err, &conflict) {
		t.Errorf("promoting a revision that is no longer in force got error %v, want a conflict", err)
	}
	promoted, err := store.Promote(t.Context(), "trial", "production", revision.Promotion{Operation: "d", SourceRevision: 2, Author: "ana"})
	if err != nil || promoted.Hash != environment.Hash(body("v2")) {
		t.Errorf("promotion returned %+v and error %v, want the hash of v2", promoted, err)
	}
	undone, err := store.Undo(t.Context(), "trial", revision.UndoRequest{Operation: "e", Parent: 2, To: 1, Author: "ana"})
	if err != nil || undone.Revision != 3 || undone.Hash != environment.Hash(body("v1")) {
		t.Errorf("undo returned %+v and error %v, want revision 3 with the hash of v1", undone, err)
	}
	same, err := store.Accept(t.Context(), "trial", proposal("f", "v1", 2))
	if err != nil || same.Revision != 3 {
		t.Errorf("accepting the bytes in force returned %+v and error %v, want revision 3", same, err)
	}
	row, err := store.Read(t.Context(), "trial")
	if err != nil || len(row.History) != 2 || row.History[0].Operation != "b" {
		t.Errorf("got history %+v and error %v, want two entries, the first of operation \"b\"", row.History, err)
	}
}

// TestCorruptAndInvalidDocumentsAreRejected guards against a document that is
// served with bytes other than the accepted ones, and against the acceptance of
// one that fails validation.
func TestCorruptAndInvalidDocumentsAreRejected(t *testing.T) {
	memory := platform.NewMemory()
	store := newStore(memory, memory)
	if _, err := store.Accept(t.Context(), "trial", proposal("a", "v1", 0)); err != nil {
		t.Fatal(err)
	}
	hash := environment.Hash(body("v1"))
	if got, err := store.Document(t.Context(), hash); err != nil || string(got) != string(body("v1")) {
		t.Errorf("got document %q and error %v, want the accepted bytes", got, err)
	}
	if err := memory.Put(t.Context(), hash, []byte("other")); err != nil {
		t.Fatal(err)
	}
	var corrupt *environment.CorruptError
	if _, err := store.Document(t.Context(), hash); !errors.As(err, &corrupt) {
		t.Errorf("reading overwritten bytes got error %v, want a CorruptError", err)
	}
	var faults jsonc.Faults
	_, err := store.Accept(t.Context(), "trial", environment.Proposal{Operation: "b", Parent: 1, Body: []byte("{}")})
	if !errors.As(err, &faults) {
		t.Errorf("accepting an invalid document got error %v, want jsonc.Faults", err)
	}
}
