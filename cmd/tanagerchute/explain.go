package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"tanagerchute/io/admin"
)

// explainCmd shows what was decided about something, and why.
type explainCmd struct {
	nodeFlags
	scope string
	json  bool
}

// Name implements subcommands.Command.
func (*explainCmd) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCmd) Synopsis() string { return "show what was decided about something, and why" }

// Usage implements subcommands.Command.
func (*explainCmd) Usage() string {
	return `explain [-node ADDR] [-scope node|centre|fleet] [-json] SUBJECT
  Prints, in the order of time, what the nodes decided about a version number,
  a node, an upstream's address, a data centre, a request id or a trace id.
  Nodes remember a bounded number of events.

  Example:
    tanagerchute explain -node 127.0.0.1:9101 7
    tanagerchute explain hafnar-skraning-1

`
}

// SetFlags implements subcommands.Command.
func (e *explainCmd) SetFlags(f *flag.FlagSet) {
	e.nodeFlags.set(f)
	f.StringVar(&e.scope, "scope", string(admin.ScopeFleet), "how far to ask: node, centre or fleet")
	f.BoolVar(&e.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (e *explainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	subject, err := oneArg(f, "what to explain")
	if err != nil {
		return misused("explain %v", err)
	}
	ctx, cancel := storeTimeout(ctx)
	defer cancel()
	x, err := e.client().Explain(ctx, subject, admin.Scope(e.scope))
	if err != nil {
		return fail(err)
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
		fmt.Printf("no node remembers anything about %s\n", subject)
	}
	return subcommands.ExitSuccess
}
