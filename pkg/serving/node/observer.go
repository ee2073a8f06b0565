package node

import (
	"context"

	"github.com/jonboulle/clockwork"

	"almondbay.example/core/burn"
	"almondbay.example/core/document"
	"almondbay.example/serving/caller"
	"almondbay.example/serving/metric"
	"almondbay.example/serving/view"
)

// observer records the requests completed by the gateway, evaluated against the
// objectives of the document in force, and their metrics.
type observer struct {
	clock    clockwork.Clock
	view     *view.View
	recorder *burn.Recorder
	// metrics is set before the gateway serves.
	metrics *metric.Metrics
}

var _ caller.Observer = (*observer)(nil)

// Observe implements caller.Observer.
func (o *observer) Observe(observation caller.Observation) {
	d, _ := o.view.Document()
	good, counts := burn.Evaluate(objective(d, observation.Workspace), observation.Sample)
	if counts {
		o.recorder.Record(observation.Series, good, o.clock.Now())
	}
	o.metrics.Observe(metric.Request{Series: observation.Series, Sample: observation.Sample, UnderObjective: counts, Good: good})
}

func objective(d document.Document, workspace string) document.Objective {
	for _, w := range d.Workspaces {
		if w.Name == workspace {
			return w.Objective
		}
	}
	return document.Objective{}
}

// report returns the burn report over the requests of this node.
func (o *observer) report() burn.Report {
	now := o.clock.Now()
	d, _ := o.view.Document()
	return burn.NewReport(burn.DefaultPolicy(), d, o.histories(), now)
}

func (o *observer) histories() []burn.History {
	return o.recorder.Histories(o.clock.Now())
}

// burn returns the burn report over the requests of all nodes, and the IDs of the
// nodes whose counts are missing from it.
func (n *Node) burn(ctx context.Context) (burn.Report, []string, error) {
	histories, missing := n.relay.Histories(ctx)
	d, _ := n.view.Document()
	return burn.NewReport(burn.DefaultPolicy(), d, histories, n.config.Clock.Now()), missing, nil
}
