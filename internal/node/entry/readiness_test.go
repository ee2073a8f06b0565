package entry

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/balance"
	"almondbay.example/internal/routing/quarantine"
	"almondbay.example/internal/routing/routes"
	"almondbay.example/serving/metric"
)

// TestNodeIsNotReadyBeforeItKnowsItsHeads guards against refusals by a node that
// reports ready between reading the registrations and building the heads.
func TestNodeIsNotReadyBeforeItKnowsItsHeads(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := &Node{
		config:        Config{Clock: clock, Logger: zap.NewNop()},
		board:         balance.NewBoard(balance.Policy{MeanDuration: time.Second}),
		registrations: registry.NewCache(registry.CacheConfig{ReturnGrace: time.Second, RecordRetention: time.Minute}),
		heads:         map[balance.Key]int{},
		metrics:       metric.NewEntry(),
		losses:        quarantine.NewTracker(quarantine.TrackerConfig{}),
		watch:         &stepWatch{clock: clock},
	}
	check := func(step string, want bool) {
		t.Helper()
		if ready, cause := n.ready(); ready != want || (cause == "") != ready {
			t.Errorf("%s: ready %v, cause %q; want ready %v", step, ready, cause, want)
		}
	}
	server := &registry.Server{ID: "only", Service: "svc", Address: "127.0.0.1:1", Slots: 1, Incarnation: 1}
	check("at start", false)
	n.configuration.Store(&routes.Configuration{Version: 1, Services: map[string]routes.Service{"svc": {Name: "svc"}}})
	n.refreshHeads()
	check("heads built without registrations", false)
	n.registrations.Replace([]registry.Update{{ID: "only", Version: 1, Server: server}}, 1, clock.Now())
	check("registrations read", false)
	n.refreshHeads()
	check("heads built", true)
	if n.board.Pool(balance.Key{Service: "svc"}) == nil {
		t.Error("no head of the registered server")
	}
}
