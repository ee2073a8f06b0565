package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"almondbay.example/internal/routing/routes"
)

const (
	// demandInterval is the time between two samples of the demand.
	demandInterval = time.Second
	// demandSmoothing is the weight of one sample in the exponential moving
	// average, which follows peaks that last some ten seconds but not single
	// bursts.
	demandSmoothing = 0.15
	// demandTTL is how long the reported demand of another failure domain is used.
	demandTTL = 5 * time.Second
	// demandPrior is the demand, in slots, at which the measured and the
	// configured shares have equal weight.
	demandPrior = 15.0
)

// demand tracks the demand for each model, in slots.
type demand struct {
	mu    sync.Mutex
	local map[string]float64
	// remote holds the last report of each other failure domain.
	remote map[string]remoteDemand
}

type remoteDemand struct {
	models map[string]float64
	at     time.Time
}

func newDemand() *demand {
	return &demand{local: map[string]float64{}, remote: map[string]remoteDemand{}}
}

// AddSample adds a sample of this node's demand to the moving average.
func (d *demand) AddSample(models map[string]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()

	for model, slots := range models {
		old, ok := d.local[model]
		if !ok {
			old = slots
		}
		d.local[model] = old + (slots-old)*demandSmoothing
	}
}

// Local returns the averaged demand of this node.
func (d *demand) Local() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()

	return maps.Clone(d.local)
}

// DomainTotal returns the demand of this node's failure domain, given the sum
// over its other nodes.
func (d *demand) DomainTotal(others map[string]float64) map[string]float64 {
	sum := d.Local()
	for model, slots := range others {
		sum[model] += slots
	}
	return sum
}

// SetRemote stores the demand that another failure domain reported.
func (d *demand) SetRemote(failureDomain string, models map[string]float64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.remote[failureDomain] = remoteDemand{models: models, at: now}
}

// Total returns the demand of all failure domains, given the sum over the other
// nodes of this node's failure domain. Reports older than demandTTL are ignored.
func (d *demand) Total(others map[string]float64, now time.Time) map[string]float64 {
	sum := d.DomainTotal(others)
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

// weights returns the fraction of the engines that each model should get. It
// blends the configured shares with the measured demand, whose weight grows with
// the total demand.
func weights(e *routes.Engine, demand map[string]float64) map[string]float64 {
	configured, measured, total := 0.0, 0.0, 0.0
	engines := map[string]float64{}
	for _, m := range e.Models {
		configured += m.Share
		engines[m.Name] = demand[m.Name] / float64(max(1, e.Slots)) * float64(m.Size)
		measured += engines[m.Name]
		total += demand[m.Name]
	}
	weight := total / (total + demandPrior)
	result := make(map[string]float64, len(e.Models))
	for _, m := range e.Models {
		share := 1 / float64(len(e.Models))
		if configured > 0 {
			share = m.Share / configured
		}
		if measured > 0 {
			share += (engines[m.Name]/measured - share) * weight
		}
		result[m.Name] = share
	}
	return result
}

// weights returns the fraction of the engines that each model should get at the
// current demand.
func (n *Node) weights(e *routes.Engine) map[string]float64 {
	now := n.config.Clock.Now()
	return weights(e, n.demand.Total(n.peers.Demand(n.config.Settings.FailureDomain, now), now))
}

// sampleDemand adds a sample of this node's demand.
func (n *Node) sampleDemand(context.Context) error {
	n.demand.AddSample(n.board.Demand(demandInterval))
	return nil
}
