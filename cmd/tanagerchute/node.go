package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"go.uber.org/zap"

	"tanagerchute"
	"tanagerchute/io/etcd"
	"tanagerchute/io/logs"
	"tanagerchute/io/node"
	"tanagerchute/io/setup"
)

// nodeCmd runs a node.
type nodeCmd struct {
	settings string
}

// Name implements subcommands.Command.
func (*nodeCmd) Name() string { return "node" }

// Synopsis implements subcommands.Command.
func (*nodeCmd) Synopsis() string { return "run the node of an instance" }

// Usage implements subcommands.Command.
func (*nodeCmd) Usage() string {
	return `node -settings FILE
  Runs a node until SIGTERM or drain, which stop it as planned. Settings that
  are not valid stop it before it listens, with every finding.

  Example:
    tanagerchute node -settings examples/nordurljos/node-1.jsonc

`
}

// SetFlags implements subcommands.Command.
func (n *nodeCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&n.settings, "settings", "", "settings `file`")
}

// Execute implements subcommands.Command.
func (n *nodeCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if n.settings == "" || f.NArg() != 0 {
		return misused("node wants -settings FILE")
	}
	s, err := setup.ReadNode(n.settings)
	if err != nil {
		return fail(err)
	}
	tuneMemory()
	log, err := logs.New(logs.Config{Level: s.Log, Out: os.Stderr})
	if err != nil {
		return fail(err)
	}
	var store tanagerchute.Store
	if len(s.Store) > 0 {
		store = etcd.New(etcd.Config{Endpoints: s.Store})
	}
	p, err := node.New(node.Config{Settings: s, Store: store, Log: log})
	if err != nil {
		return fail(err)
	}
	if err := p.Run(ctx); err != nil {
		log.Error("node_failed", zap.Error(err))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
