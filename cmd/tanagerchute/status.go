package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"

	"tanagerchute/io/admin"
)

// statusCmd shows the state of the fleet.
type statusCmd struct {
	nodeFlags
	scope string
	json  bool
}

// Name implements subcommands.Command.
func (*statusCmd) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCmd) Synopsis() string { return "show the nodes with their versions and load" }

// Usage implements subcommands.Command.
func (*statusCmd) Usage() string {
	return `status [-node ADDR] [-scope node|centre|fleet] [-json]
  Asks a node, and through it the others. Nodes and data centres that do not
  answer are listed at the end, and make the exit status 1.

  Example:
    tanagerchute status -node 127.0.0.1:9101

`
}

// SetFlags implements subcommands.Command.
func (s *statusCmd) SetFlags(f *flag.FlagSet) {
	s.nodeFlags.set(f)
	f.StringVar(&s.scope, "scope", string(admin.ScopeFleet), "how far to ask: node, centre or fleet")
	f.BoolVar(&s.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (s *statusCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return misused("status wants no arguments")
	}
	ctx, cancel := storeTimeout(ctx)
	defer cancel()
	st, err := s.client().Status(ctx, admin.Scope(s.scope))
	if err != nil {
		return fail(err)
	}
	if s.json {
		printJSON(st)
	} else {
		printStatus(st)
	}
	if len(st.Silent) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func printStatus(st admin.Status) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "DATA CENTRE\tNODE\tSERVICE\tVERSION\tSTATE\tIN FLIGHT\tQUEUED\tLIMIT\tNOTE")
	for _, x := range st.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\n",
			x.DataCentre, x.ID, x.Service, x.Version, stateOf(x), x.InFlight, x.Queued, x.Limit, noteOf(x))
	}
	for _, name := range st.Silent {
		fmt.Fprintf(w, "%s does not answer\n", name)
	}
}

func stateOf(x admin.NodeStatus) string {
	switch {
	case x.Draining:
		return "draining"
	case x.Ready:
		return "ready"
	}
	return "not ready"
}

func noteOf(x admin.NodeStatus) string {
	switch {
	case x.Refused != "":
		return "refused a version: " + x.Refused
	case x.StoreLost:
		return "reader, can't read the store"
	case x.Reader:
		return "reader"
	}
	return ""
}
