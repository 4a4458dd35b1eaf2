package metric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// namespace is the prefix of the name of each metric.
const namespace = "tanagerchute"

// latencyBuckets are the upper bounds of the histogram buckets, in seconds.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 1, 1.5, 2, 3, 5, 10}

// Set holds the metrics of one node. It is safe for concurrent use.
type Set struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	attempts  *prometheus.CounterVec
	events    *prometheus.CounterVec
	pipelined prometheus.Counter
	quotas    *prometheus.CounterVec
}

// New returns a Set with all counters at zero.
func New() *Set {
	m := &Set{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests that ended at this ingress, by route, fate and cause.",
		}, []string{"service", "fate", "cause"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from the arrival of a request at this ingress to its end.",
			Buckets: latencyBuckets,
		}, []string{"service", "fate"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Attempts sent from this ingress to gatekeepers, by service and fate.",
		}, []string{"service", "fate", "cause"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "events_total", Help: "Decisions in the journal of this node, by kind.",
		}, []string{"kind"}),
		pipelined: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "pipelined_total", Help: "Pipelined requests that were started before the ones in front of them were answered.",
		}),
		quotas: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "quota_total", Help: "Requests and messages about the quotas of client accounts at this node, by outcome.",
		}, []string{"outcome"}),
	}
	m.registry.MustRegister(m.requests, m.latency, m.attempts, m.events, m.pipelined, m.quotas)
	return m
}

// ObserveRequest counts a request that ended, and records how long it took.
func (m *Set) ObserveRequest(service, fate, cause string, took time.Duration) {
	m.requests.WithLabelValues(service, fate, cause).Inc()
	m.latency.WithLabelValues(service, fate).Observe(took.Seconds())
}

// CountAttempt counts an attempt that ended.
func (m *Set) CountAttempt(service, fate, cause string) {
	m.attempts.WithLabelValues(service, fate, cause).Inc()
}

// CountPipelined counts a pipelined request that is started ahead of its turn.
func (m *Set) CountPipelined() { m.pipelined.Inc() }

// CountEvent counts a journal event, see package event.
func (m *Set) CountEvent(kind string) { m.events.WithLabelValues(kind).Inc() }

// AddQuotaOutcomes makes the counters of outcomes visible before anything is counted.
func (m *Set) AddQuotaOutcomes(outcomes []string) {
	for _, o := range outcomes {
		m.quotas.WithLabelValues(o)
	}
}

// CountQuota counts an outcome of a request or a message about quotas, see package
// quotas.
func (m *Set) CountQuota(outcome string) { m.quotas.WithLabelValues(outcome).Inc() }

// AddGauge adds a gauge whose value is computed whenever the metrics are read.
func (m *Set) AddGauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// Info holds the labels of a metric that carries text. Its value is always 1.
type Info map[string]string

// AddInfo adds a metric that carries text. Only the present labels are exported, so
// that the number of series stays bounded when they change.
func (m *Set) AddInfo(name, help string, labels func() Info) {
	m.registry.MustRegister(&infoCollector{name: prometheus.BuildFQName(namespace, "", name), help: help, labels: labels})
}

// infoCollector exports one metric with labels that are read at each collection.
type infoCollector struct {
	name   string
	help   string
	labels func() Info
}

// Describe implements prometheus.Collector. It describes nothing, since the values
// of the labels are not known in advance.
func (c *infoCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c *infoCollector) Collect(ch chan<- prometheus.Metric) {
	desc := prometheus.NewDesc(c.name, c.help, nil, prometheus.Labels(c.labels()))
	ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, 1)
}

// Handler returns a handler that serves the metrics as text.
func (m *Set) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
