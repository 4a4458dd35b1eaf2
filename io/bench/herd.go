package bench

import (
	"context"
	"fmt"
	"time"

	"tanagerchute/io/mesh"
	"tanagerchute/io/timer"
)

// HerdRow holds the load on the store while all nodes restart at once (a thundering
// herd).
type HerdRow struct {
	Nodes        int     `json:"nodes"`
	SeedSource   string  `json:"mode"` // where the nodes find the addresses of other nodes
	Reads        uint64  `json:"reads"`
	PeakReads    uint64  `json:"peak_reads_s"` // maximum reads in one second
	ReadySeconds float64 `json:"ready_s"`      // until all nodes are ready
	Watches      uint64  `json:"watches"`
}

// Herd kills all nodes at once, starts them together, and counts the reads of the
// store until all nodes are ready. It does so with the seeds, the addresses of the
// first nodes to contact, in the settings, and with the seeds in the store only.
func Herd(ctx context.Context, cfg FleetConfig) ([]HerdRow, error) {
	var rows []HerdRow
	for _, n := range cfg.Nodes {
		for _, seeds := range []bool{true, false} {
			row, err := measureHerd(ctx, cfg, n, seeds)
			if err != nil {
				return rows, err
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func measureHerd(ctx context.Context, cfg FleetConfig, nodes int, seeds bool) (HerdRow, error) {
	doc := document(cfg.Services, 0)
	m, err := mesh.New(mesh.Config{
		Document: doc, Instances: instanceSpecs(nodes, cfg.DataCentres, cfg.Services), OneWay: cfg.OneWay,
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
	row := HerdRow{Nodes: nodes, SeedSource: "seeds in settings"}
	if !seeds {
		row.SeedSource = "seeds in the store"
	}
	before := m.Platform.Calls()
	start := time.Now()
	peak := samplePeakReads(ctx, m)
	for i := range m.Instances {
		if err := m.StartInstance(i); err != nil {
			return row, err
		}
	}
	wait, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := m.WaitReady(wait); err != nil {
		return row, err
	}
	row.ReadySeconds = time.Since(start).Seconds()
	row.PeakReads = peak()
	after := m.Platform.Calls()
	row.Reads = after.Reads - before.Reads
	row.Watches = after.Watches - before.Watches
	return row, nil
}

// samplePeakReads samples the reads of the store. The returned function stops the
// sampling and returns the maximum number of reads in one second.
func samplePeakReads(ctx context.Context, m *mesh.Mesh) func() uint64 {
	ctx, cancel := context.WithCancel(ctx)
	result := make(chan uint64, 1)
	const interval = 100 * time.Millisecond
	const window = int(time.Second / interval)
	go func() {
		var samples []uint64
		var peak uint64
		for ctx.Err() == nil {
			samples = append(samples, m.Platform.Calls().Reads)
			if n := len(samples); n > 1 {
				peak = max(peak, samples[n-1]-samples[max(0, n-1-window)])
			}
			timer.Sleep(ctx, interval)
		}
		result <- peak
	}()
	return func() uint64 {
		cancel()
		return <-result
	}
}

// Header returns the header of a Markdown table of rows.
func (HerdRow) Header() string {
	return "| nodes | source of seeds | reads | peak reads/s | watches | all ready after s |\n| --- | --- | --- | --- | --- | --- |"
}

// String returns r as a row of the table.
func (r HerdRow) String() string {
	return fmt.Sprintf("| %d | %s | %d | %d | %d | %.1f |", r.Nodes, r.SeedSource, r.Reads, r.PeakReads, r.Watches, r.ReadySeconds)
}
