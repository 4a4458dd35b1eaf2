package bench

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tanagerchute/io/feed"
	"tanagerchute/io/mesh"
	"tanagerchute/io/plat"
	"tanagerchute/io/timer"
)

// FleetConfig configures a measurement of the control traffic.
type FleetConfig struct {
	Nodes    []int // sizes to measure
	Centres  int
	Services int
	Changes  int           // changes of one target, one after the other
	Idle     time.Duration // quiet time over which idle traffic is measured
	OneWay   time.Duration // between data centres
	Loss     float64       // share of segments between data centres that come 200 ms late
	Mode     feed.Mode
	Kill     bool // kill the first reader of a data centre at each third change
}

// FleetRow is the measurement of one size. Rates are for each second and node
// unless their name says otherwise.
type FleetRow struct {
	Nodes        int     `json:"nodes"`
	P50          float64 `json:"p50_ms"` // from accepted to in force everywhere
	P99          float64 `json:"p99_ms"`
	Max          float64 `json:"max_ms"`
	ChangeAcross float64 `json:"change_across_bytes"` // a change, all data centres
	ChangeInside float64 `json:"change_inside_bytes"`
	IdleAcross   float64 `json:"idle_across_bytes_pair"` // for each pair of data centres
	IdleInside   float64 `json:"idle_inside_bytes"`
	CPU          float64 `json:"cpu_share"` // of a core, idle
	Heap         float64 `json:"heap_bytes"`
	Reads        float64 `json:"store_reads"` // of the whole fleet
	Writes       float64 `json:"store_writes"`
}

// lossDelay is how late a lost segment comes when TCP has sent it again.
const lossDelay = 200 * time.Millisecond

// startLimit bounds the start of a mesh.
const startLimit = 90 * time.Second

// document returns a configuration of the given number of services, in which
// the target of the first one depends on change.
func document(services, change int) []byte {
	var b strings.Builder
	b.WriteString("{\n  \"deployment\": \"bench\",\n  \"services\": [\n")
	for i := range services {
		ms := 1000
		if i == 0 {
			ms += change
		}
		fmt.Fprintf(&b, `    {
      "name": "service-%d",
      "classes": [
        {"name": "submit", "match": [{"method": "POST", "path": "/submit"}], "answer_within": "2s", "may_wait": "400ms", "at_most_once": true},
        {"name": "lookup", "match": [{"method": "GET", "path": "/"}], "answer_within": "%dms", "may_wait": "300ms"},
      ],
    },
`, i, ms)
	}
	b.WriteString("  ],\n}\n")
	return []byte(b.String())
}

func sites(nodes, centres, services int) []mesh.InstanceSpec {
	out := make([]mesh.InstanceSpec, nodes)
	for i := range out {
		out[i] = mesh.InstanceSpec{
			Name:       fmt.Sprintf("node-%d", i),
			DataCentre: fmt.Sprintf("centre-%d", i%centres),
			Service:    fmt.Sprintf("service-%d", (i/centres)%services),
		}
	}
	return out
}

// Fleet measures convergence, bytes, processor time and memory at each size.
// All nodes run in this process, so that processor time and memory are
// averages over the nodes and include the stand-in of the platform.
func Fleet(ctx context.Context, cfg FleetConfig) ([]FleetRow, error) {
	var rows []FleetRow
	for _, n := range cfg.Nodes {
		row, err := fleetOf(ctx, cfg, n)
		if err != nil {
			return rows, fmt.Errorf("%d nodes: %w", n, err)
		}
		rows = append(rows, row)
		runtime.GC()
	}
	return rows, nil
}

func fleetOf(ctx context.Context, cfg FleetConfig, nodes int) (FleetRow, error) {
	mc := mesh.Config{
		Document: document(cfg.Services, 0), Instances: sites(nodes, cfg.Centres, cfg.Services),
		OneWay: cfg.OneWay, Platform: plat.Config{}, Mode: cfg.Mode, NoBackends: true,
	}
	if cfg.Loss > 0 {
		mc.RetransmitDelay = staller(cfg.Loss)
	}
	m, err := mesh.New(mc)
	if err != nil {
		return FleetRow{}, err
	}
	defer m.Close()
	if err := startMesh(ctx, m, document(cfg.Services, 0)); err != nil {
		return FleetRow{}, err
	}
	row := FleetRow{Nodes: nodes}
	timer.Sleep(ctx, 8*time.Second) // connections of the start have been closed
	idle(ctx, cfg, m, &row)
	if err := changes(ctx, cfg, m, &row); err != nil {
		return row, err
	}
	return row, nil
}

// staller returns a function that delays a share of the segments.
func staller(loss float64) func() time.Duration {
	return func() time.Duration {
		if rand.Float64() < loss {
			return lossDelay
		}
		return 0
	}
}

