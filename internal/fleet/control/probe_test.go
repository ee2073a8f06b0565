package control

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"almondbay.example/internal/fleet/formation"
	"almondbay.example/internal/fleet/registry"
)

// heads returns a domain whose probes have the given result, and its clock.
func heads(result *ProbeResult) (*domain, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	controller := New(Config{
		Clock: clock, Logger: zap.NewNop(), FailureDomains: []string{"a"}, UnreachableTimeout: time.Hour,
		ProbeHead: func(context.Context, registry.Server) ProbeResult { return *result },
	})
	return controller.domains[0], clock
}

// openHead returns the record of an open head whose registration is missing.
func openHead(now time.Time) registry.Record {
	return registry.Record{MissingSince: now, Server: registry.Server{
		ID: "head", Incarnation: 7, Group: registry.Membership{Name: "g", Epoch: 3, State: registry.StateOpen},
	}}
}

// probeFor probes a head as often as it is due for a time.
func (d *domain) probeFor(t *testing.T, clock *clockwork.FakeClock, r registry.Record, length time.Duration) {
	t.Helper()
	for end := clock.Now().Add(length); !clock.Now().After(end); clock.Advance(probeInterval) {
		p := d.startProbe(r, r.MissingSince.IsZero(), clock.Now())
		if p == nil {
			t.Fatal("the head was not due for a probe")
		}
		d.probeHead(context.Background(), r.Server, p, 1)
	}
}

// maxWork is the time after which a head that accepts nothing new has no work, with slack.
const maxWork = 11 * time.Second

// unreachable is the result of a probe in which nobody reached the head.
var unreachable = ProbeResult{Probed: 6, Witnesses: 6}

