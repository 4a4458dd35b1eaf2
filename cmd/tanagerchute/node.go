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
	"tanagerchute/platform"
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
	return `node [-settings FILE]
  Runs a node until SIGTERM or drain, which stop it as planned. Settings that
  are not valid stop it before it listens, with every finding. Without
  -settings, the settings are those that the users' platform hands over.
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
	if f.NArg() != 0 {
		return misused("node wants no arguments")
	}
	tuneMemory()
	file, read := n.settings, setup.ReadNode
	if file == "" {
		file, read = platform.SettingsFile(), readPlatform
	}
	if file == "" {
		return misused("node wants -settings FILE")
	}
	reloads := newReloader(file, read)
	logOut := logs.NewAsyncWriter(os.Stdout)
	defer logOut.Close()
	p, log, err := n.build(file, logOut)
	if err != nil {
		return fail(err)
	}
	reloading, stop := context.WithCancel(ctx)
	defer stop()
	go reloads.run(reloading, p)
	if err := p.Run(ctx); err != nil {
		log.Error("node_failed", zap.Error(err))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// readPlatform reads the settings of the users' platform.
func readPlatform(file string) (setup.Node, error) {
	s, err := platform.ReadSettings(file)
	return s.Node, err
}

// build returns the node of the settings in file.
func (n *nodeCmd) build(file string, logOut *logs.AsyncWriter) (*node.Node, *zap.Logger, error) {
	if n.settings != "" {
		return ownNode(file, logOut)
	}
	return platformNode(file, logOut)
}

// ownNode returns a node by settings in the product's own format.
func ownNode(file string, logOut *logs.AsyncWriter) (*node.Node, *zap.Logger, error) {
	s, err := setup.ReadNode(file)
	if err != nil {
		return nil, nil, err
	}
	log, err := logs.New(logs.Config{Level: s.Log, Out: logOut})
	if err != nil {
		return nil, nil, err
	}
	var store tanagerchute.Store
	if len(s.Store) > 0 {
		store = etcd.New(etcd.Config{Endpoints: s.Store})
	}
	p, err := node.New(node.Config{Settings: s, Store: store, Log: log, LogSink: logOut})
	return p, log, err
}

// platformNode returns a node by the settings of the users' platform.
func platformNode(file string, logOut *logs.AsyncWriter) (*node.Node, *zap.Logger, error) {
	s, err := platform.ReadSettings(file)
	if err != nil {
		return nil, nil, err
	}
	log, err := logs.New(logs.Config{Level: s.Node.Log, Out: logOut})
	if err != nil {
		return nil, nil, err
	}
	p, err := platform.NewNode(platform.Config{Settings: s, Log: log, LogSink: logOut})
	return p, log, err
}
