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
)

// measureCmd measures the system.
type measureCmd struct {
	nodes string
	mode  string
	fleet bench.FleetConfig
	path  bench.PathConfig
	over  bench.OverConfig
	json  bool
}

// Name implements subcommands.Command.
func (*measureCmd) Name() string { return "measure" }

// Synopsis implements subcommands.Command.
func (*measureCmd) Synopsis() string { return "measure the system with stand-ins on this machine" }

// Usage implements subcommands.Command.
func (*measureCmd) Usage() string {
	return `measure [flags] fleet|path|overload|herd
  fleet     convergence, control bytes, processor time and memory by size
  path      latency added by one and two nodes, against direct calls
  overload  goodput against offered load, for our policy and simple ones
  herd      reads at the store while all nodes restart at once

  Example:
    tanagerchute measure -nodes 9,30,90 -changes 20 fleet

`
}

// SetFlags implements subcommands.Command.
func (m *measureCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&m.nodes, "nodes", "9,30", "sizes of the fleet, separated by commas")
	f.StringVar(&m.mode, "mode", "tree", "distribution: tree, watch-all or full-flood")
	f.IntVar(&m.fleet.Centres, "centres", 3, "data centres")
	f.IntVar(&m.fleet.Services, "services", 31, "services in the document")
	f.IntVar(&m.fleet.Changes, "changes", 20, "changes of one target")
	f.DurationVar(&m.fleet.Idle, "idle", 10*time.Second, "quiet time that is measured")
	f.DurationVar(&m.fleet.OneWay, "one-way", 3500*time.Microsecond, "delay between data centres")
	f.Float64Var(&m.fleet.Loss, "loss", 0, "share of segments between data centres that are lost once")
	f.BoolVar(&m.fleet.Kill, "kill", false, "kill a first reader at each third change")
	f.DurationVar(&m.path.Duration, "duration", 5*time.Second, "length of each load")
	f.DurationVar(&m.path.Work, "work", 5*time.Millisecond, "time that a call takes at its backend server")
	f.BoolVar(&m.json, "json", false, "print JSON")
}

var modes = map[string]feed.Mode{"tree": feed.Tree, "watch-all": feed.WatchAll, "full-flood": feed.FullFlood}

// Execute implements subcommands.Command.
func (m *measureCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	what, err := oneArg(f, "fleet, path, overload or herd")
	if err != nil {
		return misused("measure %v", err)
	}
	mode, ok := modes[m.mode]
	sizes, err := parseSizes(m.nodes)
	if err != nil || !ok {
		return misused("measure: -mode is tree, watch-all or full-flood, and -nodes a list of numbers")
	}
	if what == "path" || what == "overload" {
		tuneMemory()
	}
	m.fleet.Mode, m.fleet.Nodes = mode, sizes
	m.over.Duration, m.over.Work = m.path.Duration, m.path.Work
	switch what {
	case "fleet":
		rows, err := bench.Fleet(ctx, m.fleet)
		return show(m.json, rows, err)
	case "path":
		rows, err := bench.Path(ctx, m.path)
		return show(m.json, rows, err)
	case "overload":
		rows, err := bench.Overload(ctx, m.over)
		return show(m.json, rows, err)
	case "herd":
		rows, err := bench.Herd(ctx, m.fleet)
		return show(m.json, rows, err)
	}
	return misused("measure: %q is not fleet, path, overload or herd", what)
}

func parseSizes(text string) ([]int, error) {
	var out []int
	for _, s := range strings.Split(text, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > 400 {
			return nil, errors.Errorf("%q is not a size between 1 and 400", s)
		}
		out = append(out, n)
	}
	return out, nil
}

// row is a line of a measurement's table.
type row interface {
	Header() string
	String() string
}

// show prints a measurement as a table or as JSON.
func show[R row](asJSON bool, rows []R, err error) subcommands.ExitStatus {
	if len(rows) > 0 && !asJSON {
		fmt.Println(rows[0].Header())
		for _, r := range rows {
			fmt.Println(r)
		}
	}
	if err != nil {
		return fail(err)
	}
	if asJSON {
		return printJSON(rows)
	}
	return subcommands.ExitSuccess
}
