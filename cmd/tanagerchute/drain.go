package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// drainCmd stops a node as planned.
type drainCmd struct {
	nodeFlags
}

// Name implements subcommands.Command.
func (*drainCmd) Name() string { return "drain" }

// Synopsis implements subcommands.Command.
func (*drainCmd) Synopsis() string { return "stop a node as planned" }

// Usage implements subcommands.Command.
func (*drainCmd) Usage() string {
	return `drain [-node ADDR] NAME
  Stops the node of an instance: it takes no new work at once, ends what is in
  flight, and exits. SIGTERM does the same.

  Example:
    tanagerchute drain -node 127.0.0.1:9101 selfoss-skraning-1

`
}

// SetFlags implements subcommands.Command.
func (d *drainCmd) SetFlags(f *flag.FlagSet) { d.nodeFlags.set(f) }

// Execute implements subcommands.Command.
func (d *drainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, err := oneArg(f, "the name of the instance")
	if err != nil {
		return misused("drain %v", err)
	}
	ctx, cancel := storeTimeout(ctx)
	defer cancel()
	if err := d.client().Drain(ctx, name); err != nil {
		return fail(err)
	}
	fmt.Printf("%s is draining\n", name)
	return subcommands.ExitSuccess
}
