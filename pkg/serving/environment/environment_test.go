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

// faults says what happens to the next commits, in order.
type fault int

const (
	none fault = iota
	// lostAfter applies the write and loses the answer.
	lostAfter
	// lostBefore loses the request; it is not applied.
	lostBefore
	// late holds the request back and applies it after the next commit.
	late
	refused
)

// faultyTable puts faults into the commits of a table.
type faultyTable struct {
	*platform.Memory
	faults []fault
	held   []platform.Transaction
	// unreadable fails reads once a fault was used up.
	unreadable bool
	commits    int
}

func (f *faultyTable) Read(ctx context.Context, key string) (platform.Row, error) {
	if f.unreadable && f.commits > 0 {
		return platform.Row{}, &platform.UnknownError{Reason: "cut off"}
	}
	return f.Memory.Read(ctx, key)
}

func (f *faultyTable) Commit(ctx context.Context, t platform.Transaction) error {
	f.commits++
	next := none
	if len(f.faults) > 0 {
		next, f.faults = f.faults[0], f.faults[1:]
	}
	lost := &platform.UnknownError{Reason: "answer lost"}
	switch next {
	case lostBefore:
		return lost
	case late:
		f.held = append(f.held, t)
		return lost
	case refused:
		return &platform.RefusedError{Reason: "overloaded"}
	}
	err := f.Memory.Commit(ctx, t)
	for _, held := range f.held {
		_ = f.Memory.Commit(ctx, held)
	}
	if next == lostAfter {
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

func TestAcceptUnderFaults(t *testing.T) {
	var unknown *environment.UnknownOutcomeError
	var unavailable *environment.UnavailableError
	tests := map[string]struct {
		faults     []fault
		unreadable bool
		revision   uint64
		want       any
	}{
		"no fault":                   {nil, false, 1, nil},
		"answer lost":                {[]fault{lostAfter}, false, 1, nil},
		"request lost":               {[]fault{lostBefore}, false, 1, nil},
		"request late":               {[]fault{late}, false, 1, nil},
		"late, then answer lost":     {[]fault{late, lostAfter}, false, 1, nil},
		"refused once":               {[]fault{refused}, false, 1, nil},
		"refused each time":          {[]fault{refused, refused, refused}, false, 0, &unavailable},
		"lost each time":             {[]fault{lostBefore, lostBefore, lostBefore}, false, 0, &unknown},
		"lost, then refused":         {[]fault{lostBefore, refused, refused}, false, 0, &unknown},
		"answer lost, no read-back":  {[]fault{lostAfter}, true, 1, &unknown},
		"request lost, no read-back": {[]fault{lostBefore}, true, 0, &unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			memory := platform.NewMemory()
			table := &faultyTable{Memory: memory, faults: test.faults, unreadable: test.unreadable}
			entry, err := newStore(table, memory).Accept(t.Context(), "trial", proposal("op", "v1", 0))
			if (err == nil) != (test.want == nil) || (test.want != nil && !errors.As(err, test.want)) {
				t.Fatalf("got error %v", err)
			}
			row, readErr := newStore(memory, memory).Read(t.Context(), "trial")
			if readErr != nil || row.Revision != test.revision {
				t.Errorf("the table is at revision %d, want %d (%v)", row.Revision, test.revision, readErr)
			}
			if err == nil && entry.Revision != 1 {
				t.Errorf("got revision %d", entry.Revision)
			}
			// The operator repeats the command: it is accepted once in all.
			again, err := newStore(memory, memory).Accept(t.Context(), "trial", proposal("op", "v1", 0))
			if err != nil || again.Revision != 1 {
				t.Errorf("the repeat got revision %d (%v)", again.Revision, err)
			}
		})
	}
}

func TestAcceptRacesOneWinner(t *testing.T) {
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
			t.Errorf("a loser got %v", err)
		}
	}
	if winners != 1 {
		t.Errorf("%d commands were accepted, want one", winners)
	}
}

// barrierTable holds each read back until all operators have read, so that
// all of them decide on the same version.
type barrierTable struct {
	*platform.Memory
	readers sync.WaitGroup
	late    atomic.Bool
}

func (b *barrierTable) Read(ctx context.Context, key string) (platform.Row, error) {
	row, err := b.Memory.Read(ctx, key)
	if !b.late.Load() {
		b.readers.Done()
		b.readers.Wait()
		b.late.Store(true)
	}
	return row, err
}

