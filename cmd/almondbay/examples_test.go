package main

import (
	"os"
	"path/filepath"
	"testing"

	"almondbay.example/core/document"
	"almondbay.example/serving/settings"
)

// TestExamples checks the documents and settings in the folder examples, and that
// the documents fit the sizes of their deployments: at least 80% of the engine
// VMs belong to replica groups.
func TestExamples(t *testing.T) {
	const engines, workspaces = 60, 10
	lookup := func(name string) (string, bool) {
		return "a key that the peers share", name == settings.PeerKeysVariable
	}
	for _, deployment := range []string{"cartaz", "sava"} {
		d, faults := document.Parse(deployment, readExample(t, deployment, "document"))
		if err := faults.Err(); err != nil {
			t.Error(err)
		}
		vms := 0
		for _, m := range d.Models {
			vms += m.Groups * m.Span
		}
		if vms > engines || vms < engines*8/10 || len(d.Workspaces) != workspaces {
			t.Errorf("%s has %d VMs in groups and %d workspaces, want %d to %d VMs and %d workspaces",
				deployment, vms, len(d.Workspaces), engines*8/10, engines, workspaces)
		}
		for _, environment := range []string{"trial", "production"} {
			s, faults := settings.Parse(deployment, readExample(t, deployment, "settings-"+environment), lookup)
			if err := faults.Err(); err != nil {
				t.Error(err)
			}
			if s.Environment != environment {
				t.Errorf("settings of %s for environment %s name %s", deployment, environment, s.Environment)
			}
		}
	}
}

func readExample(t *testing.T, deployment, name string) []byte {
	t.Helper()
	body, err := os.ReadFile(filepath.Join("../../examples", deployment, name+".jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	return body
}
