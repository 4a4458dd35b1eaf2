// Package metric provides the metrics of a node: counters, gauges and latency
// histograms, served in the text format of Prometheus.
//
// # Usage
//
//	m := metric.New()
//	m.ObserveRequest("family-lookup", "answered", "", 120*time.Millisecond)
//	http.Handle("GET /metrics", m.Handler())
package metric
