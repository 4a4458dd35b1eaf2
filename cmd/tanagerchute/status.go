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

// statusCmd prints the state of the nodes.
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
  Asks a node, which asks the other nodes in scope. Nodes and data centres that
  do not answer are listed at the end, and the exit status is then 1.

  Example:
    tanagerchute status -node 127.0.0.1:9101

`
}

// SetFlags implements subcommands.Command.
func (s *statusCmd) SetFlags(f *flag.FlagSet) {
	s.nodeFlags.register(f)
	f.StringVar(&s.scope, "scope", string(admin.ScopeFleet), "nodes to ask: node, centre or fleet")
	f.BoolVar(&s.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (s *statusCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return exitUsage("status takes no arguments")
	}
	ctx, cancel := withQueryTimeout(ctx)
	defer cancel()
	st, err := s.adminClient().Status(ctx, admin.Scope(s.scope))
	if err != nil {
		return exitFailure(err)
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
	for _, node := range st.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\n",
			node.DataCentre, node.ID, node.Service, node.Version, nodeState(node), node.InFlight, node.Queued, node.Limit, nodeNote(node))
	}
	for _, name := range st.Silent {
		fmt.Fprintf(w, "%s does not answer\n", name)
	}
}

func nodeState(node admin.NodeStatus) string {
	switch {
	case node.Draining:
		return "draining"
	case node.Ready:
		return "ready"
	}
	return "not ready"
}

// nodeNote returns the text of the column NOTE. A reader is a node that reads new
// versions from the store for its data centre.
func nodeNote(node admin.NodeStatus) string {
	switch {
	case node.Refused != "":
		return "refused a version: " + node.Refused
	case node.StoreLost:
		return "reader, can't read the store"
	case node.Reader:
		return "reader"
	}
	return ""
}
