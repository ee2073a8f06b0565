package caller

import (
	"context"
	"errors"
	"testing"
	"time"

	"almondbay.example/core/schedule"
)

// directOwners calls one owner in the same process and counts the calls.
type directOwners struct {
	owner        *SchedulerPicker
	down         bool
	slotRequests int
	reports      int
}

func (d *directOwners) Owner(string) (string, bool) { return "owner", false }

func (d *directOwners) AcquireSlot(ctx context.Context, _ string, r schedule.SlotRequest) (schedule.Grant, error) {
	d.slotRequests++
	if d.down {
		return schedule.Grant{}, Error.New("connection refused")
	}
	return d.owner.GrantSlot(ctx, r), nil
}

func (d *directOwners) ReportSlotEvents(_ context.Context, _, node string, events []schedule.SlotEvent) error {
	d.reports++
	if d.down {
		return Error.New("connection refused")
	}
	d.owner.RecordSlotEvents(node, events)
	return nil
}

// TestOwnerPickerAcquiresSlotsFromOwner checks that a request waits at the owner
// until the release of a slot is reported, and that an owner reclaims the slots
// of a node that sends no message for schedule.NodeTimeout.
func TestOwnerPickerAcquiresSlotsFromOwner(t *testing.T) {
	f := newPickerFixture(t)
	owners := &directOwners{owner: f.SchedulerPicker}
	local := NewSchedulerPicker(SchedulerPickerConfig{View: f.view, Clock: f.clock, FailureDomain: "d"})
	o := NewOwnerPicker(OwnerPickerConfig{Node: "n", Local: local, Owners: owners})
	pick := func() (Choice, error) { return o.Pick(t.Context(), Query{Workspace: "w", Model: "m"}) }
	flush := func() {
		t.Helper()
		if err := o.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	var held []Choice
	for range 3 {
		c, err := pick()
		if err != nil || c.Group != "g1" || c.Address != "a1" {
			t.Fatalf("picked %+v, %v; want g1 at address a1", c, err)
		}
		held = append(held, c)
	}
	done := runAsync(func() {
		if c, err := pick(); err != nil || c.Group != "g1" {
			t.Errorf("picked %+v, %v after a slot was released, want g1", c, err)
		}
	})
	held[0].Slot.Progress(1)
	held[0].Slot.Finish(30)
	held[0].Slot.Release()
	flush() // Releases the slot at the owner, before or after the fourth request.
	done()

	// The owner reclaims the slots of a node that sends no messages.
	f.clock.Advance(schedule.NodeTimeout + time.Second)
	f.report()
	if err := f.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if c, err := pick(); err != nil || c.Group != "g1" {
		t.Errorf("picked %+v, %v after the owner reclaimed the slots, want g1", c, err)
	}
}

// TestOwnerPickerFallsBackWhenOwnerUnreachable checks that this node schedules
// by itself while the owner is unreachable, doesn't contact it again before
// ownerRetryDelay, and then reports the events of the outage.
func TestOwnerPickerFallsBackWhenOwnerUnreachable(t *testing.T) {
	f := newPickerFixture(t)
	owners := &directOwners{owner: f.SchedulerPicker}
	local := NewSchedulerPicker(SchedulerPickerConfig{View: f.view, Clock: f.clock, FailureDomain: "d"})
	o := NewOwnerPicker(OwnerPickerConfig{Node: "n", Local: local, Owners: owners})
	query := Query{Workspace: "w", Model: "m"}
	first, err := o.Pick(t.Context(), query)
	if err != nil {
		t.Fatal(err)
	}
	owners.down = true
	if c, err := o.Pick(t.Context(), query); err != nil || c.Group != "g1" {
		t.Fatalf("picked %+v, %v while the owner is unreachable, want g1", c, err)
	}
	if err := o.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	requests := owners.slotRequests
	if _, err := o.Pick(t.Context(), query); err != nil || owners.slotRequests != requests {
		t.Errorf("error %v, %d requests to an unreachable owner, want none", err, owners.slotRequests-requests)
	}
	// Once the owner is reachable, it receives the events of the outage.
	owners.down = false
	first.Slot.Release()
	f.clock.Advance(ownerRetryDelay)
	f.report()
	if err := o.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	var held []Choice
	for range 3 {
		c, err := o.Pick(t.Context(), query)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
	}
	if owners.slotRequests != requests+3 || len(held) != 3 {
		t.Errorf("%d slot requests after the owner recovered, want 3", owners.slotRequests-requests)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := o.Pick(ctx, query); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v after the caller disconnected, want context.Canceled", err)
	}
}