// TestPartitionedFailureDomainKeepsItsGroups covers a failure domain that is
// cut off while the platform is down (fault patterns zone_cut and
// platform_down). A head that only nodes fail to reach which reach no other server of its
// failure domain may still serve, so its members must not join another group.
func TestPartitionedFailureDomainKeepsItsGroups(t *testing.T) {
	idle := State{Incarnation: 7}
	tests := []struct {
		name   string
		result ProbeResult
		// heard is how long before the head was missed it may last have been heard of.
		heard  time.Duration
		length time.Duration
		want   bool
	}{
		{"probed from its failure domain too", unreachable, 0, maxWork, true},
		{"probed from its failure domain too, for less than it may work", unreachable, 0, 9 * time.Second, false},
		{"refused, for less than it may work", ProbeResult{Probed: 6, Refused: 6}, 0, 9 * time.Second, false},
		{"silent since long before its registration lapsed", unreachable, 4 * time.Second, 7 * time.Second, true},
		{"refused since its registration lapsed", ProbeResult{Probed: 6, Witnesses: 5, Refused: 1}, 4 * time.Second, 9 * time.Second, false},
		{"probed by nodes that reach nothing in its failure domain", ProbeResult{Probed: 6}, 0, time.Minute, false},
		{"probed by one node that reaches nothing in its failure domain", ProbeResult{Probed: 1}, 0, time.Minute, false},
		{"its address resets connections of one node", ProbeResult{Probed: 6, Witnesses: 5, Unclear: 1}, 0, time.Minute, false},
		{"refused by its address, which resets connections of another node", ProbeResult{Probed: 6, Refused: 5, Unclear: 1}, 0, time.Minute, false},
		{"reached, in no group", ProbeResult{Probed: 6, Replies: []State{idle}}, 0, 0, true},
		{"reached, started again", ProbeResult{Probed: 6, Replies: []State{{Incarnation: 8}}}, 0, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, clock := heads(&tt.result)
			head := openHead(clock.Now())
			head.HeardAt = clock.Now().Add(-tt.heard)
			d.probeFor(t, clock, head, tt.length)
			if got := d.headStopped(head); got != tt.want {
				t.Errorf("head counts as stopped: got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestFewNodesFindOutThatHeadStopped guards against members that stay bound to a head that
// ended since only few nodes are alive that could probe it.
func TestFewNodesFindOutThatHeadStopped(t *testing.T) {
	tests := []struct {
		name   string
		result ProbeResult
	}{
		{"one node, refused", ProbeResult{Probed: 1, Refused: 1}},
		{"one node, silent", ProbeResult{Probed: 1, Witnesses: 1}},
		{"two nodes, refused", ProbeResult{Probed: 2, Refused: 2}},
		{"two nodes, silent, one of them cut off from it", ProbeResult{Probed: 2, Witnesses: 1}},
		{"three nodes, refused", ProbeResult{Probed: 3, Refused: 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, clock := heads(&tt.result)
			head := openHead(clock.Now())
			d.probeFor(t, clock, head, 9*time.Second)
			if d.headStopped(head) {
				t.Error("the head counts as stopped before it must have ended its work")
			}
			d.probeFor(t, clock, head, maxWork-9*time.Second)
			if !d.headStopped(head) {
				t.Error("the head doesn't count as stopped")
			}
		})
	}
}

// TestLostPacketsDoNotBreakGroup guards against a group that is broken since single probes
// of its silent head were lost: with few nodes, several rounds of probes have to fail.
func TestLostPacketsDoNotBreakGroup(t *testing.T) {
	result := ProbeResult{Probed: 1, Witnesses: 1}
	d, clock := heads(&result)
	d.config.GroupStall = 4 * time.Second
	head := openHead(clock.Now())
	d.probeFor(t, clock, head, (minWitnesses-2)*probeInterval)
	if d.headSilent(head) {
		t.Errorf("the head counts as silent after %d failures to reach it, want %d", minWitnesses-1, minWitnesses)
	}
	d.probeFor(t, clock, head, 0)
	if !d.headSilent(head) {
		t.Errorf("the head doesn't count as silent after %d failures to reach it", minWitnesses)
	}
}

// TestWhatDoesNotProveThatHeadStopped guards against members that join another group on
// evidence that is old, incomplete or about another server.
func TestWhatDoesNotProveThatHeadStopped(t *testing.T) {
	serving := State{Incarnation: 7, Group: registry.Membership{Name: "g", Epoch: 3, State: registry.StateOpen}}
	tests := []struct {
		name string
		play func(d *domain, clock *clockwork.FakeClock, result *ProbeResult, head *registry.Record)
	}{
		{"unreachable, but for one probe in between", func(d *domain, clock *clockwork.FakeClock, result *ProbeResult, head *registry.Record) {
			d.probeFor(t, clock, *head, 8*time.Second)
			*result = ProbeResult{Probed: 6, Replies: []State{serving}}
			d.probeFor(t, clock, *head, 0)
			*result = unreachable
			d.probeFor(t, clock, *head, 9*time.Second)
		}},
		{"silent for long, and refused for less than it may work", func(d *domain, clock *clockwork.FakeClock, result *ProbeResult, head *registry.Record) {
			d.probeFor(t, clock, *head, 9*time.Second)
			result.Refused = 6
			d.probeFor(t, clock, *head, 9*time.Second)
		}},
		{"unreachable before and after a suspension of the controller", func(d *domain, clock *clockwork.FakeClock, _ *ProbeResult, head *registry.Record) {
			d.probeFor(t, clock, *head, 0)
			clock.Advance(maxWork)
			d.probeFor(t, clock, *head, 0)
		}},
		{"unreachable in an earlier term", func(d *domain, clock *clockwork.FakeClock, _ *ProbeResult, head *registry.Record) {
			d.probeFor(t, clock, *head, maxWork)
			d.clearProbes()
		}},
		{"unreachable before it was registered again", func(d *domain, clock *clockwork.FakeClock, _ *ProbeResult, head *registry.Record) {
			d.probeFor(t, clock, *head, maxWork)
			head.MissingSince = clock.Now()
		}},
		{"one node reached another server at its address, another one the head", func(d *domain, clock *clockwork.FakeClock, result *ProbeResult, head *registry.Record) {
			*result = ProbeResult{Probed: 6, Replies: []State{serving, {Incarnation: 9}}}
			d.probeFor(t, clock, *head, 0)
		}},
		{"a reply that does not say whose it is", func(d *domain, clock *clockwork.FakeClock, result *ProbeResult, head *registry.Record) {
			*result = ProbeResult{Probed: 6, Replies: []State{{}}}
			d.probeFor(t, clock, *head, 0)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			result := unreachable
			d, clock := heads(&result)
			d.config.Orders = refusingOrders{}
			head := openHead(clock.Now())
			tt.play(d, clock, &result, &head)
			if d.headStopped(head) {
				t.Error("the head counts as stopped")
			}
		})
	}
}

// refusingOrders rejects all orders.
type refusingOrders struct{}

func (refusingOrders) Send(context.Context, formation.Order, uint64, uint64) (int, error) {
	return http.StatusConflict, nil
}

func (refusingOrders) QueryState(context.Context, registry.Server) (State, error) {
	return State{}, nil
}
