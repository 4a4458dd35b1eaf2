package main

import (
	"context"
	"flag"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"tanagerchute/io/demo"
)

// demoCmd runs a demonstration deployment.
type demoCmd struct {
	duration   time.Duration
	seed       uint64
	deployment string
	json       bool
}

// Name implements subcommands.Command.
func (*demoCmd) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCmd) Synopsis() string { return "run a small deployment in one process, as a demonstration" }

// Usage implements subcommands.Command.
func (*demoCmd) Usage() string {
	return `demo [-deployment NAME] [-duration D] [-seed N] [-json]
  Runs nodes in three data centres with stand-ins for the platform and for the
  backend servers, under a light load. It prints the events of a configuration
  change, of the failure of a backend server and of a planned stop. The exit
  status is 1 if a guarantee was violated.

  Example:
    tanagerchute demo -deployment association -duration 15s

`
}

// SetFlags implements subcommands.Command.
func (d *demoCmd) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&d.duration, "duration", 15*time.Second, "duration of the load")
	f.Uint64Var(&d.seed, "seed", 1, "seed of the random order of the calls")
	f.StringVar(&d.deployment, "deployment", "nordurljos", "nordurljos or association")
	f.BoolVar(&d.json, "json", false, "print only a summary, as JSON")
}

// Execute implements subcommands.Command.
func (d *demoCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return exitUsage("demo takes no arguments")
	}
	var out io.Writer = os.Stdout
	if d.json {
		out = io.Discard
	}
	s, err := demo.Run(ctx, demo.Config{Deployment: d.deployment, Duration: d.duration, Seed: d.seed, Out: out})
	if err != nil {
		return exitFailure(err)
	}
	if d.json {
		printJSON(s)
	}
	if len(s.Violations) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
