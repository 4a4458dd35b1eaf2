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

	"tanagerchute/core/config"
	"tanagerchute/core/vers"
	"tanagerchute/io/etcd"
	"tanagerchute/io/ledger"
)

// readTimeout bounds a command that reads the store.
const readTimeout = 10 * time.Second

// fail prints an error and returns the exit status of a refusal.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

// misused prints what is wrong with the arguments.
func misused(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	return subcommands.ExitUsageError
}

// storeFlags are the flags of commands that talk to the store.
type storeFlags struct {
	store      string
	deployment string
}

func (s *storeFlags) set(f *flag.FlagSet) {
	f.StringVar(&s.store, "store", "http://127.0.0.1:2379", "`URLs` of the platform's key-value service, separated by commas")
	f.StringVar(&s.deployment, "deployment", "", "`name` of the deployment (default: the one named in the document)")
}

func (s *storeFlags) ledger(deployment string) (*ledger.Ledger, error) {
	if s.deployment != "" {
		deployment = s.deployment
	}
	if deployment == "" {
		return nil, errors.New("say which deployment with -deployment")
	}
	store := etcd.New(etcd.Config{Endpoints: strings.Split(s.store, ",")})
	return ledger.New(ledger.Config{Store: store, Deployment: deployment}), nil
}

// noBase is for readers that hold no earlier version.
func noBase(string) (vers.Version, bool) { return vers.Version{}, false }

// readDocument reads and checks a document.
func readDocument(file string) ([]byte, *config.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	doc, err := config.Parse(file, data)
	return data, doc, err
}

// printJSON prints v for machines.
func printJSON(v any) subcommands.ExitStatus {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// oneArg returns the only argument of a command.
func oneArg(f *flag.FlagSet, what string) (string, error) {
	if f.NArg() != 1 {
		return "", errors.Errorf("wants one argument: %s", what)
	}
	return f.Arg(0), nil
}

// storeTimeout returns a context for a command that reads the store.
func storeTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, readTimeout)
}
