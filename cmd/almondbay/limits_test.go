package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"almondbay.example/internal/node/entry"
	"almondbay.example/internal/routing/caller"
)

// TestLimitsOfVMs guards against limits that together are more than a VM has, and against a
// page that tells others.
func TestLimitsOfVMs(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, vm := range []struct{ memoryMiB, descriptors int }{{206, 2870}, {136, 2870}, {184, 4100}, {536, 8192}, {96, 1600}} {
		memory := int64(vm.memoryMiB) << 20
		l := entry.NewLimits(vm.descriptors, memory)
		if sum := l.Callers + l.Peers + l.Readiness + l.Metrics; sum > (vm.descriptors-200)*7/8 {
			t.Errorf("%d MiB: %d connections of %d descriptors, want an eighth left for the node's own", vm.memoryMiB, sum, vm.descriptors)
		}
		if sum := l.AccountBytes + l.PortBytes; sum > memory {
			t.Errorf("%d MiB: %d bytes for callers and ports, want less", vm.memoryMiB, sum)
		}
		row := fmt.Sprintf("| %d | %s | %s | %d | %d | %d | %.1f | %s |", vm.memoryMiB, thousands(vm.descriptors), thousands(l.Callers),
			l.Peers, l.Readiness, l.Metrics, float64(l.AccountBytes)/(1<<20), thousands(int(l.AccountBytes/2/caller.ConnectionBytes)))
		if !strings.Contains(string(page), row) {
			t.Errorf("CAPACITY.md lacks the row %q", row)
		}
	}
}

// thousands writes a number with a comma before its last three digits.
func thousands(n int) string {
	if n < 1000 {
		return fmt.Sprint(n)
	}
	return fmt.Sprintf("%d,%03d", n/1000, n%1000)
}
