package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// drainCmd starts the planned stop of a node.
type drainCmd struct {
	nodeFlags
}

// Name implements subcommands.Command.
func (*drainCmd) Name() string { return "drain" }

// Synopsis implements subcommands.Command.
func (*drainCmd) Synopsis() string { return "drain and stop a node" }

// Usage implements subcommands.Command.
func (*drainCmd) Usage() string {
	return `drain [-node ADDR] NAME
  Drains the node of an instance and stops it. The node accepts no new calls from
  then on, completes the calls in flight, and exits. SIGTERM has the same effect.

  Example:
    tanagerchute drain -node 127.0.0.1:9101 selfoss-skraning-1

`
}

// SetFlags implements subcommands.Command.
func (d *drainCmd) SetFlags(f *flag.FlagSet) { d.nodeFlags.register(f) }

// Execute implements subcommands.Command.
func (d *drainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, err := oneArg(f, "the name of the instance")
	if err != nil {
		return exitUsage("drain %v", err)
	}
	ctx, cancel := withQueryTimeout(ctx)
	defer cancel()
	if err := d.adminClient().Drain(ctx, name); err != nil {
		return exitFailure(err)
	}
	fmt.Printf("%s is draining\n", name)
	return subcommands.ExitSuccess
}
