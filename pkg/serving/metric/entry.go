package metric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// latencyBuckets range from the duration of a round trip to that of a long stream,
// in seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.005, 1.8, 14)

var (
	entryRequests = Definition{
		Name: "almondbay_entry_requests_total", Kind: KindCounter, Labels: []string{"service", "model", "outcome", "status"},
		Help: "Requests of callers that ended on an entry VM.",
	}
	entryTries = Definition{
		Name: "almondbay_entry_tries_total", Kind: KindCounter, Labels: []string{"service", "model", "result"},
		Help: "Tries of requests at backend servers, by result: answered, or the reason why not.",
	}
	entryFirstByte = Definition{
		Name: "almondbay_entry_first_byte_seconds", Kind: KindHistogram, Labels: []string{"service", "model"},
		Help:    "Time from the arrival of a request to the first byte of its answer.",
		buckets: latencyBuckets,
	}
	entryGap = Definition{
		Name: "almondbay_entry_gap_seconds", Kind: KindHistogram, Labels: []string{"service", "model"},
		Help:    "Longest time between two consecutive events of a stream.",
		buckets: latencyBuckets,
	}
	entryDuration = Definition{
		Name: "almondbay_entry_duration_seconds", Kind: KindHistogram, Labels: []string{"service", "model", "outcome"},
		Help:    "Time from the arrival of a request to its end.",
		buckets: latencyBuckets,
	}
	entryStoreCalls = Definition{
		Name: "almondbay_entry_store_calls_total", Kind: KindCounter, Labels: []string{"call", "result"},
		Help: "Calls of this node to the store of the platform.",
	}
	entryStoreSeconds = Definition{
		Name: "almondbay_entry_store_call_seconds", Kind: KindHistogram, Labels: []string{"call"},
		Help:    "Duration of calls to the store of the platform, including the time that a call waits for a change.",
		buckets: latencyBuckets,
	}
	entryHeads = Definition{
		Name: "almondbay_entry_heads", Kind: KindGauge, Labels: []string{"service", "model"},
		Help: "Backend servers to which requests can be sent.",
	}
	entryReady = Definition{
		Name: "almondbay_entry_ready", Kind: KindGauge,
		Help: "1 if the node reports to the load balancer that it is ready for connections, else 0.",
	}
	entryVersion = Definition{
		Name: "almondbay_entry_configuration_version", Kind: KindGauge,
		Help: "Version of the configuration in force.",
	}
	entryLeases = Definition{
		Name: "almondbay_entry_leases_held", Kind: KindGauge,
		Help: "Failure domains whose replica groups the node controls.",
	}
	entryServerEnds = Definition{
		Name: "almondbay_entry_server_ends_total", Kind: KindCounter, Labels: []string{"proof"},
		Help: "Ends of backend servers, not as planned, by which this node lost requests, by how it found out.",
	}
	entryQuarantined = Definition{
		Name: "almondbay_entry_quarantined_requests", Kind: KindGauge,
		Help: "Requests, by content, that the node rejects because backend servers ended under them.",
	}
	entryQuarantinedParts = Definition{
		Name: "almondbay_entry_quarantined_prompt_parts", Kind: KindGauge,
		Help: "Parts of prompts for which the node rejects requests because backend servers ended under them.",
	}
	entryStatements = Definition{
		Name: "almondbay_entry_server_statements_total", Kind: KindCounter, Labels: []string{"statement"},
		Help: "Answers in which a backend server said that it is about to shut down (leaving, once for each start of it), or asked for a pause (pause).",
	}
	entryDistrusted = Definition{
		Name: "almondbay_entry_distrusted_connections_total", Kind: KindCounter, Labels: []string{"cause"},
		Help: "Connections to backend servers that were closed because of what came on them: a response to another request (otherRequest), bytes that no request asked for (unsolicited), a rejection of an ID that was to be sent on it again (rejectedBefore), or as many rejections as a connection remembers (manyRejections).",
	}
	entryMemory = Definition{
		Name: "almondbay_entry_memory_bytes", Kind: KindGauge,
		Help: "Bytes in use in the account of memory for requests in flight, with their bodies and buffered responses.",
	}
	entryMemorySize = Definition{
		Name: "almondbay_entry_memory_size_bytes", Kind: KindGauge,
		Help: "Size of the account of memory for requests in flight, with their bodies and buffered responses.",
	}
	entryMemoryRefusals = Definition{
		Name: "almondbay_entry_memory_refusals_total", Kind: KindCounter,
		Help: "Requests, and responses to requests, for which the account of memory had no room.",
	}
	entryConnections = Definition{
		Name: "almondbay_entry_connections", Kind: KindGauge, Labels: []string{"listener"},
		Help: "Open connections to a listener of the node.",
	}
	entryConnectionLimit = Definition{
		Name: "almondbay_entry_connections_limit", Kind: KindGauge, Labels: []string{"listener"},
		Help: "Connections to a listener of the node that may be open at the same time.",
	}
	entryClosedConnections = Definition{
		Name: "almondbay_entry_closed_connections_total", Kind: KindCounter, Labels: []string{"listener", "cause"},
		Help: "Connections to a listener of the node that were closed, or whose request was given up: one that had stood still for another (makesRoom), a new one while all had requests under way (noRoom), or one whose body or answer had stood still too long (standsStill).",
	}
	entryOrders = Definition{
		Name: "almondbay_entry_orders_total", Kind: KindCounter, Labels: []string{"operation", "status"},
		Help: "Orders sent to backend servers, by the status of the answer; 0 for no answer.",
	}
)

