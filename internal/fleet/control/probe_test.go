package control

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"almondbay.example/internal/fleet/registry"
)

// TestPartitionedFailureDomainKeepsItsGroups covers a failure domain that is
// cut off while the platform is down (fault patterns zone_cut and
// platform_down). A head that only nodes of other failure domains fail to reach
// may still serve, so its members must not join another group.
func TestPartitionedFailureDomainKeepsItsGroups(t *testing.T) {
	tests := []struct {
		name   string
		result ProbeResult
		want   bool
	}{
		{"probed from its failure domain too", ProbeResult{Probed: 6, SameDomain: 2}, true},
		{"probed from other failure domains only", ProbeResult{Probed: 6}, false},
		{"probed by too few nodes", ProbeResult{Probed: 2, SameDomain: 2}, false},
		{"reached, in no group", ProbeResult{Probed: 6, SameDomain: 2, Reached: true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			controller := New(Config{
				Clock: clock, Logger: zap.NewNop(), FailureDomains: []string{"a"}, ProbeQuorum: 4, UnreachableTimeout: time.Hour,
				ProbeHead: func(context.Context, registry.Server) ProbeResult { return tt.result },
			})
			d := controller.domains[0]
			head := registry.Server{ID: "head", Group: registry.Membership{Name: "g", Epoch: 3, State: registry.StateOpen}}
			for range maxProbeFailures {
				if !d.startProbe(head.ID, clock.Now()) {
					t.Fatal("the head was not due for a probe")
				}
				d.probeHead(context.Background(), head, 1)
				clock.Advance(probeInterval)
			}
			if got := d.headStopped(head.ID); got != tt.want {
				t.Errorf("head counts as stopped: got %v, want %v", got, tt.want)
			}
		})
	}
}
