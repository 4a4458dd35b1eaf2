package node

import (
	"expvar"
	"runtime"
	"syscall"
)

// newVars returns the counters of the node, computed when they are read.
func (n *Node) newVars() *expvar.Map {
	m := new(expvar.Map).Init()
	ints := map[string]func() int64{
		"control_bytes_inside": n.meters.control.Inside,
		"control_bytes_across": n.meters.control.Across,
		"call_bytes_inside":    n.meters.calls.Inside,
		"call_bytes_across":    n.meters.calls.Across,
		"version":              func() int64 { return int64(n.feed.Stamp().Number) },
		"members_up":           func() int64 { return int64(len(n.fleet.View().Up())) },
		"in_flight":            func() int64 { return int64(n.gate.Load().InFlight) },
		"queued":               func() int64 { return int64(n.gate.Load().Queued) },
		"limit":                func() int64 { return int64(n.gate.Load().Limit) },
		"journal_dropped":      func() int64 { return int64(n.journal.Dropped()) },
		"goroutines":           func() int64 { return int64(runtime.NumGoroutine()) },
	}
	for name, f := range ints {
		m.Set(name, expvar.Func(func() any { return f() }))
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