func startMesh(ctx context.Context, m *mesh.Mesh, doc []byte) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := m.Start(); err != nil {
		return err
	}
	if _, err := m.Apply(ctx, "op-1", doc); err != nil {
		return err
	}
	return m.WaitReady(ctx)
}

// idle measures a quiet time.
func idle(ctx context.Context, cfg FleetConfig, m *mesh.Mesh, row *FleetRow) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b0, c0, s0 := controlBytes(m), cpu(), m.Platform.Calls()
	timer.Sleep(ctx, cfg.Idle)
	b1, c1, s1 := controlBytes(m), cpu(), m.Platform.Calls()
	runtime.ReadMemStats(&after)
	seconds, n := cfg.Idle.Seconds(), float64(row.Nodes)
	pairs := float64(cfg.Centres * (cfg.Centres - 1) / 2)
	row.IdleAcross = float64(b1.across-b0.across) / seconds / pairs
	// Each byte is counted once, at the side that dialled; it is sent by one
	// node and received by another.
	row.IdleInside = 2 * float64(b1.inside-b0.inside) / seconds / n
	row.CPU = (c1 - c0).Seconds() / seconds / n
	row.Heap = float64(before.HeapAlloc) / n
	row.Reads = float64(s1.Reads-s0.Reads) / seconds
	row.Writes = float64(s1.Writes-s0.Writes) / seconds
}

// changes measures how changes come into force.
func changes(ctx context.Context, cfg FleetConfig, m *mesh.Mesh, row *FleetRow) error {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var across, inside float64
	for i := range cfg.Changes {
		idleBytes := controlBytes(m)
		number, err := m.Apply(ctx, fmt.Sprint("op-", i+2), document(cfg.Services, i+1))
		if err != nil {
			return err
		}
		accepted := time.Now()
		if cfg.Kill && i%3 == 0 {
			if err := replaceReader(m); err != nil {
				return err
			}
		}
		wait, cancel := context.WithTimeout(ctx, startLimit)
		err = m.WaitVersion(wait, number)
		cancel()
		if err != nil {
			return fmt.Errorf("version %d: %w", number, err)
		}
		_ = h.RecordValue(time.Since(accepted).Microseconds()) // bounded by startLimit
		timer.Sleep(ctx, 400*time.Millisecond)                 // what comes late counts as well
		elapsed := time.Since(accepted).Seconds()
		now := controlBytes(m)
		pairs := float64(cfg.Centres * (cfg.Centres - 1) / 2)
		across += float64(now.across-idleBytes.across) - row.IdleAcross*pairs*elapsed
		inside += float64(now.inside-idleBytes.inside) - row.IdleInside/2*float64(row.Nodes)*elapsed
	}
	row.P50 = float64(h.ValueAtQuantile(50)) / 1e3
	row.P99 = float64(h.ValueAtQuantile(99)) / 1e3
	row.Max = float64(h.Max()) / 1e3
	row.ChangeAcross = across / float64(cfg.Changes)
	row.ChangeInside = inside / float64(cfg.Changes)
	return nil
}

// replaceReader kills the first reader of a data centre and starts it again.
func replaceReader(m *mesh.Mesh) error {
	for i, in := range m.Instances {
		if in.Node.View().Rank("reader", 1) == 0 {
			m.Kill(i)
			return m.StartInstance(i)
		}
	}
	return nil
}

// bytesOf is a sum of control bytes.
type bytesOf struct{ inside, across int64 }

func controlBytes(m *mesh.Mesh) bytesOf {
	var b bytesOf
	for _, in := range m.Instances {
		b.inside += intVar(in.Node.Vars(), "control_bytes_inside")
		b.across += intVar(in.Node.Vars(), "control_bytes_across")
	}
	return b
}

func intVar(vars *expvar.Map, name string) int64 {
	v := vars.Get(name)
	if v == nil {
		return 0
	}
	n, err := strconv.ParseInt(v.String(), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// cpu returns the processor time of this process.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Header returns the head of a table of rows.
func (FleetRow) Header() string {
	return "| nodes | p50 ms | p99 ms | max ms | a change, across B | a change, inside B | idle across, B/s a pair | idle inside, B/s a node | cpu, % of a core | heap KB | store reads/s | writes/s |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
}

// String returns a row of the table.
func (r FleetRow) String() string {
	return fmt.Sprintf("| %d | %.1f | %.1f | %.1f | %.0f | %.0f | %.0f | %.0f | %.2f | %.0f | %.1f | %.1f |",
		r.Nodes, r.P50, r.P99, r.Max, r.ChangeAcross, r.ChangeInside, r.IdleAcross, r.IdleInside, 100*r.CPU, r.Heap/1e3, r.Reads, r.Writes)
}
