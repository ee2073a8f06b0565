package drain_test

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"almondbay.example/serving/drain"
	"almondbay.example/serving/platform"
)

// lossyTable reports an unknown outcome for its first commits.
type lossyTable struct {
	*platform.Memory
	// unknownCommits is the number of commits left whose outcome is unknown.
	unknownCommits int
	// dropRequests makes these commits take no effect.
	dropRequests bool
}

func (l *lossyTable) Commit(ctx context.Context, t platform.Transaction) error {
	if l.unknownCommits == 0 {
		return l.Memory.Commit(ctx, t)
	}
	l.unknownCommits--
	if !l.dropRequests {
		_ = l.Memory.Commit(ctx, t)
	}
	return &platform.UnknownError{Reason: "response lost"}
}

// TestSetAndClear checks that a Set whose commit responses are lost takes effect
// once, and that it reports an unknown outcome if all its attempts stay unknown.
func TestSetAndClear(t *testing.T) {
	tests := map[string]struct {
		unknownCommits int
		dropRequests   bool
		wantUnknown    bool
	}{
		"no fault":          {0, false, false},
		"response lost":     {1, false, false},
		"request lost":      {2, true, false},
		"all attempts lost": {3, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := &lossyTable{Memory: platform.NewMemory(), unknownCommits: test.unknownCommits, dropRequests: test.dropRequests}
			clock := clockwork.NewFakeClock()
			store := drain.New(drain.Config{Table: table, Clock: clock})
			err := store.Set(t.Context(), "vm-1", "ana")
			var unknown *drain.UnknownOutcomeError
			if errors.As(err, &unknown) != test.wantUnknown || (err != nil) != test.wantUnknown {
				t.Fatalf("Set returned %v, want an unknown outcome: %v", err, test.wantUnknown)
			}
			if err := store.Set(t.Context(), "vm-1", "rui"); err != nil {
				t.Fatal(err)
			}
			author := "ana"
			if test.wantUnknown {
				author = "rui"
			}
			want := []drain.Drain{{VM: "vm-1", Author: author, RequestedAt: clock.Now().UTC()}}
			got, err := store.List(t.Context())
			if diff := cmp.Diff(want, got); diff != "" || err != nil {
				t.Errorf("List after Set: error %v, drains (-want +got):\n%s", err, diff)
			}
			if err := errors.Join(store.Clear(t.Context(), "vm-1"), store.Clear(t.Context(), "vm-1")); err != nil {
				t.Error("Clear, called twice:", err)
			}
			if left, err := store.List(t.Context()); len(left) != 0 || err != nil {
				t.Errorf("List after Clear: %v, error %v, want no drains", left, err)
			}
		})
	}
}
