package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"almondbay.example/core/feed"
	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
	"almondbay.example/serving/control"
	"almondbay.example/serving/drain"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/view"
)

var errUnavailable = errors.New("list of VMs unavailable")

// unavailableList is a list of VMs that cannot be read.
type unavailableList struct{}

func (unavailableList) List(context.Context) ([]fleet.VM, error) { return nil, errUnavailable }

func newTestDirectory(id string, memory *platform.Memory, vms platform.VMs, clock clockwork.Clock) *directory {
	return newDirectory(directoryConfig{
		ID: id, Environment: "e", Clock: clock, Table: memory, VMs: vms, View: view.New(time.Second),
	})
}

func viewRows(d *directory) ([]fleet.VM, []group.Row) {
	return d.config.View.Rows()
}

// TestDirectoryRelaysFleet checks that fleet data are unchanged after two hops:
// one node reads the platform, a second fetches the data from the first, and a
// third from the second. The other two cannot read the list of VMs themselves.
func TestDirectoryRelaysFleet(t *testing.T) {
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
	chain := []*directory{reader, newTestDirectory("x", memory, unavailableList{}, clock), newTestDirectory("y", memory, unavailableList{}, clock)}
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
		vms, rows := viewRows(d)
		if diff := cmp.Diff([]group.Row{row}, rows); diff != "" {
			t.Errorf("node %s: rows of groups (-want +got):\n%s", d.config.ID, diff)
		}
		if len(vms) != 1 || vms[0].ID != "vm" || vms[0].State != fleet.VMLeaving {
			t.Errorf("node %s: VMs are %v, want the drained VM in state leaving", d.config.ID, vms)
		}
	}
}

// TestDirectoryKeepsNewerRows checks that data fetched from a peer that lags behind
// do not return a group's row to an earlier epoch.
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
	if _, rows := viewRows(ahead); len(rows) != 1 || rows[0].Epoch != 2 {
		t.Errorf("rows after a delta of a peer that lags behind: %+v, want one at epoch 2", rows)
	}
}

// TestDirectoryPublishesAfterFailure reads a row that cannot be decoded. Every read
// must return the error until the row is corrected, not only the read that found
// the change; then the row must be published.
func TestDirectoryPublishesAfterFailure(t *testing.T) {
	ctx := t.Context()
	clock := clockwork.NewFakeClock()
	memory := platform.NewMemory()
	key := control.GroupPrefix("e") + "m-0"
	commit(t, memory, key, []byte("no row"))
	d := newTestDirectory("d", memory, memory, clock)
	for range 2 {
		if err := d.read(ctx); err == nil {
			t.Error("read of a row that cannot be decoded returned no error")
		}
	}
	commit(t, memory, key, control.EncodeGroup(group.Row{ID: "m-0", Model: "m", Epoch: 1}))
	if err := d.read(ctx); err != nil {
		t.Error("read after the row was corrected:", err)
	}
	if _, rows := viewRows(d); len(rows) != 1 {
		t.Errorf("rows after the row was corrected: %+v, want one", rows)
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

// TestDirectoryServesNoRowsBeforeItHasThem guards against a node that starts and
// answers another, which fetches the fleet from it meanwhile, that the fleet has no
// rows: the other node then drops all of its own.
func TestDirectoryServesNoRowsBeforeItHasThem(t *testing.T) {
	const rows, starts = 2000, 20
	clock := clockwork.NewFakeClock()
	source := feed.NewSource("reader")
	all := make(map[string]feed.Row, rows)
	for i := range rows {
		id := fmt.Sprint("vm", i)
		listed, err := listRows([]fleet.VM{{ID: id}})
		if err != nil {
			t.Fatal(err)
		}
		maps.Copy(all, listed)
	}
	source.Replace(listPrefix, all)
	for range starts {
		d := newTestDirectory("x", platform.NewMemory(), unavailableList{}, clock)
		var applied sync.WaitGroup
		applied.Go(func() {
			if err := d.applyDelta(source.Since(feed.Position{}), clock.Now()); err != nil {
				t.Error(err)
			}
		})
		delta := feed.Delta{}
		for delta.Position.Source == "" {
			delta, _ = d.Since(feed.Position{})
		}
		applied.Wait()
		if len(delta.Rows) != rows {
			t.Fatalf("first delta has %d rows, want %d", len(delta.Rows), rows)
		}
	}
}
