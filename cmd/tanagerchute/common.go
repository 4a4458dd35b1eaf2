package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"tanagerchute"
	"tanagerchute/core/config"
	"tanagerchute/core/vers"
	"tanagerchute/io/etcd"
	"tanagerchute/io/ledger"
)

// queryTimeout bounds a command that queries the store or a node.
const queryTimeout = 10 * time.Second

// exitFailure prints an error to standard error and returns exit status 1.
func exitFailure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

// exitUsage prints a usage error to standard error and returns exit status 2.
func exitUsage(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	return subcommands.ExitUsageError
}

// storeFlags holds the flags of commands that access the store.
type storeFlags struct {
	store      string
	deployment string
}

// register registers the flags with f.
func (s *storeFlags) register(f *flag.FlagSet) {
	f.StringVar(&s.store, "store", "http://127.0.0.1:2379", "`URLs` of the platform's key-value service, separated by commas")
	f.StringVar(&s.deployment, "deployment", "", "`name` of the deployment (default: the one named in the document)")
}

// openLedger returns the ledger of a deployment, the published versions of its
// document in the store. The flag -deployment takes precedence over the argument.
func (s *storeFlags) openLedger(deployment string) (*ledger.Ledger, error) {
	if s.deployment != "" {
		deployment = s.deployment
	}
	if deployment == "" {
		return nil, errors.New("no deployment is named, use -deployment")
	}
	return ledger.New(ledger.Config{Store: s.openStore(), Deployment: deployment}), nil
}

// openStore returns the store.
func (s *storeFlags) openStore() tanagerchute.Store {
	return etcd.New(etcd.Config{Endpoints: strings.Split(s.store, ",")})
}

// noLookup is a VersionLookup that finds no version. It makes the ledger read the
// whole document, since a command holds no earlier version to apply a delta to.
func noLookup(string) (vers.Version, bool) { return vers.Version{}, false }

// readDocument reads and validates a document.
func readDocument(file string) ([]byte, *config.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	doc, err := config.Parse(file, data)
	return data, doc, err
}

// printJSON prints v to standard output as indented JSON.
func printJSON(v any) subcommands.ExitStatus {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return exitFailure(err)
	}
	return subcommands.ExitSuccess
}

// oneArg returns the only argument of a command. If there is not exactly one, the
// error contains what, a description of the argument.
func oneArg(f *flag.FlagSet, what string) (string, error) {
	if f.NArg() != 1 {
		return "", errors.Errorf("takes one argument: %s", what)
	}
	return f.Arg(0), nil
}

// withQueryTimeout returns a context that ends after queryTimeout.
func withQueryTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, queryTimeout)
}
