package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"tanagerchute/core/vers"
)

// historyCmd lists versions.
type historyCmd struct {
	storeFlags
	limit int
	json  bool
}

// Name implements subcommands.Command.
func (*historyCmd) Name() string { return "history" }

// Synopsis implements subcommands.Command.
func (*historyCmd) Synopsis() string { return "list versions, newest first" }

// Usage implements subcommands.Command.
func (*historyCmd) Usage() string {
	return `history -deployment NAME [-limit N]
  Lists versions with their author, time, digest and operation id.

  Example:
    tanagerchute history -deployment nordurljos -limit 5

`
}

// SetFlags implements subcommands.Command.
func (h *historyCmd) SetFlags(f *flag.FlagSet) {
	h.storeFlags.register(f)
	f.IntVar(&h.limit, "limit", 20, "maximum number of versions to list")
	f.BoolVar(&h.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (h *historyCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return exitUsage("history takes no arguments")
	}
	l, err := h.openLedger("")
	if err != nil {
		return exitUsage("history: %v", err)
	}
	ctx, cancel := withQueryTimeout(ctx)
	defer cancel()
	list, err := l.History(ctx, 0, h.limit)
	if err != nil {
		return exitFailure(err)
	}
	for i := range list {
		list[i] = list[i].WithoutContent()
	}
	if h.json {
		return printJSON(list)
	}
	printHistory(list)
	return subcommands.ExitSuccess
}

func printHistory(list []vers.Version) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "VERSION\tTIME\tAUTHOR\tDIGEST\tOPERATION")
	for _, v := range list {
		fmt.Fprintf(w, "%d\t%s\t%s\t%.12s\t%s\n", v.Number, v.At.UTC().Format(time.RFC3339), v.Author, v.Digest, v.Op)
	}
}
