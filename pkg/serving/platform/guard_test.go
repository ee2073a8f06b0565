package platform

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// failingTable answers every call with err and counts the calls.
type failingTable struct {
	Table
	err   error
	calls int
}

func (t *failingTable) Read(context.Context, string) (Row, error) {
	t.calls++
	return Row{}, t.err
}

func (t *failingTable) Commit(context.Context, Transaction) error {
	t.calls++
	return t.err
}

func newGuard(table Table, clock clockwork.Clock) *Guard {
	return NewGuard(GuardConfig{
		Table:           table,
		Clock:           clock,
		ReadsPerSecond:  9,
		WritesPerSecond: 9,
		FailuresToOpen:  3,
		ProbeInterval:      time.Second,
	})
}

func TestGuardKeepsBudgetForPriorities(t *testing.T) {
	table := &failingTable{}
	clock := clockwork.NewFakeClock()
	guard := newGuard(table, clock)
	ctx := context.Background()
	tests := []struct {
		priority Priority
		// admitted is how many of ten calls at the same time are let through.
		admitted int
	}{
		{PriorityBackground, 3},
		{PriorityControl, 3},
		{PriorityBooking, 3},
	}
	clock.Advance(time.Minute)
	guard.SetNodes(5)
	for _, tt := range tests {
		admitted := 0
		for range 10 {
			if _, err := guard.Table(tt.priority).Read(ctx, "k"); err == nil {
				admitted++
			}
		}
		if admitted != tt.admitted {
			t.Errorf("priority %d: %d calls let through, want %d", tt.priority, admitted, tt.admitted)
		}
	}
}

func TestGuardRefusesAtOnceInOutage(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := &failingTable{err: &UnknownError{Reason: "timeout"}}
	guard := newGuard(table, clock)
	bookings := guard.Table(PriorityBooking)
	ctx := context.Background()

	for range 3 {
		var unknown *UnknownError
		if err := bookings.Commit(ctx, Transaction{}); !errors.As(err, &unknown) {
			t.Fatalf("a commit without an answer: %v", err)
		}
	}
	var refused *RefusedError
	if err := bookings.Commit(ctx, Transaction{}); !errors.As(err, &refused) || table.calls != 3 || !guard.Open() {
		t.Errorf("in the outage: %v after %d calls", err, table.calls)
	}
	clock.Advance(time.Second)
	table.err = &ConflictError{Key: "k"}
	var conflict *ConflictError
	if err := bookings.Commit(ctx, Transaction{}); !errors.As(err, &conflict) || guard.Open() {
		t.Errorf("after the outage: %v", err)
	}
}

func TestGuardIgnoresCallsGivenUp(t *testing.T) {
	table := &failingTable{err: &UnknownError{Reason: "canceled"}}
	guard := newGuard(table, clockwork.NewFakeClock())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 5 {
		_, _ = guard.Table(PriorityBooking).Read(ctx, "k")
	}
	if guard.Open() {
		t.Error("calls that their callers gave up count as an outage")
	}
}
