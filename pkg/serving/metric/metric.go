// Package metric defines and records the Prometheus metrics of a node.
// docs/METRICS.md lists them; a test checks that the page matches the catalogue.
package metric

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"almondbay.example/core/burn"
	"almondbay.example/serving/status"
)

// Request describes a generation request that has ended.
type Request struct {
	burn.Series
	burn.Sample
	// UnderObjective is true if the request counts towards an objective of its
	// workspace, and Good if it met the objective.
	UnderObjective bool
	Good           bool
}

// Config configures Metrics.
type Config struct {
	Clock clockwork.Clock
	// Status returns the current state of the node; it is called at each scrape.
	Status func() status.Status
	// Burn returns the burn report from the counts of this node only.
	Burn func() burn.Report
}

// Metrics holds the metrics of one node. It is safe for concurrent use.
type Metrics struct {
	registry     *prometheus.Registry
	requests     *prometheus.CounterVec
	objective    *prometheus.CounterVec
	firstToken   *prometheus.HistogramVec
	betweenToken *prometheus.HistogramVec
}

// New returns the metrics of a node, including those of its process and of the Go
// runtime.
func New(c Config) *Metrics {
	m := &Metrics{
		registry:     prometheus.NewRegistry(),
		requests:     prometheus.NewCounterVec(counterOptions(requestsTotal), requestsTotal.Labels),
		objective:    prometheus.NewCounterVec(counterOptions(objectiveTotal), objectiveTotal.Labels),
		firstToken:   prometheus.NewHistogramVec(histogramOptions(firstToken), firstToken.Labels),
		betweenToken: prometheus.NewHistogramVec(histogramOptions(betweenToken), betweenToken.Labels),
	}
	m.registry.MustRegister(
		m.requests, m.objective, m.firstToken, m.betweenToken,
		newSnapshot(c),
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

// Handler returns a handler that serves the metrics to Prometheus.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Observe records a request. Its workspace and model must be in the document, so
// that the number of series is bounded.
func (m *Metrics) Observe(r Request) {
	m.requests.WithLabelValues(r.Workspace, r.Model, string(r.Outcome)).Inc()
	if r.UnderObjective {
		m.objective.WithLabelValues(r.Workspace, r.Model, result(r.Good)).Inc()
	}
	if r.Outcome != burn.Served {
		return
	}
	m.firstToken.WithLabelValues(r.Workspace, r.Model).Observe(r.FirstToken.Seconds())
	if r.BetweenToken > 0 {
		m.betweenToken.WithLabelValues(r.Workspace, r.Model).Observe(r.BetweenToken.Seconds())
	}
}

// result returns the value of the label result.
func result(good bool) string {
	if good {
		return "good"
	}
	return "bad"
}

func counterOptions(d Definition) prometheus.CounterOpts {
	return prometheus.CounterOpts{Name: d.Name, Help: d.Help}
}

func histogramOptions(d Definition) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{Name: d.Name, Help: d.Help, Buckets: d.buckets}
}

// snapshot is a collector that computes metrics from the state of the node at each
// scrape.
type snapshot struct {
	config Config
	descs  map[string]*prometheus.Desc
}

func newSnapshot(c Config) *snapshot {
	s := &snapshot{config: c, descs: make(map[string]*prometheus.Desc)}
	for _, d := range snapshotDefinitions {
		s.descs[d.Name] = prometheus.NewDesc(d.Name, d.Help, d.Labels, nil)
	}
	return s
}

// Describe implements prometheus.Collector.
func (s *snapshot) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range s.descs {
		descs <- desc
	}
}

// Collect implements prometheus.Collector.
func (s *snapshot) Collect(metrics chan<- prometheus.Metric) {
	send := func(d Definition, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(s.descs[d.Name], prometheus.GaugeValue, value, labels...)
	}
	state := s.config.Status()
	send(build, 1, state.Version)
	send(ready, boolValue(state.Ready))
	send(revisionInForce, float64(state.Revision.Revision))
	send(revisionConfirmed, boolValue(state.Revision.Confirmed))
	send(documentDistance, float64(state.Distance()))
	send(nodesLagging, float64(len(state.Lagging())))
	send(leasesHeld, float64(len(state.Leases)))
	if !state.PlatformSeenAt.IsZero() {
		send(platformAge, s.config.Clock.Since(state.PlatformSeenAt).Seconds())
	}
	for _, m := range state.Models {
		send(groupsWanted, float64(m.Wanted), m.Name)
		send(groupsServing, float64(m.Serving), m.Name)
	}
	sendCounts(send, state)
	s.sendBurn(send)
}

// sendCounts sends the numbers of replica groups and VMs by state.
func sendCounts(send func(Definition, float64, ...string), state status.Status) {
	type labels struct{ first, second string }
	groups, members := make(map[labels]int), make(map[labels]int)
	for _, g := range state.Groups {
		groups[labels{g.Model, g.State}]++
	}
	for _, vm := range state.VMs {
		members[labels{vm.Role, vm.State}]++
	}
	for l, count := range groups {
		send(groupStates, float64(count), l.first, l.second)
	}
	for l, count := range members {
		send(vms, float64(count), l.first, l.second)
	}
}

// sendBurn sends the burn rates and the error budget left of each workspace and
// model.
func (s *snapshot) sendBurn(send func(Definition, float64, ...string)) {
	for _, row := range s.config.Burn().Rows {
		send(budgetLeft, row.BudgetLeft, row.Workspace, row.Model)
		for _, w := range row.Windows {
			send(burnRate, w.Rate, row.Workspace, row.Model, windowLabel(w.Length))
		}
	}
}

// windowLabel formats the length of a window in whole minutes, such as "360m".
func windowLabel(d time.Duration) string {
	return fmt.Sprintf("%dm", int(d.Minutes()))
}

// boolValue returns the gauge value of a boolean.
func boolValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

const pageHead = `# Metrics

A node serves these metrics on its admin address under ` + "`/metrics`" + `, together with
the usual metrics of its process; requests need the key of an operator. Metrics whose
names begin with almondbay_entry_ are served by nodes on entry VMs, on the second of
their internal ports. This page is generated from the catalogue in pkg/serving/metric;
a test fails when they differ.

| Metric | Type | Labels | Meaning |
|---|---|---|---|
`

// Markdown returns the contents of docs/METRICS.md.
func Markdown() string {
	var page strings.Builder
	page.WriteString(pageHead)
	for _, d := range All() {
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s |\n", d.Name, d.Kind, strings.Join(d.Labels, ", "), d.Help)
	}
	return page.String()
}
