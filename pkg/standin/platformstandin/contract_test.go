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

// platformAPI lists the services of the platform that the contract covers.
type platformAPI interface {
	platform.Table
	platform.Objects
	platform.VMs
}

// newHTTP starts a fake platform over HTTP. It returns the server, a client of
// it and the memory that stores its data.
func newHTTP(t *testing.T) (*Server, *platformhttp.Client, *platform.Memory) {
	t.Helper()
	memory := platform.NewMemory()
	server := New(memory)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, platformhttp.New(platformhttp.Config{Address: listener.URL, Timeout: time.Minute}), memory
}

// TestContract checks that platform.Memory and the HTTP client with the fake
// platform behave alike, so that tests against one are valid for the other.
func TestContract(t *testing.T) {
	_, client, httpMemory := newHTTP(t)
	memory := platform.NewMemory()
	implementations := map[string]struct {
		api    platformAPI
		memory *platform.Memory
	}{
		"memory": {memory, memory},
		"http":   {client, httpMemory},
	}
	for name, i := range implementations {
		t.Run(name, func(t *testing.T) {
			testTable(t, i.api)
			testObjects(t, i.api)
			testVMs(t, i.api, i.memory)
		})
	}
}

func testTable(t *testing.T, table platform.Table) {
	ctx := context.Background()
	insertBoth := platform.Transaction{
		Operation:  "first",
		Conditions: []platform.Condition{{Key: "a/1"}, {Key: "a/2"}},
		Writes:     []platform.Write{{Key: "a/1", Value: []byte("x")}, {Key: "a/2", Value: []byte("y")}},
	}
	if err := table.Commit(ctx, insertBoth); err != nil {
		t.Fatal(err)
	}
	var conflict *platform.ConflictError
	if err := table.Commit(ctx, insertBoth); !errors.As(err, &conflict) || conflict.Key != "a/1" || conflict.Version != 1 {
		t.Errorf("repeated commit: got %v, want a conflict on a/1 at version 1", err)
	}
	oneStale := platform.Transaction{
		Operation:  "second",
		Conditions: []platform.Condition{{Key: "a/1", Version: 1}, {Key: "a/2", Version: 9}},
		Writes:     []platform.Write{{Key: "a/1", Delete: true}},
	}
	if err := table.Commit(ctx, oneStale); !errors.As(err, &conflict) || conflict.Key != "a/2" {
		t.Errorf("commit with one failing condition: got %v, want a conflict on a/2", err)
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
		t.Errorf("absent row: got %v, error %v, want version 0", absent, err)
	}
}

// testRewrite deletes a row and inserts it again. A condition on the version
// before the deletion must fail, or a stale writer could overwrite the new row.
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
		t.Errorf("condition on the version before the deletion: got %v, want a conflict", err)
	}
}

func testObjects(t *testing.T, objects platform.Objects) {
	ctx := context.Background()
	var notFound *platform.NotFoundError
	if _, err := objects.Get(ctx, "a/b c"); !errors.As(err, &notFound) || notFound.Name != "a/b c" {
		t.Errorf("absent object: got %v, want a NotFoundError for a/b c", err)
	}
	if err := objects.Put(ctx, "a/b c", []byte("body")); err != nil {
		t.Fatal(err)
	}
	if body, err := objects.Get(ctx, "a/b c"); err != nil || string(body) != "body" {
		t.Errorf("stored object: got %q, error %v, want \"body\"", body, err)
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

// TestFaults checks which error the client returns for a commit under each fault
// and when the commit takes effect. RefusedError states that the commit certainly
// was not applied, so a commit whose answer was lost must be an UnknownError.
func TestFaults(t *testing.T) {
	commit := platform.Transaction{
		Operation:  "op",
		Conditions: []platform.Condition{{Key: "k"}},
		Writes:     []platform.Write{{Key: "k", Value: []byte("v")}},
	}
	tests := []struct {
		fault   Fault
		refused bool
		// applied and appliedLate say whether the row exists before and after
		// ApplyDelayed.
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
				t.Errorf("commit returned %v, want refused %v", err, tt.refused)
			}
			if row, _ := memory.Read(context.Background(), "k"); (row.Version == 1) != tt.applied {
				t.Errorf("row after the commit: %v, want applied %v", row, tt.applied)
			}
			server.ApplyDelayed()
			if row, _ := memory.Read(context.Background(), "k"); (row.Version == 1) != tt.appliedLate {
				t.Errorf("row after ApplyDelayed: %v, want applied %v", row, tt.appliedLate)
			}
		})
	}
}
