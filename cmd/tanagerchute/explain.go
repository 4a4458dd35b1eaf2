package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"tanagerchute/io/admin"
)

// explainCmd prints the recorded decisions about a subject, with their causes.
type explainCmd struct {
	nodeFlags
	scope string
	json  bool
}

// Name implements subcommands.Command.
func (*explainCmd) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCmd) Synopsis() string {
	return "show the decisions of the nodes about a subject, and their causes"
}

// Usage implements subcommands.Command.
func (*explainCmd) Usage() string {
	return `explain [-node ADDR] [-scope node|centre|fleet] [-json] SUBJECT
  Prints the events that the nodes recorded about a subject, in the order of
  time. The subject is a version number, the name of a node, the address of an
  upstream, a data centre, a request id or a trace id. Nodes keep a bounded
  number of events.

  Example:
    tanagerchute explain -node 127.0.0.1:9101 7
    tanagerchute explain hafnar-skraning-1

`
}

// SetFlags implements subcommands.Command.
func (e *explainCmd) SetFlags(f *flag.FlagSet) {
	e.nodeFlags.register(f)
	f.StringVar(&e.scope, "scope", string(admin.ScopeFleet), "nodes to ask: node, centre or fleet")
	f.BoolVar(&e.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (e *explainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	subject, err := oneArg(f, "what to explain")
	if err != nil {
		return exitUsage("explain %v", err)
	}
	ctx, cancel := withQueryTimeout(ctx)
	defer cancel()
	x, err := e.adminClient().Explain(ctx, subject, admin.Scope(e.scope))
	if err != nil {
		return exitFailure(err)
	}
	if e.json {
		return printJSON(x)
	}
	for _, ev := range x.Events {
		fmt.Printf("%s %s %s %s: %s\n", ev.At.UTC().Format(time.RFC3339Nano), ev.Node, ev.Kind, ev.Subject, ev.Cause)
	}
	for _, name := range x.Silent {
		fmt.Printf("%s does not answer\n", name)
	}
	if len(x.Events) == 0 {
		fmt.Printf("no node has recorded an event about %s\n", subject)
	}
	return subcommands.ExitSuccess
}
