package main

import (
	"context"
	"os"
	"slices"
	"sync"
	"time"

	"tanagerchute/core/jsonc"
	"tanagerchute/internal/procs"
	"tanagerchute/io/mesh"
	"tanagerchute/io/setup"
)

// Config configures a run of the soak.
type Config struct {
	Seed     uint64
	Duration time.Duration // in which faults begin
	Nodes    int           // a multiple of the number of data centres
	Kinds    []Kind
	Binary   string // of the program, built if empty
	Dir      string // for logs and ledgers, a temporary one if empty
}

const (
	slots        = 12
	startTimeout = 60 * time.Second
	// keyWarmup is longer than the time after a common start of all nodes in which
	// calls with an idempotency key end as unknown.
	keyWarmup = 6 * time.Second
)

// drainSettings returns the settings of planned stops, one of two ways by turns: the
// node leaves at once, or it serves on at first, as on the users' platform.
func drainSettings(seed uint64) setup.Drain {
	if seed%2 == 0 {
		return setup.Drain{Timeout: jsonc.Duration(8 * time.Second), Linger: jsonc.Duration(6 * time.Second)}
	}
	return setup.Drain{Timeout: jsonc.Duration(5200 * time.Millisecond), Linger: jsonc.Duration(2500 * time.Millisecond), ServeOn: true}
}

// Soak performs a run and checks it. An error means that the run could not be made, or
// that ctx ended.
func Soak(ctx context.Context, cfg Config) (*Report, error) {
	var err error
	if cfg.Dir == "" {
		if cfg.Dir, err = os.MkdirTemp("", "soak"); err != nil {
			return nil, err
		}
	} else if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, err
	}
	if cfg.Binary == "" {
		if cfg.Binary, err = procs.Build(cfg.Dir); err != nil {
			return nil, err
		}
	}
	drain := drainSettings(cfg.Seed)
	perCentre := cfg.Nodes / len(procs.DataCentres())
	budir := max(1, perCentre/3) * len(procs.DataCentres())
	f, err := procs.Start(procs.Config{
		Binary: cfg.Binary, Dir: cfg.Dir, Drain: drain, Slots: slots, LedgerFiles: true,
		Keys: setup.Keys{RevokeWithin: jsonc.Duration(revokeWithin)}, PipelineDepth: pipelineDepth,
		Specs: mesh.InstanceSpecs(procs.DataCentres(), map[string]int{"skraning": cfg.Nodes - budir, "budir": budir}),
	})
	defer f.Stop()
	if err != nil {
		return nil, err
	}
	e, err := gather(ctx, cfg, f, drain)
	if err != nil {
		return nil, err
	}
	report := &Report{Config: cfg, Evidence: e, Result: Check(e)}
	if !report.Failed() {
		f.Stop()
		err = os.RemoveAll(cfg.Dir)
	}
	return report, err
}

// gather runs callers, operator and faults, and returns what they saw.
func gather(ctx context.Context, cfg Config, f *procs.Fleet, drain setup.Drain) (*Evidence, error) {
	o := &operator{fleet: f}
	if err := o.publish(0); err != nil {
		return nil, err
	}
	if err := procs.Eventually(startTimeout, "all nodes are ready with version 1", func() bool { return f.AllReady(1) }); err != nil {
		return nil, err
	}
	time.Sleep(keyWarmup)
	stopTime := max(drain.Timeout.Std(), drain.Linger.Std()) + stopMargin
	plan := NewPlan(PlanConfig{
		Seed: cfg.Seed, Duration: cfg.Duration, Nodes: cfg.Nodes, Centres: len(procs.DataCentres()), Kinds: cfg.Kinds, StopTime: stopTime,
	})
	l := &load{fleet: f, newest: o.newest}
	j := newInjector(f, 2*stopTime, l.runHeavy)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { l.run(ctx, cfg.Seed) })
	wg.Go(func() { o.run(ctx) })
	for n := range f.Instances {
		wg.Go(func() { o.probe(ctx, n) })
	}
	e := &Evidence{Drain: drain, Starts: j.starts, MemoryBytes: setup.DefaultMemoryMB << 20}
	var nodes []memoryReader
	for _, in := range f.Instances {
		nodes = append(nodes, in.Node)
		e.Centres = append(e.Centres, in.Spec.DataCentre)
	}
	wg.Go(func() { e.Peaks = watchMemory(ctx, nodes) })
	e.Injections = j.run(ctx, plan)
	if !sleep(ctx, recoveryBound+steadyTime) {
		return nil, ctx.Err()
	}
	cancel()
	wg.Wait()
	slices.SortFunc(e.Injections, func(a, b Injection) int { return a.Began.Compare(b.Began) })
	slices.SortFunc(o.probes, func(a, b Probe) int { return a.Sent.Compare(b.Sent) })
	e.Calls, e.Refused, e.Versions, e.Probes, e.FailedPubs = l.calls, l.refused, o.versions, o.probes, o.failed
	var err error
	e.Runs, err = readLedgers(f)
	e.countFelt()
	return e, err
}
