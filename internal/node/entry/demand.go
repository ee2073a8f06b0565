package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"almondbay.example/internal/routing/routes"
)

const (
	// demandInterval is the time between two measurements of the demand.
	demandInterval = time.Second
	// demandWeight is the weight of one measurement in the moving mean: it
	// follows a wave of demand that lasts some ten seconds, not single bursts.
	demandWeight = 0.15
	// demandTTL is how long the word of another failure domain counts.
	demandTTL = 5 * time.Second
	// demandTrust is the demand, in slots, at which what was measured counts as
	// much as the share that the configuration states.
	demandTrust = 15.0
)

// demand follows the demand for each model, in slots.
type demand struct {
	mu  sync.Mutex
	own map[string]float64
	// remote holds what other failure domains said.
	remote map[string]remoteDemand
}

type remoteDemand struct {
	models map[string]float64
	at     time.Time
}

func newDemand() *demand {
	return &demand{own: map[string]float64{}, remote: map[string]remoteDemand{}}
}

// Measured takes in a measurement of this node's own demand.
func (d *demand) Measured(models map[string]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()

	for model, slots := range models {
		old, ok := d.own[model]
		if !ok {
			old = slots
		}
		d.own[model] = old + (slots-old)*demandWeight
	}
}

// Own returns this node's demand.
func (d *demand) Own() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()

	return maps.Clone(d.own)
}

// Sum returns the demand of the failure domain, given that of the other nodes.
func (d *demand) Sum(others map[string]float64) map[string]float64 {
	sum := d.Own()
	for model, slots := range others {
		sum[model] += slots
	}
	return sum
}

// Remote takes in the demand of another failure domain.
func (d *demand) Remote(failureDomain string, models map[string]float64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.remote[failureDomain] = remoteDemand{models: models, at: now}
}

// All returns the demand of all failure domains, given that of the other nodes
// of the own one.
func (d *demand) All(others map[string]float64, now time.Time) map[string]float64 {
	sum := d.Sum(others)
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, r := range d.remote {
		if now.Sub(r.at) > demandTTL {
			continue
		}
		for model, slots := range r.models {
			sum[model] += slots
		}
	}
	return sum
}

// weights returns the part of the engines that each model should have: what the
// configuration states, more and more overruled by what is asked for.
func weights(e *routes.Engine, demand map[string]float64) map[string]float64 {
	stated, measured, total := 0.0, 0.0, 0.0
	engines := map[string]float64{}
	for _, m := range e.Models {
		stated += m.Share
		engines[m.Name] = demand[m.Name] / float64(max(1, e.Slots)) * float64(m.Size)
		measured += engines[m.Name]
		total += demand[m.Name]
	}
	trust := total / (total + demandTrust)
	result := make(map[string]float64, len(e.Models))
	for _, m := range e.Models {
		share := 1 / float64(len(e.Models))
		if stated > 0 {
			share = m.Share / stated
		}
		if measured > 0 {
			share += (engines[m.Name]/measured - share) * trust
		}
		result[m.Name] = share
	}
	return result
}

// weights returns the part of the engines that each model should have.
func (n *Node) weights(e *routes.Engine) map[string]float64 {
	now := n.config.Clock.Now()
	return weights(e, n.demand.All(n.members.Demand(n.config.Settings.FailureDomain, now), now))
}

// measureDemand takes a measurement of this node's own demand.
func (n *Node) measureDemand(context.Context) error {
	n.demand.Measured(n.board.Demand(demandInterval))
	return nil
}
