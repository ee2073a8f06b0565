package caller

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
	"almondbay.example/serving/view"
)

// pickerFixture is a picker with one group of one member that has two slots.
type pickerFixture struct {
	*SchedulerPicker
	view  *view.View
	clock *clockwork.FakeClock
}

func newPickerFixture(t *testing.T) *pickerFixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	v := view.New(time.Minute)
	v.SetDocument(1, document.Document{
		Models:     []document.Model{{Name: "m"}},
		Workspaces: []document.Workspace{{Name: "w", Share: 1}},
	})
	v.SetVMs([]fleet.VM{{ID: "b1", Address: "a1", FailureDomain: "d", Role: fleet.RoleBackend, State: fleet.VMLive}})
	v.SetGroups([]group.Row{{
		ID:      "g1",
		Epoch:   1,
		State:   group.StateServing,
		Members: []string{"b1"},
		Model:   "m",
		Version: "1",
		Boots:   map[string]string{"b1": "x"},
	}})
	f := &pickerFixture{view: v, clock: clock}
	f.SchedulerPicker = NewSchedulerPicker(SchedulerPickerConfig{View: v, Clock: clock, FailureDomain: "d"})
	f.report()
	return f
}

func (f *pickerFixture) report() {
	f.view.SetReport(fleet.Report{
		Identity: fleet.Identity{Member: "b1", Boot: "x", Group: "g1", Epoch: 1, Model: "m", Version: "1"},
		Phase:    fleet.PhaseReady,
		Load:     fleet.Load{Slots: 2},
		SeenAt:   f.clock.Now(),
	})
}

func (f *pickerFixture) pick(t *testing.T) Choice {
	t.Helper()
	c, err := f.Pick(t.Context(), Query{Workspace: "w", Model: "m"})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// runAsync runs f in a goroutine and returns a function that waits for it.
func runAsync(f func()) func() {
	var g errgroup.Group
	g.Go(func() error {
		f()
		return nil
	})
	return func() { _ = g.Wait() }
}

// TestSchedulerPickerWaitsForSlot checks that a request beyond the capacity of
// the group waits until a slot is released or its caller disconnects.
func TestSchedulerPickerWaitsForSlot(t *testing.T) {
	f := newPickerFixture(t)
	var held []Choice
	for range 3 { // Two slots and one overcommitted; Refresh has not run yet.
		held = append(held, f.pick(t))
	}
	if held[0].Group != "g1" || held[0].Address != "a1" {
		t.Fatalf("picked %+v, want group g1 at address a1", held[0])
	}
	got := make(chan Choice, 1)
	errs := make(chan error, 1)
	waiting := func(ctx context.Context) {
		c, err := f.Pick(ctx, Query{Workspace: "w", Model: "m"})
		got <- c
		errs <- err
	}
	done := runAsync(func() { waiting(t.Context()) })
	held[1].Slot.Progress(1)
	held[1].Slot.Finish(5)
	held[1].Slot.Release()
	if c, err := <-got, <-errs; err != nil || c.Group != "g1" {
		t.Errorf("picked %+v, %v after a slot was released, want g1", c, err)
	}
	done()

	ctx, cancel := context.WithCancel(t.Context())
	done = runAsync(func() { waiting(ctx) })
	cancel()
	if _, err := <-got, <-errs; !errors.Is(err, context.Canceled) {
		t.Errorf("error %v after the caller disconnected, want context.Canceled", err)
	}
	done()
}

// TestSchedulerPickerRefuses checks that a request that waited too long is refused
// as overloaded with a time to retry, and that one without an allowed serving
// group is refused as unavailable.
func TestSchedulerPickerRefuses(t *testing.T) {
	f := newPickerFixture(t)
	for range 3 {
		f.pick(t)
	}
	var unavailable *UnavailableError
	errs := make(chan error, 1)
	submitted := make(chan struct{})
	done := runAsync(func() {
		close(submitted)
		_, err := f.Pick(t.Context(), Query{Workspace: "w", Model: "m"})
		errs <- err
	})
	<-submitted
	err := error(nil)
	for err == nil {
		f.clock.Advance(3 * time.Second)
		f.report()
		if e := f.Refresh(t.Context()); e != nil {
			t.Fatal(e)
		}
		select {
		case err = <-errs:
		default:
		}
	}
	done()
	if !errors.As(err, &unavailable) || !unavailable.Overloaded || unavailable.RetryAfter < time.Second {
		t.Errorf("error %v, want an overload with RetryAfter of at least 1s", err)
	}
	f.clock.Advance(2 * time.Minute) // The reports of the group expire.
	_, err = f.Pick(t.Context(), Query{Workspace: "w", Model: "m"})
	if !errors.As(err, &unavailable) || unavailable.Overloaded {
		t.Errorf("error %v after the reports expired, want an UnavailableError without overload", err)
	}
	f.report()
	_, err = f.Pick(t.Context(), Query{Workspace: "w", Model: "m", Avoid: []string{"g1"}})
	if !errors.As(err, &unavailable) {
		t.Errorf("error %v when the only group is excluded, want an UnavailableError", err)
	}
}