// TestLateWriteNeverReverts has a write of the first operator arrive after the
// second operator's revision.
func TestLateWriteNeverReverts(t *testing.T) {
	memory := platform.NewMemory()
	table := &faultyTable{Memory: memory, faults: []fault{late}}
	if _, err := newStore(table, memory).Accept(t.Context(), "trial", proposal("op", "v1", 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := newStore(memory, memory).Accept(t.Context(), "trial", proposal("other", "v2", 1)); err != nil {
		t.Fatal(err)
	}
	for _, held := range table.held {
		var conflict *platform.ConflictError
		if err := memory.Commit(t.Context(), held); !errors.As(err, &conflict) {
			t.Errorf("the late write got %v", err)
		}
	}
	row, err := newStore(memory, memory).Read(t.Context(), "trial")
	if err != nil || row.Revision != 2 || row.Operation != "other" {
		t.Errorf("the table holds %+v, %v", row.Entry, err)
	}
}

// movingTable has another operator change the source right before a commit.
type movingTable struct {
	*platform.Memory
	moved bool
}

func (m *movingTable) Commit(ctx context.Context, t platform.Transaction) error {
	if !m.moved {
		m.moved = true
		if _, err := newStore(m.Memory, m.Memory).Accept(ctx, "trial", proposal("other", "v2", 1)); err != nil {
			return err
		}
	}
	return m.Memory.Commit(ctx, t)
}

func TestPromotionSeesTheSourceMove(t *testing.T) {
	memory := platform.NewMemory()
	if _, err := newStore(memory, memory).Accept(t.Context(), "trial", proposal("op", "v1", 0)); err != nil {
		t.Fatal(err)
	}
	store := newStore(&movingTable{Memory: memory}, memory)
	_, err := store.Promote(t.Context(), "trial", "production", revision.Promotion{Operation: "p", SourceRevision: 1})
	var conflict *revision.ConflictError
	if !errors.As(err, &conflict) || conflict.Environment != "trial" || conflict.Current.Revision != 2 {
		t.Errorf("got %v, want a conflict in the source", err)
	}
	if row, err := store.Read(t.Context(), "production"); err != nil || row.Revision != 0 {
		t.Errorf("production holds %+v, %v", row.Entry, err)
	}
}

// TestRaceInsideALostAnswer has other operators accept documents while the
// answer of the first is lost. It must learn that it lost, and only if the
// history shows that its write can never take effect.
func TestRaceInsideALostAnswer(t *testing.T) {
	for others, lost := range map[int]bool{1: true, revision.HistoryLimit: true, revision.HistoryLimit + 2: false} {
		memory := platform.NewMemory()
		table := &interloper{faultyTable: &faultyTable{Memory: memory, faults: []fault{lostBefore}}, others: others}
		_, err := newStore(table, memory).Accept(t.Context(), "trial", proposal("op", "v0", 0))
		var conflict *revision.ConflictError
		var unknown *environment.UnknownOutcomeError
		if lost != !errors.As(err, &unknown) || (lost && !errors.As(err, &conflict)) {
			t.Errorf("after %d other commands, got %v", others, err)
		}
	}
}

// interloper has others accept documents right after the first commit.
type interloper struct {
	*faultyTable
	others int
}

func (i *interloper) Commit(ctx context.Context, t platform.Transaction) error {
	err := i.faultyTable.Commit(ctx, t)
	if i.commits > 1 {
		return err
	}
	for n := range i.others {
		name := fmt.Sprint("other", n)
		_, other := newStore(i.Memory, i.Memory).Accept(ctx, "trial", proposal(name, name, uint64(n)))
		err = errors.Join(err, other)
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
		t.Errorf("promoting a revision that is no longer in force got %v", err)
	}
	promoted, err := store.Promote(t.Context(), "trial", "production", revision.Promotion{Operation: "d", SourceRevision: 2, Author: "ana"})
	if err != nil || promoted.Hash != environment.Hash(body("v2")) {
		t.Errorf("got %+v, %v", promoted, err)
	}
	undone, err := store.Undo(t.Context(), "trial", revision.UndoRequest{Operation: "e", Parent: 2, To: 1, Author: "ana"})
	if err != nil || undone.Revision != 3 || undone.Hash != environment.Hash(body("v1")) {
		t.Errorf("got %+v, %v", undone, err)
	}
	same, err := store.Accept(t.Context(), "trial", proposal("f", "v1", 2))
	if err != nil || same.Revision != 3 {
		t.Errorf("accepting the bytes in force got %+v, %v", same, err)
	}
	row, err := store.Read(t.Context(), "trial")
	if err != nil || len(row.History) != 2 || row.History[0].Operation != "b" {
		t.Errorf("got history %+v, %v", row.History, err)
	}
}

func TestDocumentChecksItsDigest(t *testing.T) {
	memory := platform.NewMemory()
	store := newStore(memory, memory)
	if _, err := store.Accept(t.Context(), "trial", proposal("a", "v1", 0)); err != nil {
		t.Fatal(err)
	}
	hash := environment.Hash(body("v1"))
	if got, err := store.Document(t.Context(), hash); err != nil || string(got) != string(body("v1")) {
		t.Errorf("got %q, %v", got, err)
	}
	if err := memory.Put(t.Context(), hash, []byte("other")); err != nil {
		t.Fatal(err)
	}
	var corrupt *environment.CorruptError
	if _, err := store.Document(t.Context(), hash); !errors.As(err, &corrupt) {
		t.Errorf("got %v", err)
	}
	var faults jsonc.Faults
	_, err := store.Accept(t.Context(), "trial", environment.Proposal{Operation: "b", Parent: 1, Body: []byte("{}")})
	if !errors.As(err, &faults) {
		t.Errorf("an unsound document got %v", err)
	}
}
