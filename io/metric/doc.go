// Package metric provides the metrics of a node: counters, gauges and latency
// histograms, served in the text format of Prometheus.
//
// A request is counted at its ingress, the node that received it from the caller.
// An attempt is one sending of a request to a gatekeeper, the node beside an
// upstream. A fate is the outcome of either, see call.Fate.
//
// # Usage
//
//	m := metric.New()
//	m.ObserveRequest("family-lookup", "answered", "", 120*time.Millisecond)
//	http.Handle("GET /metrics", m.Handler())
package metric
