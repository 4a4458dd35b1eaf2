package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"tanagerchute/io/load"
	"tanagerchute/io/mesh"
	"tanagerchute/io/server"
	"tanagerchute/io/timer"
)

// PathConfig configures a measurement of the latency that the mesh adds.
type PathConfig struct {
	Duration time.Duration // of each load
	Work     time.Duration // duration of a call at its backend server
}

// PathRow holds the latency of the calls over one path at one load.
type PathRow struct {
	Path     string  `json:"path"`
	Percent  int     `json:"percent_of_capacity"` // load, relative to the capacity of a backend server
	Rate     float64 `json:"calls_s"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	AddedP50 float64 `json:"added_p50_ms"` // compared with direct calls at the same load in the same run
	AddedP99 float64 `json:"added_p99_ms"`
	NotGood  int     `json:"not_good"` // calls not answered with a status below 500
}

const (
	pathSlots    = 12 // maximum number of concurrent calls at a backend server
	unloadedRate = 20 // calls a second, low enough that no call waits for another
)

// Path measures, at each load, direct calls to a backend server, calls through its
// own node, and calls through the node of another backend server.
func Path(ctx context.Context, cfg PathConfig) ([]PathRow, error) {
	m, err := mesh.New(mesh.Config{
		Document: document(2, 0), Work: cfg.Work, Slots: pathSlots, NoHedge: true,
		Instances: []mesh.InstanceSpec{
			{Name: "one", DataCentre: "centre-0", Service: "service-0"},
			{Name: "two", DataCentre: "centre-0", Service: "service-1"},
		},
	})
	if err != nil {
		return nil, err
	}
	defer m.Close()
	if err := startMesh(ctx, m, document(2, 0)); err != nil {
		return nil, err
	}
	timer.Sleep(ctx, 6*time.Second) // until the slow start of the upstream has ended
	direct, stop, err := startDirectServer(cfg)
	if err != nil {
		return nil, err
	}
	defer stop()
	// A call takes longer than its work, since timers and the machine add to it,
	// so the capacity is computed from the latency measured without load.
	unloaded := measurePath(ctx, cfg, direct, unloadedRate)
	capacity := pathSlots / (unloaded.P50 / 1e3)
	callers := m.CallerAddrs()
	var rows []PathRow
	for _, percent := range []int{25, 50, 80} {
		rate := capacity * float64(percent) / 100
		baseline := newPathRow("direct", percent, rate, measurePath(ctx, cfg, direct, rate))
		oneNode := newPathRow("one node", percent, rate, measurePath(ctx, cfg, callers[0], rate))
		twoNodes := newPathRow("two nodes", percent, rate, measurePath(ctx, cfg, callers[1], rate))
		rows = append(rows, baseline, oneNode.relativeTo(baseline), twoNodes.relativeTo(baseline))
	}
	return rows, nil
}

// startDirectServer starts a backend server without a node.
func startDirectServer(cfg PathConfig) (addr string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{Handler: server.New(server.Config{Service: "service-0", Slots: pathSlots, Work: cfg.Work})}
	go func() { _ = srv.Serve(l) }() // returns when stop is called
	return l.Addr().String(), func() { _ = srv.Close() }, nil
}

func measurePath(ctx context.Context, cfg PathConfig, target string, rate float64) load.Stats {
	r := load.Run(ctx, load.Config{
		Targets: []string{target}, Rate: rate, Duration: cfg.Duration, Seed: 1,
		Kinds: []load.Kind{{Name: "lookup", Service: "service-0", Method: "GET", Path: "/", Weight: 1}},
	})
	return r.Kinds[0]
}

func newPathRow(path string, percent int, rate float64, c load.Stats) PathRow {
	return PathRow{Path: path, Percent: percent, Rate: rate, P50: c.P50, P99: c.P99, NotGood: c.Sent - c.Good}
}

// relativeTo returns r with the latency that it adds to baseline.
func (r PathRow) relativeTo(baseline PathRow) PathRow {
	r.AddedP50, r.AddedP99 = r.P50-baseline.P50, r.P99-baseline.P99
	return r
}

// Header returns the header of a Markdown table of rows.
func (PathRow) Header() string {
	return "| path | % of capacity | calls/s | p50 ms | p99 ms | added p50 ms | added p99 ms | not good |\n| --- | --- | --- | --- | --- | --- | --- | --- |"
}

// String returns r as a row of the table.
func (r PathRow) String() string {
	return fmt.Sprintf("| %s | %d | %.0f | %.2f | %.2f | %.2f | %.2f | %d |", r.Path, r.Percent, r.Rate, r.P50, r.P99, r.AddedP50, r.AddedP99, r.NotGood)
}