// entryDefinitions are the metrics of an entry VM.
var entryDefinitions = []Definition{
	entryRequests, entryTries, entryFirstByte, entryGap, entryDuration, entryStoreCalls, entryStoreSeconds,
	entryHeads, entryReady, entryVersion, entryLeases, entryOrders, entryServerEnds, entryQuarantined, entryQuarantinedParts, entryStatements,
	entryDistrusted, entryMemory, entryMemorySize, entryMemoryRefusals, entryConnections, entryConnectionLimit, entryClosedConnections,
}

// Entry holds the metrics of a node on an entry VM. It is safe for concurrent use.
// The values of labels must come from the configuration or from fixed sets, so
// that the number of series is bounded.
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
	ServerEnds           *prometheus.CounterVec
	Quarantined          prometheus.Gauge
	QuarantinedParts     prometheus.Gauge
	Statements           *prometheus.CounterVec
	Distrusted           *prometheus.CounterVec
	ClosedConnections    *prometheus.CounterVec

	registry *prometheus.Registry
}

// NewEntry returns the metrics of an entry VM, including those of the Go runtime.
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
		ServerEnds:           prometheus.NewCounterVec(counterOptions(entryServerEnds), entryServerEnds.Labels),
		Quarantined:          prometheus.NewGauge(gaugeOptions(entryQuarantined)),
		QuarantinedParts:     prometheus.NewGauge(gaugeOptions(entryQuarantinedParts)),
		Statements:           prometheus.NewCounterVec(counterOptions(entryStatements), entryStatements.Labels),
		Distrusted:           prometheus.NewCounterVec(counterOptions(entryDistrusted), entryDistrusted.Labels),
		ClosedConnections:    prometheus.NewCounterVec(counterOptions(entryClosedConnections), entryClosedConnections.Labels),
	}
	e.registry.MustRegister(e.Requests, e.Tries, e.FirstByte, e.Gap, e.Duration, e.StoreCalls, e.StoreSeconds,
		e.Heads, e.Ready, e.ConfigurationVersion, e.Leases, e.Orders, e.ServerEnds, e.Quarantined, e.QuarantinedParts, e.Statements, e.Distrusted, e.ClosedConnections, collectors.NewGoCollector())
	return e
}

func gaugeOptions(d Definition) prometheus.GaugeOpts {
	return prometheus.GaugeOpts{Name: d.Name, Help: d.Help}
}

// Handler returns a handler that serves the metrics to Prometheus.
func (e *Entry) Handler() http.Handler {
	return promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{})
}

// WatchMemory serves the account of memory for requests in flight. It must be called once.
func (e *Entry) WatchMemory(account func() (used, size int64, refused uint64)) {
	e.registry.MustRegister(
		prometheus.NewGaugeFunc(gaugeOptions(entryMemory), func() float64 {
			used, _, _ := account()
			return float64(used)
		}),
		prometheus.NewGaugeFunc(gaugeOptions(entryMemorySize), func() float64 {
			_, size, _ := account()
			return float64(size)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts(gaugeOptions(entryMemoryRefusals)), func() float64 {
			_, _, refused := account()
			return float64(refused)
		}),
	)
}

// WatchConnections serves the number of open connections to a listener, and its limit. It
// must be called once for each listener.
func (e *Entry) WatchConnections(listener string, limit int, connections func() int) {
	gauge := func(d Definition, value func() float64) prometheus.Collector {
		o := gaugeOptions(d)
		o.ConstLabels = prometheus.Labels{"listener": listener}
		return prometheus.NewGaugeFunc(o, value)
	}
	e.registry.MustRegister(
		gauge(entryConnections, func() float64 { return float64(connections()) }),
		gauge(entryConnectionLimit, func() float64 { return float64(limit) }),
	)
}

// RecordStoreCall records the result and the duration of a call to the store of
// the platform.
func (e *Entry) RecordStoreCall(call, result string, took time.Duration) {
	e.StoreCalls.WithLabelValues(call, result).Inc()
	e.StoreSeconds.WithLabelValues(call).Observe(took.Seconds())
}
