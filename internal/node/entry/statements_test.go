package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/fleet/registry"
)

// answeringOrders answers state queries in one way.
type answeringOrders struct {
	control.Orders
	state control.State
	err   error
}

func (o answeringOrders) QueryState(context.Context, registry.Server) (control.State, error) {
	return o.state, o.err
}

// TestRunThatMayBeLeavingIsAsked guards against requests to a server that said that it is
// about to shut down before its present run was registered, and against a server that is
// left alone for good because its earlier run said so.
func TestRunThatMayBeLeavingIsAsked(t *testing.T) {
	tests := []struct {
		name  string
		state control.State
		err   error
		want  bool
	}{
		{"isn't leaving", control.State{Incarnation: 2}, nil, true},
		{"is leaving", control.State{Incarnation: 2, Leaving: true}, nil, false},
		{"earlier run, which the registration has overtaken", control.State{Incarnation: 1}, nil, false},
		{"gives no report", control.State{}, &control.StatusError{Server: "p", Status: 404}, true},
		{"gives no report and is leaving", control.State{}, &control.StatusError{Server: "p", Status: 404, Leaving: true}, false},
		{"another server at its address", control.State{}, control.ErrOtherServer, false},
		{"no answer", control.State{}, errors.New("connection refused"), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newReportingNode(t)
			n.registrations = registry.NewCache(registry.CacheConfig{ReturnGrace: time.Second, RecordRetention: time.Minute})
			n.config.Orders = answeringOrders{state: tt.state, err: tt.err}
			now := n.config.Clock.Now()
			run := func(incarnation int64) *registry.Server {
				return &registry.Server{ID: "p", Service: "svc", Slots: 6, Incarnation: incarnation, Sequence: 1}
			}
			n.registrations.Replace([]registry.Update{{ID: "p", Version: 1, Server: run(1)}}, 1, now)
			n.recordLeaving(registry.Life{ID: "p", Incarnation: 1})
			n.registrations.Apply([]registry.Update{{ID: "p", Version: 2, Server: run(2)}}, 2, now)
			n.askInDoubt(t.Context(), now)
			if err := n.checks.Wait(); err != nil {
				t.Fatal(err)
			}
			heads := registry.Heads(n.registrations.View(now), nil, now, time.Second)
			if got := len(heads) == 1; got != tt.want {
				t.Errorf("server is sent requests: got %v, want %v", got, tt.want)
			}
		})
	}
}
