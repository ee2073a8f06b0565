package control

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"almondbay.example/internal/fleet/registry"
)

// TestCutOffFailureDomainKeepsItsGroups answers the pattern zone_cut beside
// platform_down: a head that only other failure domains ask in vain may serve
// on, and its members must not join another group.
func TestCutOffFailureDomainKeepsItsGroups(t *testing.T) {
	tests := []struct {
		name    string
		vantage ProbeResult
		want    bool
	}{
		{"asked by its own failure domain too", ProbeResult{Probed: 6, SameDomain: 2}, true},
		{"asked by others only", ProbeResult{Probed: 6}, false},
		{"asked by too few", ProbeResult{Probed: 2, SameDomain: 2}, false},
		{"reached, in no group", ProbeResult{Probed: 6, SameDomain: 2, Reached: true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			controller := New(Config{
				Clock: clock, Logger: zap.NewNop(), FailureDomains: []string{"a"}, ProbeQuorum: 4, UnreachableTimeout: time.Hour,
				ProbeHead: func(context.Context, registry.Server) ProbeResult { return tt.vantage },
			})
			d := controller.domains[0]
			head := registry.Server{ID: "head", Group: registry.Membership{Name: "g", Epoch: 3, State: registry.StateOpen}}
			for range vainQuestions {
				if !d.beginAsking(head.ID, clock.Now()) {
					t.Fatal("the head was not to be asked")
				}
				d.askOne(context.Background(), head, 1)
				clock.Advance(askInterval)
			}
			if got := d.quiet(head.ID); got != tt.want {
				t.Errorf("known not to serve: %v", got)
			}
		})
	}
}
