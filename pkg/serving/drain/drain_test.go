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

// lossy applies commits and loses the answers of the first few.
type lossy struct {
	*platform.Memory
	lost int
	// dropped loses the requests too.
	dropped bool
}

func (l *lossy) Commit(ctx context.Context, t platform.Transaction) error {
	if l.lost == 0 {
		return l.Memory.Commit(ctx, t)
	}
	l.lost--
	if !l.dropped {
		_ = l.Memory.Commit(ctx, t)
	}
	return &platform.UnknownError{Reason: "answer lost"}
}

func TestSetAndClear(t *testing.T) {
	tests := map[string]struct {
		lost    int
		dropped bool
		unknown bool
	}{
		"no fault":         {0, false, false},
		"answer lost":      {1, false, false},
		"request lost":     {2, true, false},
		"all answers lost": {3, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := &lossy{Memory: platform.NewMemory(), lost: test.lost, dropped: test.dropped}
			clock := clockwork.NewFakeClock()
			store := drain.New(drain.Config{Table: table, Clock: clock})
			err := store.Set(t.Context(), "vm-1", "ana")
			var unknown *drain.UnknownOutcomeError
			if errors.As(err, &unknown) != test.unknown || (err != nil) != test.unknown {
				t.Fatal(err)
			}
			if err := store.Set(t.Context(), "vm-1", "rui"); err != nil {
				t.Fatal(err)
			}
			author := "ana"
			if test.unknown {
				author = "rui"
			}
			want := []drain.Drain{{VM: "vm-1", Author: author, RequestedAt: clock.Now().UTC()}}
			got, err := store.List(t.Context())
			if diff := cmp.Diff(want, got); diff != "" || err != nil {
				t.Errorf("%v %s", err, diff)
			}
			if err := errors.Join(store.Clear(t.Context(), "vm-1"), store.Clear(t.Context(), "vm-1")); err != nil {
				t.Error(err)
			}
			if left, err := store.List(t.Context()); len(left) != 0 || err != nil {
				t.Errorf("left %v, %v", left, err)
			}
		})
	}
}
