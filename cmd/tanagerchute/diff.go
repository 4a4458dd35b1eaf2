package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"tanagerchute/core/config"
	"tanagerchute/core/drift"
	"tanagerchute/core/merge"
	"tanagerchute/io/admin"
)

// diffCmd prints the differences between a published version and a document, or
// between the settings of two nodes.
type diffCmd struct {
	storeFlags
	nodeFlags
	version  uint64
	settings bool
	json     bool
}

// Name implements subcommands.Command.
func (*diffCmd) Name() string { return "diff" }

// Synopsis implements subcommands.Command.
func (*diffCmd) Synopsis() string {
	return "compare a document with a published version, or the settings of two nodes"
}

// Usage implements subcommands.Command.
func (*diffCmd) Usage() string {
	return `diff [-version N] FILE
diff -settings [-node ADDR] NODE1 NODE2
  Prints the changes that the document would make to a version, by service and
  class. If the store holds no version, every class is printed as added.

  With -settings, prints the settings that differ between two nodes, which are
  given by name or id. Those that identify an instance are marked "(instance)".
  The exit status is 1 if others differ.

  Example:
    tanagerchute diff mesh.jsonc
    tanagerchute diff -settings -node 127.0.0.1:9101 vik-budir-1 selfoss-budir-1

`
}

// SetFlags implements subcommands.Command.
func (d *diffCmd) SetFlags(f *flag.FlagSet) {
	d.storeFlags.register(f)
	d.nodeFlags.register(f)
	f.BoolVar(&d.settings, "settings", false, "compare the settings of two nodes")
	f.Uint64Var(&d.version, "version", 0, "`number` of the version (default: the newest)")
	f.BoolVar(&d.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (d *diffCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if d.settings {
		return d.diffSettings(ctx, f)
	}
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

// diffSettings prints the settings that differ between the two nodes named in the
// arguments.
func (d *diffCmd) diffSettings(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	if f.NArg() != 2 {
		return exitUsage("diff -settings takes two arguments: the nodes")
	}
	ctx, cancel := withQueryTimeout(ctx)
	defer cancel()
	st, err := d.adminClient().StatusWithSettings(ctx, admin.ScopeFleet)
	if err != nil {
		return exitFailure(err)
	}
	var compared [2]drift.Settings
	for i, name := range f.Args() {
		if compared[i], err = settingsOf(st, name); err != nil {
			return exitFailure(err)
		}
	}
	changes := drift.Diff(compared[0], compared[1])
	if d.json {
		printJSON(changes)
	} else {
		printSettingsChanges(changes)
	}
	if compared[0].Digest() != compared[1].Digest() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// settingsOf returns the settings of a node in a status. If several processes have
// the name, it is the last of them by id.
func settingsOf(st admin.Status, name string) (drift.Settings, error) {
	found := false
	var out drift.Settings
	for _, n := range st.Nodes {
		if n.Name == name || n.ID == name {
			found, out = true, drift.NewSettings(n.Settings.Values)
		}
	}
	if !found {
		return out, errors.Errorf("no node that answered has the name or id %q", name)
	}
	return out, nil
}

func printSettingsChanges(changes []drift.Change) {
	for _, c := range changes {
		note := ""
		if c.Instance {
			note = " (instance)"
		}
		fmt.Printf("%s: %q -> %q%s\n", c.Key, c.Old, c.New, note)
	}
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
