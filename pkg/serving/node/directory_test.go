package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
	"almondbay.example/serving/control"
	"almondbay.example/serving/drain"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/view"
)

var errDown = errors.New("down")

// brokenList is a list of VMs that can't be read.
type brokenList struct{}

func (brokenList) List(context.Context) ([]fleet.VM, error) { return nil, errDown }

func newTestDirectory(id string, memory *platform.Memory, vms platform.VMs, clock clockwork.Clock) *directory {
	return newDirectory(directoryConfig{
		ID: id, Environment: "e", Clock: clock, Table: memory, VMs: vms, View: view.New(time.Second),
	})
}

func known(d *directory) ([]fleet.VM, []group.Row) {
	return d.config.View.Rows()
}

// TestDirectoryIsPassedOn has one node read the platform and another hear of it
// from the first, and a third from the second; each must know the same.
func TestDirectoryIsPassedOn(t *testing.T) {
	ctx := t.Context()
	clock := clockwork.NewFakeClock()
	memory := platform.NewMemory()
	vm := fleet.VM{ID: "vm", Address: "127.0.0.1:1", FailureDomain: "a", FabricDomain: "f", Role: fleet.RoleBackend, State: fleet.VMLive}
	memory.SetVM(vm)
	row := group.Row{ID: "m-0", Model: "m", Epoch: 3, State: group.StateServing, Members: []string{"vm"}, Version: "1", Boots: map[string]string{"vm": "b"}}
	commit(t, memory, control.GroupPrefix("e")+"m-0", control.EncodeGroup(row))
	if err := drain.New(drain.Config{Table: memory, Clock: clock}).Set(ctx, "vm", "ines"); err != nil {
		t.Fatal(err)
	}

	reader := newTestDirectory("reader", memory, memory, clock)
	chain := []*directory{reader, newTestDirectory("x", memory, brokenList{}, clock), newTestDirectory("y", memory, brokenList{}, clock)}
	if err := reader.read(ctx); err != nil {
		t.Fatal(err)
	}
	for i, d := range chain[1:] {
		delta, age := chain[i].Since(d.mirror.Position())
		if err := d.applyDelta(delta, clock.Now().Add(-age)); err != nil {
			t.Fatal(err)
		}
	}
	for _, d := range chain {
		vms, rows := known(d)
		if diff := cmp.Diff([]group.Row{row}, rows); diff != "" {
			t.Errorf("%s: %s", d.config.ID, diff)
		}
		if len(vms) != 1 || vms[0].ID != "vm" || vms[0].State != fleet.VMLeaving {
			t.Errorf("%s knows %v, want the drained VM as leaving", d.config.ID, vms)
		}
	}
}

// TestDirectoryKeepsNewerRows hears from a peer that is behind: a row must not
// go back to the epoch before.
func TestDirectoryKeepsNewerRows(t *testing.T) {
	ctx := t.Context()
	clock := clockwork.NewFakeClock()
	memory := platform.NewMemory()
	key := control.GroupPrefix("e") + "m-0"
	old := group.Row{ID: "m-0", Model: "m", Epoch: 1, State: group.StateServing, Members: []string{"vm"}, Version: "1"}
	commit(t, memory, key, control.EncodeGroup(old))
	behind := newTestDirectory("behind", memory, memory, clock)
	if err := behind.read(ctx); err != nil {
		t.Fatal(err)
	}
	next := old
	next.Epoch = 2
	commit(t, memory, key, control.EncodeGroup(next))
	ahead := newTestDirectory("ahead", memory, memory, clock)
	if err := ahead.read(ctx); err != nil {
		t.Fatal(err)
	}
	delta, _ := behind.Since(ahead.mirror.Position())
	if err := ahead.applyDelta(delta, clock.Now()); err != nil {
		t.Fatal(err)
	}
	if _, rows := known(ahead); len(rows) != 1 || rows[0].Epoch != 2 {
		t.Errorf("rows after hearing from a node that is behind: %+v", rows)
	}
}

// TestDirectoryPublishesAfterFailure reads a row that can't be decoded: each
// read must say so until the row is put right, not only the first.
func TestDirectoryPublishesAfterFailure(t *testing.T) {
	ctx := t.Context()
	clock := clockwork.NewFakeClock()
	memory := platform.NewMemory()
	key := control.GroupPrefix("e") + "m-0"
	commit(t, memory, key, []byte("no row"))
	d := newTestDirectory("d", memory, memory, clock)
	for range 2 {
		if err := d.read(ctx); err == nil {
			t.Error("a row that can't be decoded went unnoticed")
		}
	}
	commit(t, memory, key, control.EncodeGroup(group.Row{ID: "m-0", Model: "m", Epoch: 1}))
	if err := d.read(ctx); err != nil {
		t.Error(err)
	}
	if _, rows := known(d); len(rows) != 1 {
		t.Errorf("rows once they can be decoded: %+v", rows)
	}
}

func commit(t *testing.T, table platform.Table, key string, value []byte) {
	t.Helper()
	row, err := table.Read(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	err = table.Commit(t.Context(), platform.Transaction{
		Operation:  key + string(value),
		Conditions: []platform.Condition{{Key: key, Version: row.Version}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	if err != nil {
		t.Fatal(err)
	}
}
