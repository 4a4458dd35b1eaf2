package node

import (
	"expvar"
	"runtime"
	"syscall"

	"tanagerchute/core/room"
	"tanagerchute/io/memory"
	"tanagerchute/io/metric"
	"tanagerchute/io/quotas"
	"tanagerchute/io/xfer"
)

// nodeMetric is a metric whose value is computed when it is read.
type nodeMetric struct {
	name string
	help string
	read func() int64
}

// nodeMetrics returns the metrics about the node itself.
func (n *Node) nodeMetrics() []nodeMetric {
	return append([]nodeMetric{
		{"control_bytes_inside", "Bytes of control connections, inside the data centre.", n.byteMeters.control.Inside},
		{"control_bytes_across", "Bytes of control connections, to other data centres.", n.byteMeters.control.Across},
		{"call_bytes_inside", "Bytes of call connections, inside the data centre.", n.byteMeters.calls.Inside},
		{"call_bytes_across", "Bytes of call connections, to other data centres.", n.byteMeters.calls.Across},
		{"version", "Number of the version in force.", func() int64 { return int64(n.feed.Stamp().Number) }},
		{"versions_watched", "Versions applied that the node's watch of the store told.", func() int64 { watched, _ := n.feed.Learned(); return watched }},
		{"versions_checked", "Versions applied that a check of the store by the node found.", func() int64 { _, checked := n.feed.Learned(); return checked }},
		{"members_up", "Members believed to be running.", func() int64 { return int64(len(n.fleet.View().UpIDs())) }},
		{"in_flight", "Calls at the own backend server.", func() int64 { return int64(n.gate.Load().InFlight) }},
		{"queued", "Calls that wait for the own backend server.", func() int64 { return int64(n.gate.Load().Queued) }},
		{"limit", "Calls that may be at the own backend server.", func() int64 { return int64(n.gate.Load().Limit) }},
		{"settings_loaded", "When the settings came into force, Unix seconds.", func() int64 { return n.settings.Load().loadedAt.Unix() }},
		{"settings_pending", "1 if the settings file differs from the settings in force.", n.settingsPending},
		{"journal_dropped", "Events that fell out of the journal.", func() int64 { return int64(n.journal.Dropped()) }},
		{"store_era_changes", "Restarts of the store from an older copy that this node has noticed.", n.eras.changes.Load},
		{"store_eras_ignored", "Answers of the store whose era was missing, malformed or not credible.", n.eras.ignoredTotal.Load},
		{"key_proof_age_ms", "Milliseconds since the version in force was proved to be the newest, 0 if it was not or need not be.", func() int64 { return n.feed.ProofStats().Age.Milliseconds() }},
		{"key_proof_reads", "Reads of the store for a proof that the version in force is the newest.", func() int64 { return n.feed.ProofStats().Reads }},
		{"key_proof_reads_failed", "Reads for a proof that failed.", func() int64 { return n.feed.ProofStats().FailedReads }},
		{"key_proof_asks", "Requests to other nodes for a proof.", func() int64 { return n.feed.ProofStats().Asked }},
		{"key_proof_asks_answered", "Requests to other nodes for a proof that were answered with one.", func() int64 { return n.feed.ProofStats().Answered }},
		{"rollouts_running", "Roll-outs that have not ended.", n.rollouts.Running},
		{"rollout_target_calls", "Calls that this node has given to a version with a share of the calls.", n.rollouts.TargetCalls},
		{"memory_bytes", "Memory that the process holds.", func() int64 { return memory.Read().Process }},
		{"memory_limit_bytes", "Memory that the process may use.", n.cfg.Settings.Limits.MemoryBytes},
		{"memory_bodies_bytes", "Memory of bodies.", func() int64 { return n.memory.State().Used[room.Body] }},
		{"memory_answers_bytes", "Memory of large answers.", func() int64 { return n.memory.State().Used[room.Answer] }},
		{"memory_small_bytes", "Memory of small bodies and answers.", func() int64 { return n.memory.State().Used[room.Small] }},
		{"memory_heads_bytes", "Large heads of requests, as they were sent.", n.taken.headBytes},
		{"memory_waited", "Bodies and answers that waited for memory.", func() int64 { return n.memory.Counts().Waited }},
		{"memory_refused", "Bodies and answers that had no memory in time.", func() int64 { return n.memory.Counts().Refused }},
		{"goroutines", "Goroutines.", func() int64 { return int64(runtime.NumGoroutine()) }},
		{"log_lines_skipped", "Lines of requests that were left out.", func() int64 { return int64(n.requests.Skipped()) }},
		{"log_lines_dropped", "Lines that were not written, since nobody read the output fast enough.", func() int64 { return int64(n.cfg.LogSink.Dropped()) }},
	}, n.linkMetrics()...)
}

