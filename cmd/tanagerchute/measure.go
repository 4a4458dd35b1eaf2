package main

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"tanagerchute/io/bench"
	"tanagerchute/io/feed"
	"tanagerchute/io/setup"
)

// measureCmd runs a benchmark.
type measureCmd struct {
	nodes    string
	mode     string
	fleet    bench.FleetConfig
	path     bench.PathConfig
	overload bench.OverloadConfig
	json     bool
}

// Name implements subcommands.Command.
func (*measureCmd) Name() string { return "measure" }

// Synopsis implements subcommands.Command.
func (*measureCmd) Synopsis() string { return "run a benchmark on this machine, with stand-ins" }

// Usage implements subcommands.Command.
func (*measureCmd) Usage() string {
	return `measure [flags] fleet|path|overload|herd
  fleet     convergence time, control traffic, CPU time and memory by fleet size
  path      latency added by one node and by two nodes, against direct calls
  overload  goodput by offered load, for the product's policy and simple ones
  herd      rate of store reads while all nodes restart at the same time

  Example:
    tanagerchute measure -nodes 9,30,90 -changes 20 fleet

`
}

// SetFlags implements subcommands.Command.
func (m *measureCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&m.nodes, "nodes", "9,30", "numbers of nodes to measure with, separated by commas")
	f.StringVar(&m.mode, "mode", "tree", "distribution of versions: tree, watch-all or full-flood")
	f.IntVar(&m.fleet.DataCentres, "centres", 3, "number of data centres")
	f.IntVar(&m.fleet.Services, "services", 31, "number of services in the document")
	f.IntVar(&m.fleet.Changes, "changes", 20, "number of successive versions, each of which changes one latency target")
	f.DurationVar(&m.fleet.Idle, "idle", 10*time.Second, "time over which the traffic without changes is measured")
	f.DurationVar(&m.fleet.OneWay, "one-way", 3500*time.Microsecond, "one-way delay between data centres")
	f.Float64Var(&m.fleet.Loss, "loss", 0, "fraction of segments between data centres that are lost once and arrive late")
	f.BoolVar(&m.fleet.RestartReaders, "kill", false, "restart, at each third change, the first node of a data centre that reads versions from the store")
	f.DurationVar(&m.path.Duration, "duration", 5*time.Second, "duration of each load")
	f.DurationVar(&m.path.Work, "work", 5*time.Millisecond, "time that a backend server works on a call")
	f.BoolVar(&m.json, "json", false, "print JSON")
}

// distributionModes maps the values of -mode.
var distributionModes = map[string]feed.Mode{"tree": feed.Tree, "watch-all": feed.WatchAll, "full-flood": feed.FullFlood}

// Execute implements subcommands.Command.
func (m *measureCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	measurement, err := oneArg(f, "fleet, path, overload or herd")
	if err != nil {
		return exitUsage("measure %v", err)
	}
	mode, ok := distributionModes[m.mode]
	sizes, err := parseFleetSizes(m.nodes)
	if err != nil || !ok {
		return exitUsage("measure: -mode is tree, watch-all or full-flood, and -nodes a list of numbers")
	}
	if measurement == "path" || measurement == "overload" {
		configureGC(setup.DefaultMemoryMB << 20)
	}
	m.fleet.Mode, m.fleet.Nodes = mode, sizes
	m.overload.Duration, m.overload.Work = m.path.Duration, m.path.Work
	switch measurement {
	case "fleet":
		rows, err := bench.Fleet(ctx, m.fleet)
		return printRows(m.json, rows, err)
	case "path":
		rows, err := bench.Path(ctx, m.path)
		return printRows(m.json, rows, err)
	case "overload":
		rows, err := bench.Overload(ctx, m.overload)
		return printRows(m.json, rows, err)
	case "herd":
		rows, err := bench.Herd(ctx, m.fleet)
		return printRows(m.json, rows, err)
	}
	return exitUsage("measure: %q is not fleet, path, overload or herd", measurement)
}

// parseFleetSizes parses a list of numbers of nodes, separated by commas.
func parseFleetSizes(text string) ([]int, error) {
	var out []int
	for _, s := range strings.Split(text, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > 400 {
			return nil, errors.Errorf("%q is not a number of nodes between 1 and 400", s)
		}
		out = append(out, n)
	}
	return out, nil
}

// tableRow is a line of the table that a benchmark prints.
type tableRow interface {
	Header() string
	String() string
}

// printRows prints the rows of a benchmark as a table or as JSON. If the benchmark
// failed, the rows that it returned are printed as a table, but not as JSON.
func printRows[R tableRow](asJSON bool, rows []R, err error) subcommands.ExitStatus {
	if len(rows) > 0 && !asJSON {
		fmt.Println(rows[0].Header())
		for _, r := range rows {
			fmt.Println(r)
		}
	}
	if err != nil {
		return exitFailure(err)
	}
	if asJSON {
		return printJSON(rows)
	}
	return subcommands.ExitSuccess
}
