package platformstandin

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/platform/platformhttp"
)

// services is what an implementation of the platform offers.
type services interface {
	platform.Table
	platform.Objects
	platform.VMs
}

// newHTTP returns a stand-in and a client of it.
func newHTTP(t *testing.T) (*Server, *platformhttp.Client, *platform.Memory) {
	t.Helper()
	memory := platform.NewMemory()
	server := New(memory)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, platformhttp.New(platformhttp.Config{Address: listener.URL, Timeout: time.Minute}), memory
}

// TestContract holds every implementation of the platform to the same
// behaviour.
func TestContract(t *testing.T) {
	_, client, behind := newHTTP(t)
	memory := platform.NewMemory()
	implementations := map[string]struct {
		services services
		memory   *platform.Memory
	}{
		"memory": {memory, memory},
		"http":   {client, behind},
	}
	for name, i := range implementations {
		t.Run(name, func(t *testing.T) {
			testTable(t, i.services)
			testObjects(t, i.services)
			testVMs(t, i.services, i.memory)
		})
	}
}

func testTable(t *testing.T, table platform.Table) {
	ctx := context.Background()
	both := platform.Transaction{
		Operation:  "first",
		Conditions: []platform.Condition{{Key: "a/1"}, {Key: "a/2"}},
		Writes:     []platform.Write{{Key: "a/1", Value: []byte("x")}, {Key: "a/2", Value: []byte("y")}},
	}
	if err := table.Commit(ctx, both); err != nil {
		t.Fatal(err)
	}
	var conflict *platform.ConflictError
	if err := table.Commit(ctx, both); !errors.As(err, &conflict) || conflict.Key != "a/1" || conflict.Version != 1 {
		t.Errorf("a repeated commit: %v", err)
	}
	half := platform.Transaction{
		Operation:  "second",
		Conditions: []platform.Condition{{Key: "a/1", Version: 1}, {Key: "a/2", Version: 9}},
		Writes:     []platform.Write{{Key: "a/1", Delete: true}},
	}
	if err := table.Commit(ctx, half); !errors.As(err, &conflict) || conflict.Key != "a/2" {
		t.Errorf("a commit with one condition that fails: %v", err)
	}
	rows, err := table.Range(ctx, "a/")
	if err != nil {
		t.Fatal(err)
	}
	want := []platform.Row{
		{Key: "a/1", Version: 1, Operation: "first", Value: []byte("x")},
		{Key: "a/2", Version: 1, Operation: "first", Value: []byte("y")},
	}
	if diff := cmp.Diff(want, rows); diff != "" {
		t.Error(diff)
	}
	testRewrite(t, table)
	absent, err := table.Read(ctx, "b")
	if err != nil || absent.Version != 0 {
		t.Errorf("an absent row: %v, %v", absent, err)
	}
}

// testRewrite deletes a row and writes it anew: a condition on its earlier
// version must not hold again.
func testRewrite(t *testing.T, table platform.Table) {
	ctx := context.Background()
	steps := []platform.Transaction{
		{Operation: "delete", Conditions: []platform.Condition{{Key: "a/1", Version: 1}}, Writes: []platform.Write{{Key: "a/1", Delete: true}}},
		{Operation: "anew", Conditions: []platform.Condition{{Key: "a/1"}}, Writes: []platform.Write{{Key: "a/1", Value: []byte("z")}}},
	}
	for _, step := range steps {
		if err := table.Commit(ctx, step); err != nil {
			t.Fatal(err)
		}
	}
	stale := platform.Transaction{Operation: "stale", Conditions: []platform.Condition{{Key: "a/1", Version: 1}}}
	var conflict *platform.ConflictError
	if err := table.Commit(ctx, stale); !errors.As(err, &conflict) {
		t.Errorf("a condition on the version before the deletion: %v", err)
	}
}

func testObjects(t *testing.T, objects platform.Objects) {
	ctx := context.Background()
	var notFound *platform.NotFoundError
	if _, err := objects.Get(ctx, "a/b c"); !errors.As(err, &notFound) || notFound.Name != "a/b c" {
		t.Errorf("an absent object: %v", err)
	}
	if err := objects.Put(ctx, "a/b c", []byte("body")); err != nil {
		t.Fatal(err)
	}
	if body, err := objects.Get(ctx, "a/b c"); err != nil || string(body) != "body" {
		t.Errorf("%q, %v", body, err)
	}
}

func testVMs(t *testing.T, vms platform.VMs, memory *platform.Memory) {
	vm := fleet.VM{ID: "vm", Address: "127.0.0.1:1", FailureDomain: "a", Role: fleet.RoleEntry, State: fleet.VMLive}
	memory.SetVM(vm)
	got, err := vms.List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]fleet.VM{vm}, got); diff != "" {
		t.Error(diff)
	}
}

func TestFaults(t *testing.T) {
	commit := platform.Transaction{
		Operation:  "op",
		Conditions: []platform.Condition{{Key: "k"}},
		Writes:     []platform.Write{{Key: "k", Value: []byte("v")}},
	}
	tests := []struct {
		fault   Fault
		refused bool
		// applied tells whether the row is there before and after ApplyDelayed.
		applied, appliedLate bool
	}{
		{fault: FaultDown, refused: true},
		{fault: FaultLostAnswer, applied: true, appliedLate: true},
		{fault: FaultDelayedCommit, appliedLate: true},
	}
	for _, tt := range tests {
		t.Run(string(tt.fault), func(t *testing.T) {
			server, client, memory := newHTTP(t)
			server.SetFault(tt.fault)
			err := client.Commit(context.Background(), commit)
			var refused *platform.RefusedError
			var unknown *platform.UnknownError
			if errors.As(err, &refused) != tt.refused || errors.As(err, &unknown) == tt.refused {
				t.Errorf("commit: %v", err)
			}
			if row, _ := memory.Read(context.Background(), "k"); (row.Version == 1) != tt.applied {
				t.Errorf("row after the commit: %v", row)
			}
			server.ApplyDelayed()
			if row, _ := memory.Read(context.Background(), "k"); (row.Version == 1) != tt.appliedLate {
				t.Errorf("row after the held commits: %v", row)
			}
		})
	}
}
