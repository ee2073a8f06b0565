package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/platform/soak"
)

// TestSeededRunKeepsPromises plays one seed with real processes. Promises with a bound in
// time are reported and don't decide: a busy machine may break them.
func TestSeededRunKeepsPromises(t *testing.T) {
	directory := t.TempDir()
	build := exec.CommandContext(t.Context(), "go", "build", "-o", directory+string(filepath.Separator), "almondbay.example/cmd/almondbay", "almondbay.example/cmd/soak")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	result, err := soak.Run(soak.RunConfig{
		Clock: clockwork.NewRealClock(), Seed: 3, Duration: 15 * time.Second, Nodes: 3, Servers: 8, Callers: 4,
		Node: filepath.Join(directory, "almondbay"), Self: filepath.Join(directory, "soak"), Directory: directory, Network: 59,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(result.Format())
	for _, v := range result.Violations {
		if !v.Timed() {
			t.Errorf("%s: %s", v.Promise, v.What)
		}
	}
	if result.Statuses[200] == 0 {
		t.Error("no request was answered")
	}
	if len(result.Copies) == 0 || result.SameID == 0 || result.NewID == 0 {
		t.Error("no rejection was copied, or no refused request was repeated under its ID or a new one")
	}
}
