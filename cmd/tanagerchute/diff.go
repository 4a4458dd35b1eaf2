package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"tanagerchute/core/config"
	"tanagerchute/core/merge"
)

// diffCmd prints the differences between a published version and a document.
type diffCmd struct {
	storeFlags
	version uint64
	json    bool
}

// Name implements subcommands.Command.
func (*diffCmd) Name() string { return "diff" }

// Synopsis implements subcommands.Command.
func (*diffCmd) Synopsis() string { return "compare a document with a published version" }

// Usage implements subcommands.Command.
func (*diffCmd) Usage() string {
	return `diff [-version N] FILE
  Prints the changes that the document would make to a version, by service and
  class. If the store holds no version, every class is printed as added.

  Example:
    tanagerchute diff mesh.jsonc

`
}

// SetFlags implements subcommands.Command.
func (d *diffCmd) SetFlags(f *flag.FlagSet) {
	d.storeFlags.register(f)
	f.Uint64Var(&d.version, "version", 0, "`number` of the version (default: the newest)")
	f.BoolVar(&d.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (d *diffCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	file, err := oneArg(f, "the document")
	if err != nil {
		return exitUsage("diff %v", err)
	}
	_, doc, err := readDocument(file)
	if err != nil {
		return exitFailure(err)
	}
	ctx, cancel := withQueryTimeout(ctx)
	defer cancel()
	old, err := d.storedDocument(ctx, doc.Deployment)
	if err != nil {
		return exitFailure(err)
	}
	changes := merge.Diff(old, doc)
	if d.json {
		return printJSON(changes)
	}
	for _, c := range changes {
		fmt.Println(c)
	}
	return subcommands.ExitSuccess
}

// storedDocument returns the document of the version to compare with, the newest one
// if -version is not set. In that case it returns nil if the store holds no version.
func (d *diffCmd) storedDocument(ctx context.Context, deployment string) (*config.Document, error) {
	l, err := d.openLedger(deployment)
	if err != nil {
		return nil, err
	}
	if d.version == 0 {
		head, err := l.Head(ctx, noLookup)
		if err != nil || head.Version.Number == 0 {
			return nil, err
		}
		return config.Parse("newest version", head.Version.Content)
	}
	v, err := l.Get(ctx, d.version)
	if err != nil {
		return nil, err
	}
	return config.Parse(fmt.Sprintf("version %d", d.version), v.Content)
}
