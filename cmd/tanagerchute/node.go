package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"go.uber.org/zap"

	"tanagerchute"
	"tanagerchute/io/etcd"
	"tanagerchute/io/logs"
	"tanagerchute/io/node"
	"tanagerchute/io/setup"
	"tanagerchute/platform"
)

// nodeCmd runs the node of an instance.
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
  Runs a node until SIGTERM or drain starts its planned stop. If its settings
  are not valid, the node prints all errors and exits before it listens.
  Without -settings, it reads the settings file that the users' platform
  provides.
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
		return exitUsage("node takes no arguments")
	}
	file, read := n.settings, setup.ReadNode
	if file == "" {
		file, read = platform.SettingsFile(), readPlatformSettings
	}
	if file == "" {
		return exitUsage("node needs -settings FILE")
	}
	settingsReloader := newReloader(file, read)
	signal.Ignore(syscall.SIGPIPE) // the reader of the logs may end before the node
	logOut := logs.NewAsyncWriter(os.Stdout)
	defer logOut.Close()
	nd, log, err := n.newNode(file, logOut)
	if err != nil {
		return exitFailure(err)
	}
	reloadCtx, stopReload := context.WithCancel(ctx)
	defer stopReload()
	go settingsReloader.run(reloadCtx, nd)
	if err := nd.Run(ctx); err != nil {
		log.Error("node_failed", zap.Error(err))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// readPlatformSettings reads the node settings from a settings file of the users'
// platform.
func readPlatformSettings(file string) (setup.Node, error) {
	s, err := platform.ReadSettings(file)
	return s.Node, err
}

// newNode returns a node with the settings in file. The file is in the product's
// own format if -settings is set, and otherwise in the platform's.
func (n *nodeCmd) newNode(file string, logOut *logs.AsyncWriter) (*node.Node, *zap.Logger, error) {
	if n.settings != "" {
		return newNodeFromSettings(file, logOut)
	}
	return newNodeFromPlatform(file, logOut)
}

// newNodeFromSettings returns a node with settings in the product's own format.
func newNodeFromSettings(file string, logOut *logs.AsyncWriter) (*node.Node, *zap.Logger, error) {
	s, err := setup.ReadNode(file)
	if err != nil {
		return nil, nil, err
	}
	configureGC(s.Limits.MemoryBytes())
	log, err := logs.New(logs.Config{Level: s.Log, Out: logOut})
	if err != nil {
		return nil, nil, err
	}
	var store tanagerchute.Store
	if len(s.Store) > 0 {
		store = etcd.New(etcd.Config{Endpoints: s.Store})
	}
	nd, err := node.New(node.Config{Settings: s, Store: store, Log: log, LogSink: logOut})
	return nd, log, err
}

// newNodeFromPlatform returns a node with the settings of the users' platform.
func newNodeFromPlatform(file string, logOut *logs.AsyncWriter) (*node.Node, *zap.Logger, error) {
	s, err := platform.ReadSettings(file)
	if err != nil {
		return nil, nil, err
	}
	configureGC(s.Node.Limits.MemoryBytes())
	log, err := logs.New(logs.Config{Level: s.Node.Log, Out: logOut})
	if err != nil {
		return nil, nil, err
	}
	nd, err := platform.NewNode(platform.Config{Settings: s, Log: log, LogSink: logOut})
	return nd, log, err
}
