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
		Help: "Generation requests that have ended: served, refused, failed, or excused by the caller's own doing.",
	}
	objectiveTotal = Definition{
		Name: "almondbay_objective_requests_total", Kind: KindCounter, Labels: []string{"workspace", "model", "result"},
		Help: "Requests that count for a service-level objective, by whether they met it.",
	}
	firstToken = Definition{
		Name: "almondbay_first_token_seconds", Kind: KindHistogram, Labels: []string{"workspace", "model"},
		Help:    "Time from a request to its first token, of served requests.",
		buckets: prometheus.ExponentialBuckets(0.02, 1.6, 16),
	}
	betweenToken = Definition{
		Name: "almondbay_between_token_seconds", Kind: KindHistogram, Labels: []string{"workspace", "model"},
		Help:    "Mean time between the tokens of a request, of served requests.",
		buckets: prometheus.ExponentialBuckets(0.005, 1.4, 14),
	}
	build = Definition{
		Name: "almondbay_build", Kind: KindGauge, Labels: []string{"version"},
		Help: "Always 1; the label tells the version of the program.",
	}
	ready = Definition{
		Name: "almondbay_ready", Kind: KindGauge,
		Help: "Whether the node takes requests from callers.",
	}
	revisionInForce = Definition{
		Name: "almondbay_revision_in_force", Kind: KindGauge,
		Help: "Revision of the document that the node has in force; 0 for none.",
	}
	revisionConfirmed = Definition{
		Name: "almondbay_revision_confirmed", Kind: KindGauge,
		Help: "Whether the platform itself has shown the revision in force or a higher one.",
	}
	documentDistance = Definition{
		Name: "almondbay_document_distance", Kind: KindGauge,
		Help: "Replica groups that the fleet lacks to match the document.",
	}
	nodesLagging = Definition{
		Name: "almondbay_nodes_lagging", Kind: KindGauge,
		Help: "Other nodes known to hold an older revision.",
	}
	leasesHeld = Definition{
		Name: "almondbay_leases_held", Kind: KindGauge,
		Help: "Fabric domains that the node controls.",
	}
	platformAge = Definition{
		Name: "almondbay_platform_age_seconds", Kind: KindGauge,
		Help: "Time since the platform's table service last answered.",
	}
	groupsWanted = Definition{
		Name: "almondbay_groups_wanted", Kind: KindGauge, Labels: []string{"model"},
		Help: "Replica groups that the document asks for.",
	}
	groupsServing = Definition{
		Name: "almondbay_groups_serving", Kind: KindGauge, Labels: []string{"model"},
		Help: "Replica groups at the wanted version that have a proof.",
	}
	groupStates = Definition{
		Name: "almondbay_groups", Kind: KindGauge, Labels: []string{"model", "state"},
		Help: "Replica groups by the state in their row.",
	}
	vms = Definition{
		Name: "almondbay_vms", Kind: KindGauge, Labels: []string{"role", "state"},
		Help: "VMs by role and state, a drained VM counted as leaving.",
	}
	burnRate = Definition{
		Name: "almondbay_burn_rate", Kind: KindGauge, Labels: []string{"workspace", "model", "window"},
		Help: "Burn rate of the error budget by this node's own requests.",
	}
	budgetLeft = Definition{
		Name: "almondbay_budget_left", Kind: KindGauge, Labels: []string{"workspace", "model"},
		Help: "Fraction of the day's error budget that this node's own requests left.",
	}
)

// snapshotDefinitions are the metrics that a scrape makes from the state of the
// node.
var snapshotDefinitions = []Definition{
	build, ready, revisionInForce, revisionConfirmed, documentDistance, nodesLagging, leasesHeld, platformAge,
	groupsWanted, groupsServing, groupStates, vms, burnRate, budgetLeft,
}

// All returns the catalogue.
func All() []Definition {
	return slices.Concat([]Definition{requestsTotal, objectiveTotal, firstToken, betweenToken}, snapshotDefinitions, entryDefinitions)
}
