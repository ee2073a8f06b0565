package metric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// latencyBuckets spans a round trip to a long stream, in seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.005, 1.8, 14)

var (
	entryRequests = Definition{
		Name: "almondbay_entry_requests_total", Kind: KindCounter, Labels: []string{"service", "model", "outcome", "status"},
		Help: "Callers' requests that have ended on an entry VM.",
	}
	entryTries = Definition{
		Name: "almondbay_entry_tries_total", Kind: KindCounter, Labels: []string{"service", "model", "result"},
		Help: "Offers of requests to backend servers: answered, or why not.",
	}
	entryFirstByte = Definition{
		Name: "almondbay_entry_first_byte_seconds", Kind: KindHistogram, Labels: []string{"service", "model"},
		Help:    "Time from a request to the first byte of its answer.",
		buckets: latencyBuckets,
	}
	entryGap = Definition{
		Name: "almondbay_entry_gap_seconds", Kind: KindHistogram, Labels: []string{"service", "model"},
		Help:    "Longest pause between two events of a stream.",
		buckets: latencyBuckets,
	}
	entryDuration = Definition{
		Name: "almondbay_entry_duration_seconds", Kind: KindHistogram, Labels: []string{"service", "model", "outcome"},
		Help:    "Time from a request to its end.",
		buckets: latencyBuckets,
	}
	entryStoreCalls = Definition{
		Name: "almondbay_entry_store_calls_total", Kind: KindCounter, Labels: []string{"call", "result"},
		Help: "Calls to the platform's store by this node.",
	}
	entryStoreSeconds = Definition{
		Name: "almondbay_entry_store_call_seconds", Kind: KindHistogram, Labels: []string{"call"},
		Help:    "Time that a call to the platform's store took, its wait for a change included.",
		buckets: latencyBuckets,
	}
	entryHeads = Definition{
		Name: "almondbay_entry_heads", Kind: KindGauge, Labels: []string{"service", "model"},
		Help: "Backend servers that requests can be sent to.",
	}
	entryReady = Definition{
		Name: "almondbay_entry_ready", Kind: KindGauge,
		Help: "Whether the node tells the balancer that it takes connections.",
	}
	entryVersion = Definition{
		Name: "almondbay_entry_configuration_version", Kind: KindGauge,
		Help: "Version of the configuration in force.",
	}
	entryLeases = Definition{
		Name: "almondbay_entry_leases_held", Kind: KindGauge,
		Help: "Failure domains whose replica groups the node controls.",
	}
	entryOrders = Definition{
		Name: "almondbay_entry_orders_total", Kind: KindCounter, Labels: []string{"operation", "status"},
		Help: "Orders given to backend servers; status 0 for those without an answer.",
	}
)

// entryDefinitions are the metrics of an entry VM.
var entryDefinitions = []Definition{
	entryRequests, entryTries, entryFirstByte, entryGap, entryDuration, entryStoreCalls, entryStoreSeconds,
	entryHeads, entryReady, entryVersion, entryLeases, entryOrders,
}

// Entry are the metrics of a node on an entry VM. They are safe for concurrent
// use. The values of labels come from the configuration and from fixed sets,
// so that the number of series is bounded.
type Entry struct {
	Requests             *prometheus.CounterVec
	Tries                *prometheus.CounterVec
	FirstByte            *prometheus.HistogramVec
	Gap                  *prometheus.HistogramVec
	Duration             *prometheus.HistogramVec
	StoreCalls           *prometheus.CounterVec
	StoreSeconds         *prometheus.HistogramVec
	Heads                *prometheus.GaugeVec
	Ready                prometheus.Gauge
	ConfigurationVersion prometheus.Gauge
	Leases               prometheus.Gauge
	Orders               *prometheus.CounterVec

	registry *prometheus.Registry
}

// NewEntry returns the metrics of an entry VM, with those of its process.
func NewEntry() *Entry {
	e := &Entry{
		registry:             prometheus.NewRegistry(),
		Requests:             prometheus.NewCounterVec(counterOptions(entryRequests), entryRequests.Labels),
		Tries:                prometheus.NewCounterVec(counterOptions(entryTries), entryTries.Labels),
		FirstByte:            prometheus.NewHistogramVec(histogramOptions(entryFirstByte), entryFirstByte.Labels),
		Gap:                  prometheus.NewHistogramVec(histogramOptions(entryGap), entryGap.Labels),
		Duration:             prometheus.NewHistogramVec(histogramOptions(entryDuration), entryDuration.Labels),
		StoreCalls:           prometheus.NewCounterVec(counterOptions(entryStoreCalls), entryStoreCalls.Labels),
		StoreSeconds:         prometheus.NewHistogramVec(histogramOptions(entryStoreSeconds), entryStoreSeconds.Labels),
		Heads:                prometheus.NewGaugeVec(gaugeOptions(entryHeads), entryHeads.Labels),
		Ready:                prometheus.NewGauge(gaugeOptions(entryReady)),
		ConfigurationVersion: prometheus.NewGauge(gaugeOptions(entryVersion)),
		Leases:               prometheus.NewGauge(gaugeOptions(entryLeases)),
		Orders:               prometheus.NewCounterVec(counterOptions(entryOrders), entryOrders.Labels),
	}
	e.registry.MustRegister(e.Requests, e.Tries, e.FirstByte, e.Gap, e.Duration, e.StoreCalls, e.StoreSeconds,
		e.Heads, e.Ready, e.ConfigurationVersion, e.Leases, e.Orders, collectors.NewGoCollector())
	return e
}

func gaugeOptions(d Definition) prometheus.GaugeOpts {
	return prometheus.GaugeOpts{Name: d.Name, Help: d.Help}
}

// Handler serves the metrics.
func (e *Entry) Handler() http.Handler {
	return promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{})
}

// RecordStoreCall counts a call to the platform's store.
func (e *Entry) RecordStoreCall(call, result string, took time.Duration) {
	e.StoreCalls.WithLabelValues(call, result).Inc()
	e.StoreSeconds.WithLabelValues(call).Observe(took.Seconds())
}
