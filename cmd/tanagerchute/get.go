package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"tanagerchute/core/config"
	"tanagerchute/core/vers"
	"tanagerchute/io/ledger"
)

// getCmd prints the document of a version.
type getCmd struct {
	storeFlags
	version uint64
}

// Name implements subcommands.Command.
func (*getCmd) Name() string { return "get" }

// Synopsis implements subcommands.Command.
func (*getCmd) Synopsis() string { return "print the document of a version" }

// Usage implements subcommands.Command.
func (*getCmd) Usage() string {
	return `get -deployment NAME [-version N]
  Prints the document of a version, the newest one by default. The first line
  holds the number of the version, which apply takes as the parent. Keys of
  client accounts are printed as digests.

  Example:
    tanagerchute get -deployment nordurljos > mesh.jsonc

`
}

// SetFlags implements subcommands.Command.
func (g *getCmd) SetFlags(f *flag.FlagSet) {
	g.storeFlags.register(f)
	f.Uint64Var(&g.version, "version", 0, "`number` of the version (default: the newest)")
}

// Execute implements subcommands.Command.
func (g *getCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return exitUsage("get takes no arguments")
	}
	l, err := g.openLedger("")
	if err != nil {
		return exitUsage("get: %v", err)
	}
	ctx, cancel := withQueryTimeout(ctx)
	defer cancel()
	v, err := readVersion(ctx, l, g.version)
	if err != nil {
		return exitFailure(err)
	}
	content, err := config.HideKeys(v.Content)
	if err != nil {
		return exitFailure(err)
	}
	if _, err := os.Stdout.WriteString(versionLine(v.Number) + string(content)); err != nil {
		return exitFailure(err)
	}
	return subcommands.ExitSuccess
}

// readVersion reads a version, or the newest one if number is 0.
func readVersion(ctx context.Context, l *ledger.Ledger, number uint64) (vers.Version, error) {
	if number > 0 {
		return l.Get(ctx, number)
	}
	head, err := l.Head(ctx, noLookup)
	if err != nil {
		return vers.Version{}, err
	}
	if head.Version.Number == 0 {
		return vers.Version{}, ledger.ErrVersionNotFound
	}
	return head.Version, nil
}
