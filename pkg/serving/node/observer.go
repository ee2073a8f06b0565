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

// observer counts the requests that the gateway has ended, against the
// objectives of the document in force.
type observer struct {
	clock    clockwork.Clock
	view     *view.View
	recorder *burn.Recorder
	// metrics is set before the gateway serves.
	metrics *metric.Metrics
}

var _ caller.Observer = (*observer)(nil)

// Observe implements caller.Observer.
func (o *observer) Observe(ended caller.Observation) {
	d, _ := o.view.Document()
	good, counts := burn.Evaluate(objective(d, ended.Workspace), ended.Sample)
	if counts {
		o.recorder.Record(ended.Series, good, o.clock.Now())
	}
	o.metrics.Observe(metric.Request{Series: ended.Series, Sample: ended.Sample, UnderObjective: counts, Good: good})
}

func objective(d document.Document, workspace string) document.Objective {
	for _, w := range d.Workspaces {
		if w.Name == workspace {
			return w.Objective
		}
	}
	return document.Objective{}
}

// report reports on what this node has counted.
func (o *observer) report() burn.Report {
	now := o.clock.Now()
	d, _ := o.view.Document()
	return burn.NewReport(burn.DefaultPolicy(), d, o.histories(), now)
}

func (o *observer) histories() []burn.History {
	return o.recorder.Histories(o.clock.Now())
}

// burn reports on what all nodes have counted.
func (n *Node) burn(ctx context.Context) (burn.Report, []string, error) {
	histories, missing := n.relay.Histories(ctx)
	d, _ := n.view.Document()
	return burn.NewReport(burn.DefaultPolicy(), d, histories, n.config.Clock.Now()), missing, nil
}
