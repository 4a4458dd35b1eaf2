package node

import (
	"expvar"
	"runtime"
	"syscall"
)

// value is a number that is computed when it is read.
type value struct {
	name string
	help string
	read func() int64
}

// values returns the numbers that a node shows of itself.
func (n *Node) values() []value {
	return []value{
		{"control_bytes_inside", "Bytes of control connections, inside the data centre.", n.meters.control.Inside},
		{"control_bytes_across", "Bytes of control connections, to other data centres.", n.meters.control.Across},
		{"call_bytes_inside", "Bytes of call connections, inside the data centre.", n.meters.calls.Inside},
		{"call_bytes_across", "Bytes of call connections, to other data centres.", n.meters.calls.Across},
		{"version", "Number of the version in force.", func() int64 { return int64(n.feed.Stamp().Number) }},
		{"members_up", "Members believed to be running.", func() int64 { return int64(len(n.fleet.View().UpIDs())) }},
		{"in_flight", "Calls at the own backend server.", func() int64 { return int64(n.gate.Load().InFlight) }},
		{"queued", "Calls that wait for the own backend server.", func() int64 { return int64(n.gate.Load().Queued) }},
		{"limit", "Calls that may be at the own backend server.", func() int64 { return int64(n.gate.Load().Limit) }},
		{"journal_dropped", "Events that fell out of the journal.", func() int64 { return int64(n.journal.Dropped()) }},
		{"goroutines", "Goroutines.", func() int64 { return int64(runtime.NumGoroutine()) }},
		{"log_lines_skipped", "Lines of requests that were left out.", func() int64 { return int64(n.requests.Skipped()) }},
		{"log_lines_dropped", "Lines that were not written, since nobody read the output fast enough.", func() int64 { return int64(n.cfg.LogSink.Dropped()) }},
	}
}

// exportValues adds the values to the metrics.
func (n *Node) exportValues() {
	for _, v := range n.values() {
		n.metrics.AddGauge(v.name, v.help, func() float64 { return float64(v.read()) })
	}
}

// newVars returns the values for the admin interface.
func (n *Node) newVars() *expvar.Map {
	m := new(expvar.Map).Init()
	for _, v := range n.values() {
		m.Set(v.name, expvar.Func(func() any { return v.read() }))
	}
	m.Set("memory", expvar.Func(memory))
	m.Set("cpu_seconds", expvar.Func(cpuSeconds))
	return m
}

// memory returns the bytes that the runtime holds.
func memory() any {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return map[string]uint64{"heap_alloc": s.HeapAlloc, "sys": s.Sys, "mallocs": s.Mallocs}
}

// cpuSeconds returns the processor time of the process.
func cpuSeconds() any {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return nil
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}
