package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"tanagerchute/core/config"
	"tanagerchute/core/merge"
)

// diffCmd compares a document with a version.
type diffCmd struct {
	storeFlags
	version uint64
	json    bool
}

// Name implements subcommands.Command.
func (*diffCmd) Name() string { return "diff" }

// Synopsis implements subcommands.Command.
func (*diffCmd) Synopsis() string { return "compare a document with a version" }

// Usage implements subcommands.Command.
func (*diffCmd) Usage() string {
	return `diff [-version N] FILE
  Prints what the document would change, by service and class. Without a
  version in the store everything is new.

  Example:
    tanagerchute diff mesh.jsonc

`
}

// SetFlags implements subcommands.Command.
func (d *diffCmd) SetFlags(f *flag.FlagSet) {
	d.storeFlags.set(f)
	f.Uint64Var(&d.version, "version", 0, "`number` of the version (default: the newest)")
	f.BoolVar(&d.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (d *diffCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	file, err := oneArg(f, "the document")
	if err != nil {
		return misused("diff %v", err)
	}
	_, doc, err := readDocument(file)
	if err != nil {
		return fail(err)
	}
	ctx, cancel := storeTimeout(ctx)
	defer cancel()
	old, err := d.old(ctx, doc.Deployment)
	if err != nil {
		return fail(err)
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

// old returns the document to compare with, or nil if the store has none.
func (d *diffCmd) old(ctx context.Context, deployment string) (*config.Document, error) {
	l, err := d.ledger(deployment)
	if err != nil {
		return nil, err
	}
	if d.version == 0 {
		head, err := l.Head(ctx, noBase)
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
