package main

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap"

	"tanagerchute/io/admin"
	"tanagerchute/io/logs"
	"tanagerchute/io/server"
	"tanagerchute/io/setup"
)

// upstreamCmd runs a stand-in backend server.
type upstreamCmd struct {
	settings string
}

// announceLeaveTimeout bounds the request that tells the node that the backend
// server is stopping.
const announceLeaveTimeout = time.Second

// Name implements subcommands.Command.
func (*upstreamCmd) Name() string { return "upstream" }

// Synopsis implements subcommands.Command.
func (*upstreamCmd) Synopsis() string { return "run a stand-in backend server" }

// Usage implements subcommands.Command.
func (*upstreamCmd) Usage() string {
	return `upstream -settings FILE
  Runs a stand-in that announces itself to its node and records each call that
  it runs in a ledger. Faults can be injected while it runs:
    curl -X PUT -d '{"fail":true}' http://ADDR/standin/faults
    curl http://ADDR/standin/ledger

  Example:
    tanagerchute upstream -settings examples/nordurljos/upstream-1.jsonc

`
}

// SetFlags implements subcommands.Command.
func (u *upstreamCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&u.settings, "settings", "", "settings `file`")
}

// Execute implements subcommands.Command.
func (u *upstreamCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if u.settings == "" || f.NArg() != 0 {
		return exitUsage("upstream needs -settings FILE")
	}
	s, err := setup.ReadUpstream(u.settings)
	if err != nil {
		return exitFailure(err)
	}
	log, err := logs.New(logs.Config{Level: logLevelOr(s.Log, "info"), Out: os.Stderr})
	if err != nil {
		return exitFailure(err)
	}
	cfg := server.Config{Service: s.Service, Slots: s.Slots, Work: s.Work.Std(), Egress: s.Egress}
	if s.Ledger != "" {
		file, err := os.OpenFile(s.Ledger, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return exitFailure(err)
		}
		defer file.Close()
		cfg.LedgerOut = file
	}
	b := server.New(cfg)
	node := admin.Client{Addr: s.Node}
	go b.Announce(ctx, node, s.Listen)
	announceLeave := func() {
		ctx, cancel := context.WithTimeout(context.Background(), announceLeaveTimeout)
		defer cancel()
		if err := node.MarkBackendLeaving(ctx); err != nil {
			log.Warn("leave_failed", zap.Error(err))
		}
	}
	if err := serveUntilDone(ctx, log, s.Listen, b, announceLeave); err != nil {
		return exitFailure(err)
	}
	return subcommands.ExitSuccess
}

func logLevelOr(level, fallback string) string {
	if level == "" {
		return fallback
	}
	return level
}
