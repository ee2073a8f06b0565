package metric

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"
)

// Kind is the type of a metric.
type Kind string

// Kinds of metrics.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Definition describes one metric.
type Definition struct {
	Name   string
	Kind   Kind
	Labels []string
	Help   string
	// buckets holds the upper bounds of a histogram's buckets, in seconds.
	buckets []float64
}

var (
	requestsTotal = Definition{
		Name: "almondbay_requests_total", Kind: KindCounter, Labels: []string{"workspace", "model", "outcome"},
		Help: "Generation requests that ended, by outcome: served, refused, failed, or excused because the caller caused the failure.",
	}
	objectiveTotal = Definition{
		Name: "almondbay_objective_requests_total", Kind: KindCounter, Labels: []string{"workspace", "model", "result"},
		Help: "Requests that count towards a service-level objective, by whether they met it.",
	}
	firstToken = Definition{
		Name: "almondbay_first_token_seconds", Kind: KindHistogram, Labels: []string{"workspace", "model"},
		Help:    "Time from the arrival of a request to its first token, for served requests.",
		buckets: prometheus.ExponentialBuckets(0.02, 1.6, 16),
	}
	betweenToken = Definition{
		Name: "almondbay_between_token_seconds", Kind: KindHistogram, Labels: []string{"workspace", "model"},
		Help:    "Mean time between the tokens of a request, for served requests.",
		buckets: prometheus.ExponentialBuckets(0.005, 1.4, 14),
	}
	build = Definition{
		Name: "almondbay_build", Kind: KindGauge, Labels: []string{"version"},
		Help: "Always 1; the label is the version of the program.",
	}
	ready = Definition{
		Name: "almondbay_ready", Kind: KindGauge,
		Help: "1 if the node is ready for requests of callers, else 0.",
	}
	revisionInForce = Definition{
		Name: "almondbay_revision_in_force", Kind: KindGauge,
		Help: "Revision of the document in force on the node; 0 for none.",
	}
	revisionConfirmed = Definition{
		Name: "almondbay_revision_confirmed", Kind: KindGauge,
		Help: "1 if the node has read the revision in force, or a higher one, from the platform itself, else 0.",
	}
	documentDistance = Definition{
		Name: "almondbay_document_distance", Kind: KindGauge,
		Help: "Replica groups that the document requires and that are not serving.",
	}
	nodesLagging = Definition{
		Name: "almondbay_nodes_lagging", Kind: KindGauge,
		Help: "Other nodes that are known to have an older revision in force.",
	}
	leasesHeld = Definition{
		Name: "almondbay_leases_held", Kind: KindGauge,
		Help: "Fabric domains that the node controls.",
	}
	platformAge = Definition{
		Name: "almondbay_platform_age_seconds", Kind: KindGauge,
		Help: "Time since the last answer of the table service of the platform.",
	}
	groupsWanted = Definition{
		Name: "almondbay_groups_wanted", Kind: KindGauge, Labels: []string{"model"},
		Help: "Replica groups that the document requires.",
	}
	groupsServing = Definition{
		Name: "almondbay_groups_serving", Kind: KindGauge, Labels: []string{"model"},
		Help: "Replica groups that serve the version in the document, as proven by their members.",
	}
	groupStates = Definition{
		Name: "almondbay_groups", Kind: KindGauge, Labels: []string{"model", "state"},
		Help: "Replica groups by the state in their rows.",
	}
	vms = Definition{
		Name: "almondbay_vms", Kind: KindGauge, Labels: []string{"role", "state"},
		Help: "VMs by role and state; a drained VM counts as leaving.",
	}
	burnRate = Definition{
		Name: "almondbay_burn_rate", Kind: KindGauge, Labels: []string{"workspace", "model", "window"},
		Help: "Burn rate of the error budget over the window, from the requests of this node only.",
	}
	budgetLeft = Definition{
		Name: "almondbay_budget_left", Kind: KindGauge, Labels: []string{"workspace", "model"},
		Help: "Fraction of the error budget of the last day that is left, from the requests of this node only.",
	}
)

// snapshotDefinitions are the metrics that are computed from the state of the node
// at each scrape.
var snapshotDefinitions = []Definition{
	build, ready, revisionInForce, revisionConfirmed, documentDistance, nodesLagging, leasesHeld, platformAge,
	groupsWanted, groupsServing, groupStates, vms, burnRate, budgetLeft,
}

// All returns all definitions in the order of docs/METRICS.md.
func All() []Definition {
	return slices.Concat([]Definition{requestsTotal, objectiveTotal, firstToken, betweenToken}, snapshotDefinitions, entryDefinitions)
}
