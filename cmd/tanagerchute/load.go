package main

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/google/subcommands"

	"tanagerchute/io/load"
)

// loadCmd sends an open-loop load.
type loadCmd struct {
	targets string
	service string
	method  string
	path    string
	keyed   bool
	body    int
	cfg     load.Config
	within  time.Duration
	json    bool
}

// Name implements subcommands.Command.
func (*loadCmd) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCmd) Synopsis() string { return "send calls at a fixed rate (open-loop load)" }

// Usage implements subcommands.Command.
func (*loadCmd) Usage() string {
	return `load -targets ADDRS -service NAME [-path P] [-rate N] [-duration D]
  Sends calls at a fixed rate, regardless of whether earlier calls were answered.
  Latencies are measured from the time at which each call was due.

  Example:
    tanagerchute load -targets 127.0.0.1:8101 -service skraning -path /places -rate 200 -duration 5s

`
}

// SetFlags implements subcommands.Command.
func (l *loadCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&l.targets, "targets", "127.0.0.1:8101", "caller `addresses` of nodes, separated by commas")
	f.StringVar(&l.service, "service", "", "`name` of the service")
	f.StringVar(&l.method, "method", "GET", "HTTP method")
	f.StringVar(&l.path, "path", "/", "path and query of each call")
	f.BoolVar(&l.keyed, "keyed", false, "send an idempotency key with each call")
	f.IntVar(&l.body, "body", 0, "size of each request body in bytes")
	f.Float64Var(&l.cfg.Rate, "rate", 100, "calls a second")
	f.DurationVar(&l.cfg.Duration, "duration", 5*time.Second, "duration of the load")
	f.DurationVar(&l.within, "within", 0, "latency up to which an answer is counted as in time")
	f.IntVar(&l.cfg.MaxInFlight, "in-flight", 0, "maximum number of calls in flight, 0 for the highest possible")
	f.Uint64Var(&l.cfg.Seed, "seed", 1, "seed of the random choices")
	f.BoolVar(&l.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (l *loadCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if l.service == "" || f.NArg() != 0 || l.cfg.Rate <= 0 || l.cfg.Duration <= 0 || l.body < 0 {
		return exitUsage("load needs -service, a positive -rate and -duration, and no arguments")
	}
	l.cfg.Targets = strings.Split(l.targets, ",")
	l.cfg.Kinds = []load.Kind{{
		Name: l.method + " " + l.path, Service: l.service, Method: l.method, Path: l.path,
		BodyBytes: l.body, Keyed: l.keyed, Weight: 1, LatencyTarget: l.within,
	}}
	r := load.Run(ctx, l.cfg)
	if l.json {
		return printJSON(r)
	}
	c := r.Kinds[0]
	fmt.Printf("sent %d in %.1fs, unsent %d, good %d, in time %d, not_run %d, unknown %d, failed %d\n",
		c.Sent, r.Seconds, r.Unsent, c.Good, c.InTime, c.NotRun, c.Unknown, c.Failed)
	fmt.Printf("latency p50 %.2f ms, p99 %.2f ms, max %.2f ms\n", c.P50, c.P99, c.Max)
	return subcommands.ExitSuccess
}
