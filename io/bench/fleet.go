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

	"tanagerchute/io/fakekv"
	"tanagerchute/io/feed"
	"tanagerchute/io/mesh"
	"tanagerchute/io/timer"
)

// FleetConfig configures a measurement of the distribution of configurations and
// of its control traffic.
type FleetConfig struct {
	Nodes          []int         // numbers of nodes to measure
	DataCentres    int           // number of data centres
	Services       int           // number of services
	Changes        int           // number of versions published one after the other, each changing one latency target
	Idle           time.Duration // time without changes over which idle traffic is measured
	OneWay         time.Duration // delay between data centres
	Loss           float64       // share of segments between data centres that are lost and resent
	Mode           feed.Mode     // how versions are distributed
	RestartReaders bool          // restart the first reader of a data centre at each third change
}

// FleetRow holds the results for one number of nodes. Values named Across are
// bytes of control traffic between data centres, and values named Inside within
// them. Idle values and store calls are per second.
type FleetRow struct {
	Nodes             int     `json:"nodes"`
	P50               float64 `json:"p50_ms"` // from the acceptance of a version until it is in force on all nodes
	P99               float64 `json:"p99_ms"`
	Max               float64 `json:"max_ms"`
	ChangeAcrossBytes float64 `json:"change_across_bytes"` // per change, summed over all data centres
	ChangeInsideBytes float64 `json:"change_inside_bytes"`
	IdleAcrossBytes   float64 `json:"idle_across_bytes_pair"` // per pair of data centres
	IdleInsideBytes   float64 `json:"idle_inside_bytes"`      // per node, sent and received
	CPU               float64 `json:"cpu_share"`              // processor time per node while idle, as a share of one core
	HeapBytes         float64 `json:"heap_bytes"`             // per node
	Reads             float64 `json:"store_reads"`            // of all nodes, idle
	Writes            float64 `json:"store_writes"`
}

// retransmitDelay is the additional delay of a segment that is lost and that TCP then
// resends.
const retransmitDelay = 200 * time.Millisecond

// startTimeout bounds the start of a mesh, and the time for a version to come
// into force.
const startTimeout = 90 * time.Second

// document returns a configuration with the given number of services. A latency
// target of the first service depends on change.
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

// instanceSpecs spreads the given number of nodes over the data centres and the
// services.
func instanceSpecs(nodes, centres, services int) []mesh.InstanceSpec {
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

// Fleet measures, for each number of nodes, the time until a new version is in force
// at all nodes, control traffic, processor time and memory. All nodes run in this
// process, so processor time and memory are averages over the nodes and include the
// stand-in platform.
func Fleet(ctx context.Context, cfg FleetConfig) ([]FleetRow, error) {
	var rows []FleetRow
	for _, n := range cfg.Nodes {
		row, err := measureFleet(ctx, cfg, n)
		if err != nil {
			return rows, fmt.Errorf("%d nodes: %w", n, err)
		}
		rows = append(rows, row)
		runtime.GC()
	}
	return rows, nil
}

func measureFleet(ctx context.Context, cfg FleetConfig, nodes int) (FleetRow, error) {
	mc := mesh.Config{
		Document: document(cfg.Services, 0), Instances: instanceSpecs(nodes, cfg.DataCentres, cfg.Services),
		OneWay: cfg.OneWay, Platform: fakekv.Config{}, Mode: cfg.Mode, NoBackends: true,
	}
	if cfg.Loss > 0 {
		mc.RetransmitDelay = randomLoss(cfg.Loss)
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
	timer.Sleep(ctx, 8*time.Second) // until the connections opened during the start have been closed
	measureIdle(ctx, cfg, m, &row)
	if err := measureChanges(ctx, cfg, m, &row); err != nil {
		return row, err
	}
	return row, nil
}

// randomLoss returns a function that returns retransmitDelay for a share of the
// segments, and 0 for the others.
func randomLoss(loss float64) func() time.Duration {
	return func() time.Duration {
		if rand.Float64() < loss {
			return retransmitDelay
		}
		return 0
	}
}

// startMesh starts m, publishes doc and waits until all nodes are ready.
func startMesh(ctx context.Context, m *mesh.Mesh, doc []byte) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := m.Start(); err != nil {
		return err
	}
	if _, err := m.Apply(ctx, "op-1", doc); err != nil {
		return err
	}
	return m.WaitReady(ctx)
}

// measureIdle measures control traffic, processor time, memory and store calls
// over a time without changes.
func measureIdle(ctx context.Context, cfg FleetConfig, m *mesh.Mesh, row *FleetRow) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b0, c0, s0 := controlBytes(m), cpuTime(), m.Platform.Calls()
	timer.Sleep(ctx, cfg.Idle)
	b1, c1, s1 := controlBytes(m), cpuTime(), m.Platform.Calls()
	runtime.ReadMemStats(&after)
	seconds, n := cfg.Idle.Seconds(), float64(row.Nodes)
	pairs := float64(cfg.DataCentres * (cfg.DataCentres - 1) / 2)
	row.IdleAcrossBytes = float64(b1.across-b0.across) / seconds / pairs
	// Each byte is counted once, by the node that dialled, but it is sent by one
	// node and received by another.
	row.IdleInsideBytes = 2 * float64(b1.inside-b0.inside) / seconds / n
	row.CPU = (c1 - c0).Seconds() / seconds / n
	row.HeapBytes = float64(before.HeapAlloc) / n
	row.Reads = float64(s1.Reads-s0.Reads) / seconds
	row.Writes = float64(s1.Writes-s0.Writes) / seconds
}