// linkMetrics returns the metrics about the link of the instance. All are 0 if the settings
// name no rate.
func (n *Node) linkMetrics() []nodeMetric {
	in, out := n.proxy.Link()
	var ms []nodeMetric
	for _, d := range []struct {
		name, text string
		lane       *xfer.Lane
	}{{"link_in", "to the instance", in}, {"link_out", "from the instance", out}} {
		ms = append(ms,
			nodeMetric{d.name + "_bytes", "Bytes of calls and answers " + d.text + ".", func() int64 { return d.lane.Counts().Bytes }},
			nodeMetric{d.name + "_admitted", "Bulk transfers " + d.text + " that the link admitted.", func() int64 { return d.lane.Counts().Admitted }},
			nodeMetric{d.name + "_waited", "Bulk transfers " + d.text + " that waited for the link.", func() int64 { return d.lane.Counts().Waited }},
			nodeMetric{d.name + "_refused", "Bulk transfers " + d.text + " that the link had no room for in time.", func() int64 { return d.lane.Counts().Refused }},
			nodeMetric{d.name + "_wait_ms", "Milliseconds until the link has room for another bulk transfer " + d.text + ".", func() int64 { return d.lane.WaitTime().Milliseconds() }},
			nodeMetric{d.name + "_unfinished", "Bulk transfers " + d.text + " on their way.", func() int64 { return int64(d.lane.State().Unfinished) }},
		)
	}
	return ms
}

// registerMetrics adds the node's own metrics to its Prometheus metrics.
func (n *Node) registerMetrics() {
	for _, v := range n.nodeMetrics() {
		n.metrics.AddGauge(v.name, v.help, func() float64 { return float64(v.read()) })
	}
	n.metrics.AddQuotaOutcomes(quotas.Outcomes())
	n.metrics.AddGauge("rate_limit", "Requests a second that the own backend server takes by its last answer, 0 for no limit.", n.gate.RateLimit)
	n.metrics.AddInfo("settings_info", "Digest of the settings in force, and the version of the program.", func() metric.Info {
		return metric.Info{"digest": n.settings.Load().compared.Digest(), "build": buildVersion()}
	})
}

// settingsPending returns 1 if the settings file differs from the settings in
// force, otherwise 0.
func (n *Node) settingsPending() int64 {
	if n.settings.Load().pending != "" {
		return 1
	}
	return 0
}

// newVars returns the expvar variables of the admin interface.
func (n *Node) newVars() *expvar.Map {
	m := new(expvar.Map).Init()
	for _, v := range n.nodeMetrics() {
		m.Set(v.name, expvar.Func(func() any { return v.read() }))
	}
	m.Set("rate_limit", expvar.Func(func() any { return n.gate.RateLimit() }))
	m.Set("memory", expvar.Func(memoryStats))
	m.Set("cpu_seconds", expvar.Func(cpuSeconds))
	return m
}

// memoryStats returns memory statistics of the Go runtime.
func memoryStats() any {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return map[string]uint64{"heap_alloc": s.HeapAlloc, "sys": s.Sys, "mallocs": s.Mallocs}
}

// cpuSeconds returns the CPU time used by the process, or nil if it is not
// available.
func cpuSeconds() any {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return nil
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}
