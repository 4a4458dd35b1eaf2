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

// applyCmd publishes a document.
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
  Checks a document and publishes it as the next version. A document that is
  not valid writes nothing.

  The version that the document was written against comes from -parent, or from
  the first line that get has written. If another version was published since,
  nothing is written, and what the other operator changed is shown; -rebase
  applies the change on top of it if the two touch different services.

  With -wait the command returns when the version is in force everywhere, and
  says so for each data centre.

  Example:
    tanagerchute get -deployment nordurljos > mesh.jsonc
    tanagerchute apply -wait -node 127.0.0.1:9101 mesh.jsonc

`
}

// SetFlags implements subcommands.Command.
func (a *applyCmd) SetFlags(f *flag.FlagSet) {
	a.storeFlags.set(f)
	a.nodeFlags.set(f)
	f.Int64Var(&a.parent, "parent", -1, "`number` of the version that the document was written against, 0 for none")
	f.BoolVar(&a.rebase, "rebase", false, "apply on top of versions published since, if they touch other services")
	f.BoolVar(&a.wait, "wait", false, "wait until the version is in force everywhere")
	f.StringVar(&a.author, "author", defaultAuthor(), "`name` that the history gives to the version")
	f.DurationVar(&a.timeout, "timeout", 30*time.Second, "how long to try")
}

func defaultAuthor() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// headerRE is the line by which get marks the version of a document.
var headerRE = regexp.MustCompile(`^// tanagerchute version ([0-9]+)\n`)

// header returns the line by which get marks the version of a document.
func header(number uint64) string { return fmt.Sprintf("// tanagerchute version %d\n", number) }

// Execute implements subcommands.Command.
func (a *applyCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	file, err := oneArg(f, "the document")
	if err != nil {
		return misused("apply %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	if err := a.apply(ctx, file); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (a *applyCmd) apply(ctx context.Context, file string) error {
	data, doc, err := readDocument(file)
	if err != nil {
		return err
	}
	if m := headerRE.FindSubmatch(data); m != nil {
		if a.parent < 0 {
			a.parent, _ = strconv.ParseInt(string(m[1]), 10, 64) // digits only
		}
		data = data[len(m[0]):]
	}
	l, err := a.ledger(doc.Deployment)
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

// publish writes data as the next version and returns its number.
func (a *applyCmd) publish(ctx context.Context, l *ledger.Ledger, file string, data []byte) (uint64, error) {
	op := dedup.NewID()
	for {
		head, err := l.Head(ctx, noBase)
		if err != nil {
			return 0, errors.Wrap(err, "nothing was written: the store can't be read")
		}
		content, err := a.onTopOf(ctx, l, head, file, data)
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
			continue // look at what came in between
		}
		return 0, errors.Wrapf(err, "it is not known whether the version was accepted; look for operation %s in history", op)
	}
}

// onTopOf returns the content to publish after head: data itself if it was
// written against head, or data rebased.
func (a *applyCmd) onTopOf(ctx context.Context, l *ledger.Ledger, head tanagerchute.Head, file string, data []byte) ([]byte, error) {
	number := head.Version.Number
	if int64(number) == a.parent || number == 0 && a.parent < 0 {
		return data, nil
	}
	if a.parent < 0 {
		return nil, errors.Errorf("nothing was written: version %d is in force, say with -parent %d that %s replaces it", number, number, file)
	}
	if uint64(a.parent) > number {
		return nil, errors.Errorf("nothing was written: version %d does not exist, the newest is %d", a.parent, number)
	}
	base, err := l.Get(ctx, uint64(a.parent))
	if err != nil {
		return nil, errors.Wrap(err, "nothing was written")
	}
	if err := showChanges(base.Content, head); err != nil {
		return nil, err
	}
	if !a.rebase {
		return nil, errors.Errorf("nothing was written: version %d by %s came after version %d; look at the changes above and use -rebase, or -parent %d to replace them",
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

// showChanges prints what others changed since base.
func showChanges(base []byte, head tanagerchute.Head) error {
	old, err := config.Parse("base", base)
	if err != nil {
		return err
	}
	now, err := config.Parse("newest version", head.Version.Content)
	if err != nil {
		return err
	}
	for _, c := range merge.Diff(old, now) {
		fmt.Fprintf(os.Stderr, "changed by %s: %s\n", head.Version.Author, c)
	}
	return nil
}
