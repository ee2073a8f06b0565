package platform

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// failingTable returns err from each call and counts the calls.
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
		ProbeInterval:   time.Second,
	})
}

// TestGuardReservesBudgetForHigherPriorities guards against polling that uses up
// the budget, so that leases and bookings are refused.
func TestGuardReservesBudgetForHigherPriorities(t *testing.T) {
	table := &failingTable{}
	clock := clockwork.NewFakeClock()
	guard := newGuard(table, clock)
	ctx := context.Background()
	tests := []struct {
		priority Priority
		// admitted is the number of calls admitted out of ten at the same time.
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
			t.Errorf("priority %d: %d calls admitted, want %d", tt.priority, admitted, tt.admitted)
		}
	}
}

// TestGuardRefusesCallsDuringOutage guards against calls that wait for a timeout
// while the table service is known not to answer. After ProbeInterval one call is
// admitted, and its answer closes the circuit.
func TestGuardRefusesCallsDuringOutage(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := &failingTable{err: &UnknownError{Reason: "timeout"}}
	guard := newGuard(table, clock)
	bookings := guard.Table(PriorityBooking)
	ctx := context.Background()

	for range 3 {
		var unknown *UnknownError
		if err := bookings.Commit(ctx, Transaction{}); !errors.As(err, &unknown) {
			t.Fatalf("commit without an answer: error %v, want UnknownError", err)
		}
	}
	var refused *RefusedError
	if err := bookings.Commit(ctx, Transaction{}); !errors.As(err, &refused) || table.calls != 3 || !guard.Open() {
		t.Errorf("commit during the outage: error %v, %d calls sent, circuit open %t; want RefusedError, 3, true", err, table.calls, guard.Open())
	}
	clock.Advance(time.Second)
	table.err = &ConflictError{Key: "k"}
	var conflict *ConflictError
	if err := bookings.Commit(ctx, Transaction{}); !errors.As(err, &conflict) || guard.Open() {
		t.Errorf("commit after the outage: error %v, circuit open %t; want ConflictError, false", err, guard.Open())
	}
}

// TestGuardIgnoresCanceledCalls guards against callers that cancel their calls and
// thereby open the circuit although the table service works.
func TestGuardIgnoresCanceledCalls(t *testing.T) {
	table := &failingTable{err: &UnknownError{Reason: "canceled"}}
	guard := newGuard(table, clockwork.NewFakeClock())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 5 {
		_, _ = guard.Table(PriorityBooking).Read(ctx, "k")
	}
	if guard.Open() {
		t.Error("calls canceled by their callers opened the circuit")
	}
}