// measureChanges measures how long changes take to come into force, and the bytes of
// control traffic that they cause in addition to the idle traffic.
func measureChanges(ctx context.Context, cfg FleetConfig, m *mesh.Mesh, row *FleetRow) error {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var across, inside float64
	for i := range cfg.Changes {
		before := controlBytes(m)
		number, err := m.Apply(ctx, fmt.Sprint("op-", i+2), document(cfg.Services, i+1))
		if err != nil {
			return err
		}
		accepted := time.Now()
		if cfg.RestartReaders && i%3 == 0 {
			if err := restartFirstReader(m); err != nil {
				return err
			}
		}
		wait, cancel := context.WithTimeout(ctx, startTimeout)
		err = m.WaitVersion(wait, number)
		cancel()
		if err != nil {
			return fmt.Errorf("version %d: %w", number, err)
		}
		_ = h.RecordValue(time.Since(accepted).Microseconds()) // can't fail, since the value is bounded by startTimeout
		timer.Sleep(ctx, 400*time.Millisecond)                 // includes the traffic that follows after the version is in force
		elapsed := time.Since(accepted).Seconds()
		after := controlBytes(m)
		pairs := float64(cfg.DataCentres * (cfg.DataCentres - 1) / 2)
		across += float64(after.across-before.across) - row.IdleAcrossBytes*pairs*elapsed
		inside += float64(after.inside-before.inside) - row.IdleInsideBytes/2*float64(row.Nodes)*elapsed
	}
	row.P50 = float64(h.ValueAtQuantile(50)) / 1e3
	row.P99 = float64(h.ValueAtQuantile(99)) / 1e3
	row.Max = float64(h.Max()) / 1e3
	row.ChangeAcrossBytes = across / float64(cfg.Changes)
	row.ChangeInsideBytes = inside / float64(cfg.Changes)
	return nil
}

// restartFirstReader kills the first reader of a data centre and starts it again.
func restartFirstReader(m *mesh.Mesh) error {
	for i, in := range m.Instances {
		if in.Node.View().GroupReaderRank(1) == 0 {
			m.Kill(i)
			return m.StartInstance(i)
		}
	}
	return nil
}

// byteCounts holds the bytes of control traffic within and between data centres.
type byteCounts struct{ inside, across int64 }

func controlBytes(m *mesh.Mesh) byteCounts {
	var b byteCounts
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

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Header returns the header of a Markdown table of rows.
func (FleetRow) Header() string {
	return "| nodes | p50 ms | p99 ms | max ms | across data centres, B per change | inside, B per change | idle across, B/s per pair | idle inside, B/s per node | cpu, % of a core | heap KB | store reads/s | writes/s |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
}

// String returns r as a row of the table.
func (r FleetRow) String() string {
	return fmt.Sprintf("| %d | %.1f | %.1f | %.1f | %.0f | %.0f | %.0f | %.0f | %.2f | %.0f | %.1f | %.1f |",
		r.Nodes, r.P50, r.P99, r.Max, r.ChangeAcrossBytes, r.ChangeInsideBytes, r.IdleAcrossBytes, r.IdleInsideBytes, 100*r.CPU, r.HeapBytes/1e3, r.Reads, r.Writes)
}
