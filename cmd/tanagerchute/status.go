package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"tanagerchute/core/drift"
	"tanagerchute/io/admin"
)

// statusCmd prints the state of the nodes.
type statusCmd struct {
	nodeFlags
	scope string
	json  bool
	check bool
}

// Name implements subcommands.Command.
func (*statusCmd) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCmd) Synopsis() string { return "show the nodes with their versions and load" }

// Usage implements subcommands.Command.
func (*statusCmd) Usage() string {
	return `status [-node ADDR] [-scope node|centre|fleet] [-json] [-check]
  Asks a node, which asks the other nodes in scope. Nodes and data centres that
  do not answer are listed at the end, and the exit status is then 1.

  The second table groups the nodes by configuration version, digest of the
  settings and build. Settings that identify an instance do not count. Settings
  files that differ from what is in force are listed below it. With -check, only
  this part is printed, and the exit status is 1 unless all nodes are alike.

  Example:
    tanagerchute status -node 127.0.0.1:9101
    tanagerchute status -check -node 127.0.0.1:9101

`
}

// SetFlags implements subcommands.Command.
func (s *statusCmd) SetFlags(f *flag.FlagSet) {
	s.nodeFlags.register(f)
	f.StringVar(&s.scope, "scope", string(admin.ScopeFleet), "nodes to ask: node, centre or fleet")
	f.BoolVar(&s.json, "json", false, "print JSON")
	f.BoolVar(&s.check, "check", false, "check that all nodes run the same version, settings and build")
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
	switch {
	case s.json:
		printJSON(st)
	case s.check:
		printGroups(st)
	default:
		printNodes(st)
		fmt.Println()
		printGroups(st)
	}
	printSilent(st)
	if len(st.Silent) > 0 || s.check && !drift.Uniform(driftNodes(st)) {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func printSilent(st admin.Status) {
	for _, name := range st.Silent {
		fmt.Fprintf(os.Stderr, "%s does not answer\n", name)
	}
}

// printNodes prints a line for each node.
func printNodes(st admin.Status) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "DATA CENTRE\tNODE\tSERVICE\tVERSION\tSTATE\tIN FLIGHT\tQUEUED\tLIMIT\tNOTE")
	for _, node := range st.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\n",
			node.DataCentre, node.ID, node.Service, node.Version, nodeState(node), node.InFlight, node.Queued, node.Limit, nodeNote(node))
	}
}

// maxListedNames is the number of nodes of a group that are named.
const maxListedNames = 5

// printGroups prints the groups of nodes that run the same, and the nodes whose
// settings files are not in force. It names the nodes of all groups but the
// largest one.
func printGroups(st admin.Status) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "VERSION\tSETTINGS\tBUILD\tNODES\tSINCE\tDATA CENTRES")
	for i, g := range drift.GroupNodes(driftNodes(st)) {
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\t%s\n", g.Version, g.Digest, g.Build, g.Count, since(g.Since), countList(g.Centres))
		if i > 0 {
			names := g.Names[:min(len(g.Names), maxListedNames)]
			fmt.Fprintf(w, "\t\t\t\t\t%s\n", strings.Join(names, " "))
		}
	}
	for _, node := range st.Nodes {
		if node.Settings.Pending != "" {
			fmt.Fprintf(w, "%s: settings file not in force: %s\n", node.Name, node.Settings.Pending)
		}
	}
}

// driftNodes returns what the nodes of a status report about their configuration.
func driftNodes(st admin.Status) []drift.Node {
	var out []drift.Node
	for _, n := range st.Nodes {
		out = append(out, drift.Node{
			Name: n.Name, DataCentre: n.DataCentre, Version: n.Version, Digest: n.Settings.Digest, Build: n.Settings.Build,
			LoadedAt: n.Settings.LoadedAt, Pending: n.Settings.Pending,
		})
	}
	return out
}

// since returns a time with the duration that has passed since.
func since(t time.Time) string {
	return fmt.Sprintf("%s (%s)", t.UTC().Format(time.TimeOnly), time.Since(t).Round(time.Second))
}

// countList returns counts by name as text, sorted by name.
func countList(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
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
