package main

import (
	"os"
	"path/filepath"
	"testing"

	"almondbay.example/core/document"
	"almondbay.example/serving/settings"
)

// TestExamples holds the ready documents and settings against the checks and
// against the sizes of the deployments that they are for.
func TestExamples(t *testing.T) {
	const engines, workspaces = 60, 10
	lookup := func(name string) (string, bool) {
		return "a key that the peers share", name == settings.PeerKeysVariable
	}
	for _, deployment := range []string{"cartaz", "sava"} {
		d, faults := document.Parse(deployment, read(t, deployment, "document"))
		if err := faults.Err(); err != nil {
			t.Error(err)
		}
		vms := 0
		for _, m := range d.Models {
			vms += m.Groups * m.Span
		}
		if vms > engines || vms < engines*8/10 || len(d.Workspaces) != workspaces {
			t.Errorf("%s has %d VMs in groups and %d workspaces", deployment, vms, len(d.Workspaces))
		}
		for _, environment := range []string{"trial", "production"} {
			s, faults := settings.Parse(deployment, read(t, deployment, "settings-"+environment), lookup)
			if err := faults.Err(); err != nil {
				t.Error(err)
			}
			if s.Environment != environment {
				t.Errorf("%s's settings for %s name %s", deployment, environment, s.Environment)
			}
		}
	}
}

func read(t *testing.T, deployment, name string) []byte {
	t.Helper()
	body, err := os.ReadFile(filepath.Join("../../examples", deployment, name+".jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	return body
}
