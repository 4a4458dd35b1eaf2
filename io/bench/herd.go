package bench

import (
	"context"
	"fmt"
	"time"

	"tanagerchute/io/mesh"
	"tanagerchute/io/timer"
)

// HerdRow is the load on the store while all nodes restart at once.
type HerdRow struct {
	Nodes   int     `json:"nodes"`
	Mode    string  `json:"mode"`
	Reads   uint64  `json:"reads"`
	Peak    uint64  `json:"peak_reads_s"` // in the busiest second
	Ready   float64 `json:"ready_s"`      // until all serve again
	Watches uint64  `json:"watches"`
}

// Herd kills all nodes at once, starts them together, and counts the reads at
// the store until all serve again.
func Herd(ctx context.Context, cfg FleetConfig) ([]HerdRow, error) {
	var rows []HerdRow
	for _, n := range cfg.Nodes {
		for _, seeds := range []bool{true, false} {
			row, err := herdOf(ctx, cfg, n, seeds)
			if err != nil {
				return rows, err
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func herdOf(ctx context.Context, cfg FleetConfig, nodes int, seeds bool) (HerdRow, error) {
	doc := document(cfg.Services, 0)
	m, err := mesh.New(mesh.Config{
		Document: doc, Instances: sites(nodes, cfg.Centres, cfg.Services), OneWay: cfg.OneWay,
		NoBackends: true, NoSeeds: !seeds, Mode: cfg.Mode,
	})
	if err != nil {
		return HerdRow{}, err
	}
	defer m.Close()
	if err := startMesh(ctx, m, doc); err != nil {
		return HerdRow{}, err
	}
	for i := range m.Instances {
		m.Kill(i)
	}
	row := HerdRow{Nodes: nodes, Mode: "seeds in settings"}
	if !seeds {
		row.Mode = "seeds in the store"
	}
	before := m.Platform.Calls()
	began := time.Now()
	peak := watchPeak(ctx, m)
	for i := range m.Instances {
		if err := m.StartInstance(i); err != nil {
			return row, err
		}
	}
	wait, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := m.WaitReady(wait); err != nil {
		return row, err
	}
	row.Ready = time.Since(began).Seconds()
	row.Peak = peak()
	after := m.Platform.Calls()
	row.Reads = after.Reads - before.Reads
	row.Watches = after.Watches - before.Watches
	return row, nil
}

// watchPeak samples the reads of the store and returns a function that stops
// and gives the most reads in a second.
func watchPeak(ctx context.Context, m *mesh.Mesh) func() uint64 {
	ctx, cancel := context.WithCancel(ctx)
	result := make(chan uint64, 1)
	const every = 100 * time.Millisecond
	const window = int(time.Second / every)
	go func() {
		var samples []uint64
		var most uint64
		for ctx.Err() == nil {
			samples = append(samples, m.Platform.Calls().Reads)
			if n := len(samples); n > 1 {
				most = max(most, samples[n-1]-samples[max(0, n-1-window)])
			}
			timer.Sleep(ctx, every)
		}
		result <- most
	}()
	return func() uint64 {
		cancel()
		return <-result
	}
}

// Header returns the head of a table of rows.
func (HerdRow) Header() string {
	return "| nodes | how they find each other | reads | most reads in a second | watches | all serve after s |\n| --- | --- | --- | --- | --- | --- |"
}

// String returns a row of the table.
func (r HerdRow) String() string {
	return fmt.Sprintf("| %d | %s | %d | %d | %d | %.1f |", r.Nodes, r.Mode, r.Reads, r.Peak, r.Watches, r.Ready)
}
