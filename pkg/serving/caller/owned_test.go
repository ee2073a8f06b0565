package caller

import (
	"context"
	"errors"
	"testing"
	"time"

	"almondbay.example/core/schedule"
)

// directOwners reaches one owner without a network.
type directOwners struct {
	owner *SchedulerPicker
	down  bool
	asked int
	told  int
}

func (d *directOwners) Owner(string) (string, bool) { return "owner", false }

func (d *directOwners) AcquireSlot(ctx context.Context, _ string, a schedule.SlotRequest) (schedule.Grant, error) {
	d.asked++
	if d.down {
		return schedule.Grant{}, Error.New("no connection")
	}
	return d.owner.GrantSlot(ctx, a), nil
}

func (d *directOwners) ReportSlotEvents(_ context.Context, _, node string, news []schedule.SlotEvent) error {
	d.told++
	if d.down {
		return Error.New("no connection")
	}
	d.owner.RecordSlotEvents(node, news)
	return nil
}

func TestOwnedAsksTheOwner(t *testing.T) {
	f := newScheduledFixture(t)
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
			t.Fatalf("picked %+v, %v", c, err)
		}
		held = append(held, c)
	}
	done := inGroup(func() {
		if c, err := pick(); err != nil || c.Group != "g1" {
			t.Errorf("picked %+v, %v", c, err)
		}
	})
	held[0].Slot.Progress(1)
	held[0].Slot.Finish(30)
	held[0].Slot.Release()
	flush() // Frees the slot at the owner, before or after the fourth asks.
	done()

	// An owner that hears nothing for long takes its slots back.
	f.clock.Advance(schedule.NodeTimeout + time.Second)
	f.report()
	if err := f.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if c, err := pick(); err != nil || c.Group != "g1" {
		t.Errorf("picked %+v, %v after the owner took slots back", c, err)
	}
}

func TestOwnedGoesOnWithoutItsOwner(t *testing.T) {
	f := newScheduledFixture(t)
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
		t.Fatalf("picked %+v, %v", c, err)
	}
	if err := o.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	asked := owners.asked
	if _, err := o.Pick(t.Context(), query); err != nil || owners.asked != asked {
		t.Errorf("error %v, %d asks of a lost owner", err, owners.asked-asked)
	}
	// Back again, it hears what it has missed.
	owners.down = false
	first.Slot.Release()
	f.clock.Advance(avoidTime)
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
	if owners.asked != asked+3 || len(held) != 3 {
		t.Errorf("%d asks after the owner came back", owners.asked-asked)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := o.Pick(ctx, query); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v after the caller has left", err)
	}
}
