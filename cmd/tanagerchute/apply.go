package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/user"
	"regexp"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"tanagerchute"
	"tanagerchute/core/config"
	"tanagerchute/core/dedup"
	"tanagerchute/core/merge"
	"tanagerchute/io/ledger"
)

// applyCmd publishes a document as the next version.
type applyCmd struct {
	storeFlags
	nodeFlags
	parent  int64
	rebase  bool
	wait    bool
	author  string
	timeout time.Duration
}

// Name implements subcommands.Command.
func (*applyCmd) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*applyCmd) Synopsis() string { return "publish a document as the next version" }

// Usage implements subcommands.Command.
func (*applyCmd) Usage() string {
	return `apply [-parent N] [-rebase] [-wait] FILE
  Validates a document and publishes it as the next version. If the document is
  not valid, nothing is written. Keys of client accounts are written as digests.

  The parent version, on which the document is based, comes from -parent or from
  the first line that get writes. If newer versions were published since then,
  nothing is written, and their changes are printed. With -rebase, the document's
  changes are applied on top of them, provided that they changed other services.

  With -wait, the command returns when the version is in force at all nodes, and
  prints a line for each data centre.

  Example:
    tanagerchute get -deployment nordurljos > mesh.jsonc
    tanagerchute apply -wait -node 127.0.0.1:9101 mesh.jsonc

`
}

// SetFlags implements subcommands.Command.
func (a *applyCmd) SetFlags(f *flag.FlagSet) {
	a.storeFlags.register(f)
	a.nodeFlags.register(f)
	f.Int64Var(&a.parent, "parent", -1, "`number` of the version that the document is based on, 0 for none")
	f.BoolVar(&a.rebase, "rebase", false, "apply the changes on top of newer versions, if those changed other services")
	f.BoolVar(&a.wait, "wait", false, "wait until the version is in force at all nodes")
	f.StringVar(&a.author, "author", defaultAuthor(), "`name` of the author in the history")
	f.DurationVar(&a.timeout, "timeout", 30*time.Second, "time limit of the whole command")
}

func defaultAuthor() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// versionLineRE matches the line that versionLine returns.
var versionLineRE = regexp.MustCompile(`^// tanagerchute version ([0-9]+)\n`)

// versionLine returns the first line of get's output. It records the number of
// the version, from which apply takes the parent.
func versionLine(number uint64) string { return fmt.Sprintf("// tanagerchute version %d\n", number) }

// Execute implements subcommands.Command.
func (a *applyCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	file, err := oneArg(f, "the document")
	if err != nil {
		return exitUsage("apply %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	if err := a.apply(ctx, file); err != nil {
		return exitFailure(err)
	}
	return subcommands.ExitSuccess
}

func (a *applyCmd) apply(ctx context.Context, file string) error {
	data, doc, err := readDocument(file)
	if err != nil {
		return err
	}
	if m := versionLineRE.FindSubmatch(data); m != nil {
		if a.parent < 0 {
			a.parent, _ = strconv.ParseInt(string(m[1]), 10, 64) // digits only
		}
		data = data[len(m[0]):]
	}
	if data, err = config.HideKeys(data); err != nil {
		return err
	}
	l, err := a.openLedger(doc.Deployment)
	if err != nil {
		return err
	}
	number, err := a.publish(ctx, l, file, data)
	if err != nil {
		return err
	}
	if a.wait {
		return a.awaitInForce(ctx, number)
	}
	return nil
}

// publish writes data as the next version and returns its number. It tries again
// if another version is published at the same time. All tries use one
// operation id, by which the version can be found in the history.
func (a *applyCmd) publish(ctx context.Context, l *ledger.Ledger, file string, data []byte) (uint64, error) {
	op := dedup.NewID()
	for {
		head, err := l.Head(ctx, noLookup)
		if err != nil {
			return 0, errors.Wrap(err, "nothing was written: the store can't be read")
		}
		content, err := a.contentAfter(ctx, l, head, file, data)
		if err != nil {
			return 0, err
		}
		if head.Version.Number > 0 && bytes.Equal(content, head.Version.Content) {
			fmt.Printf("version %d has this content already, nothing to do\n", head.Version.Number)
			return head.Version.Number, nil
		}
		v, err := l.Publish(ctx, ledger.Draft{Parent: head, Op: op, Author: a.author, At: time.Now().UTC(), Content: content})
		var conflict *ledger.Conflict
		switch {
		case err == nil:
			fmt.Printf("version %d accepted\n", v.Number)
			return v.Number, nil
		case errors.As(err, &conflict):
			continue // compare with the version that was published first
		case errors.Is(err, ledger.ErrParentLost):
			return 0, errors.Wrap(err, "the version was written, but nodes may refuse it: apply the document again")
		}
		return 0, errors.Wrapf(err, "it is not known whether the version was accepted; look for operation %s in history", op)
	}
}

// contentAfter returns the content to publish as the version after head. That is
// data itself if its parent is head, or if head is empty and no parent is named.
// Otherwise it is data rebased onto head, or an error if -rebase is not set.
func (a *applyCmd) contentAfter(ctx context.Context, l *ledger.Ledger, head tanagerchute.Head, file string, data []byte) ([]byte, error) {
	number := head.Version.Number
	if int64(number) == a.parent || number == 0 && a.parent < 0 {
		return data, nil
	}
	if a.parent < 0 {
		return nil, errors.Errorf("nothing was written: version %d is in force; use -parent %d to replace it with %s", number, number, file)
	}
	if uint64(a.parent) > number {
		return nil, errors.Errorf("nothing was written: version %d does not exist, the newest is %d", a.parent, number)
	}
	base, err := l.Get(ctx, uint64(a.parent))
	if err != nil {
		return nil, errors.Wrap(err, "nothing was written")
	}
	if err := printChangesSince(base.Content, head); err != nil {
		return nil, err
	}
	if !a.rebase {
		return nil, errors.Errorf("nothing was written: version %d by %s came after version %d; the changes since then are listed above; use -rebase to keep them, or -parent %d to replace them",
			number, head.Version.Author, a.parent, number)
	}
	merged, err := merge.Rebase(base.Content, head.Version.Content, data)
	if err != nil {
		return nil, errors.Wrap(err, "nothing was written: can't rebase")
	}
	if _, err := config.Parse(file+" rebased", merged); err != nil {
		return nil, errors.Wrap(err, "nothing was written: the rebased document is not valid")
	}
	return merged, nil
}

// printChangesSince prints the differences between base and head to standard error.
func printChangesSince(base []byte, head tanagerchute.Head) error {
	old, err := config.Parse("base", base)
	if err != nil {
		return err
	}
	newest, err := config.Parse("newest version", head.Version.Content)
	if err != nil {
		return err
	}
	for _, c := range merge.Diff(old, newest) {
		fmt.Fprintf(os.Stderr, "changed by %s: %s\n", head.Version.Author, c)
	}
	return nil
}
