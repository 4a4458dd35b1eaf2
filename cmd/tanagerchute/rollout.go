package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"tanagerchute"
	"tanagerchute/core/canary"
	"tanagerchute/io/ledger"
)

// rolloutCmd orders roll-outs and shows what became of them.
type rolloutCmd struct {
	storeFlags
	within time.Duration
}

// Name implements subcommands.Command.
func (*rolloutCmd) Name() string { return "rollout" }

// Synopsis implements subcommands.Command.
func (*rolloutCmd) Synopsis() string { return "move a service to another version of its servers" }

// Usage implements subcommands.Command.
func (*rolloutCmd) Usage() string {
	return `rollout -deployment NAME [-within TIME] order SERVICE VERSION
rollout -deployment NAME withdraw SERVICE
rollout -deployment NAME status [SERVICE]
rollout -deployment NAME watch SERVICE
  Orders that the calls to a service are moved to the servers of a version, which
  have been started beside the old ones, or shows how far that is. The nodes move
  the calls, or go back if the version is bad. explain SERVICE shows each step.

  Example:
    tanagerchute rollout -deployment nordurljos -within 60s order skraning v2
    tanagerchute rollout -deployment nordurljos watch skraning

`
}

// SetFlags implements subcommands.Command.
func (r *rolloutCmd) SetFlags(f *flag.FlagSet) {
	r.storeFlags.register(f)
	f.DurationVar(&r.within, "within", time.Minute, "`time` by which all calls are to be moved")
}

// Execute implements subcommands.Command.
func (r *rolloutCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if r.deployment == "" {
		return exitUsage("rollout: no deployment is named, use -deployment")
	}
	k := rolloutKeys{store: r.openStore(), format: ledger.RolloutFormat{Deployment: r.deployment}}
	var err error
	switch args := f.Args(); {
	case len(args) == 3 && args[0] == "order":
		err = k.order(ctx, canary.Request{Service: args[1], Target: args[2], Within: r.within})
	case len(args) == 2 && args[0] == "withdraw":
		err = k.withdraw(ctx, args[1])
	case len(args) == 1 && args[0] == "status":
		err = k.status(ctx, "")
	case len(args) == 2 && args[0] == "status":
		err = k.status(ctx, args[1])
	case len(args) == 2 && args[0] == "watch":
		err = k.watch(ctx, args[1])
	default:
		return exitUsage("rollout takes order SERVICE VERSION, withdraw SERVICE, status [SERVICE] or watch SERVICE")
	}
	if err != nil {
		return exitFailure(err)
	}
	return subcommands.ExitSuccess
}

// rolloutKeys reads and writes the keys of roll-outs in the store.
type rolloutKeys struct {
	store  tanagerchute.Store
	format ledger.RolloutFormat
}

// order writes an order.
func (k rolloutKeys) order(ctx context.Context, r canary.Request) error {
	ctx, cancel := withQueryTimeout(ctx)
	defer cancel()
	key, value, err := k.format.FormatOrder(r)
	if err != nil {
		return err
	}
	if _, err := k.store.Commit(ctx, tanagerchute.Txn{Puts: []tanagerchute.Put{{Key: key, Value: value}}}); err != nil {
		return err
	}
	fmt.Printf("ordered service=%s version=%s within=%v\n", r.Service, r.Target, r.Within)
	return nil
}

// withdraw deletes the order for a service.
func (k rolloutKeys) withdraw(ctx context.Context, service string) error {
	ctx, cancel := withQueryTimeout(ctx)
	defer cancel()
	_, err := k.store.Commit(ctx, tanagerchute.Txn{Deletes: []string{k.format.OrderPrefix() + service}})
	if err == nil {
		fmt.Printf("withdrawn service=%s\n", service)
	}
	return err
}

// status prints the status of the roll-out of a service, or of all services if it is empty.
func (k rolloutKeys) status(ctx context.Context, service string) error {
	ctx, cancel := withQueryTimeout(ctx)
	defer cancel()
	kvs, _, err := k.store.List(ctx, k.format.StatusPrefix()+service, tanagerchute.Latest)
	if err != nil {
		return err
	}
	found := false
	for _, kv := range kvs {
		if service != "" && kv.Key != k.format.StatusPrefix()+service {
			continue
		}
		found = true
		if _, err := printRollout(kv.Value); err != nil {
			return err
		}
	}
	if !found {
		return errors.New("there was no roll-out")
	}
	return nil
}

// watch prints the status of the roll-out of a service at each change, until it has ended.
func (k rolloutKeys) watch(ctx context.Context, service string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	key := k.format.StatusPrefix() + service
	kv, rev, err := k.store.Get(ctx, key)
	if err != nil {
		return err
	}
	if kv.ModRevision > 0 {
		if ended, err := printRollout(kv.Value); ended || err != nil {
			return err
		}
	}
	var printErr error
	err = k.store.Watch(ctx, key, rev.Next(), func() {}, func(e tanagerchute.Event) {
		if e.Deleted {
			return
		}
		ended, err := printRollout(e.KV.Value)
		if ended || err != nil {
			printErr = err
			cancel()
		}
	})
	if ctx.Err() != nil {
		return printErr
	}
	return err
}

// printRollout prints a status and reports whether the roll-out has ended.
func printRollout(value []byte) (ended bool, err error) {
	var s ledger.RolloutStatus
	if err := json.Unmarshal(value, &s); err != nil {
		return false, errors.Wrap(err, "decode status")
	}
	fmt.Printf("service=%s version=%s state=%s reason=%q\n", s.Service, s.Target, s.State, s.Reason)
	return s.State == canary.Complete.String() || s.State == canary.RolledBack.String(), nil
}
