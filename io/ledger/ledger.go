package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/vers"
	"tanagerchute/io/timer"
)

// keepVersions is the number of versions kept in the store. At 1500 changes a
// day it is a day and a half of history.
const keepVersions = 2000

// retryDelay is the pause between tries to settle a lost answer.
const retryDelay = 200 * time.Millisecond

// Config configures a Ledger.
type Config struct {
	Store      tanagerchute.Store
	Deployment string
}

// Ledger reads and writes the history of one deployment.
type Ledger struct {
	cfg Config
}

// New returns a ledger.
func New(cfg Config) *Ledger { return &Ledger{cfg: cfg} }

// Prefix returns the prefix of all keys of a deployment.
func Prefix(deployment string) string { return "/tanagerchute/" + deployment + "/" }

// HeadKey returns the key of the newest version.
func (l *Ledger) HeadKey() string { return Prefix(l.cfg.Deployment) + "head" }

func (l *Ledger) versionKey(n uint64) string {
	return fmt.Sprintf("%sversion/%012d", Prefix(l.cfg.Deployment), n)
}

// Head reads the newest version whole.
func (l *Ledger) Head(ctx context.Context, known tanagerchute.VersionLookup) (tanagerchute.Head, error) {
	kv, rev, err := l.cfg.Store.Get(ctx, l.HeadKey())
	if err != nil {
		return tanagerchute.Head{}, err
	}
	h := tanagerchute.Head{ModRevision: kv.ModRevision, Revision: rev}
	if kv.ModRevision == 0 {
		return h, nil
	}
	h.Version, err = l.whole(ctx, kv.Value, known)
	return h, err
}

// whole decodes a head record, reading the version's own key if the base of
// the delta is not known.
func (l *Ledger) whole(ctx context.Context, value []byte, known tanagerchute.VersionLookup) (vers.Version, error) {
	r, err := decodeRecord(value)
	if err != nil {
		return vers.Version{}, err
	}
	v, err := r.version(known)
	if errors.Is(err, errNoBase) {
		return l.Get(ctx, r.Number)
	}
	return v, err
}

// ErrNoVersion means that a version is not in the store.
var ErrVersionNotFound = errors.New("version does not exist")

// Get reads version n.
func (l *Ledger) Get(ctx context.Context, n uint64) (vers.Version, error) {
	kv, _, err := l.cfg.Store.Get(ctx, l.versionKey(n))
	if err != nil {
		return vers.Version{}, err
	}
	if kv.ModRevision == 0 {
		return vers.Version{}, errors.Wrapf(ErrVersionNotFound, "version %d", n)
	}
	r, err := decodeRecord(kv.Value)
	if err != nil {
		return vers.Version{}, err
	}
	return r.version(func(string) (vers.Version, bool) { return vers.Version{}, false })
}

// History returns up to limit versions, newest first, ending with number from,
// or with the newest if from is 0.
func (l *Ledger) History(ctx context.Context, from uint64, limit int) ([]vers.Version, error) {
	if from == 0 {
		h, err := l.Head(ctx, unknown)
		if err != nil {
			return nil, err
		}
		from = h.Version.Number
	}
	var out []vers.Version
	for n := from; n > 0 && len(out) < limit; n-- {
		v, err := l.Get(ctx, n)
		if errors.Is(err, ErrVersionNotFound) {
			return out, nil // older ones have been dropped
		}
		if err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	return out, nil
}

func unknown(string) (vers.Version, bool) { return vers.Version{}, false }

// Draft is a version to be published.
type Draft struct {
	Parent  tanagerchute.Head // what it was written against
	Op      string
	Author  string
	At      time.Time
	Content []byte
}

// Conflict means that another version was published in between.
type Conflict struct {
	Head tanagerchute.Head // the newest version now
}

// Error returns a message that names the version in the way.
func (c *Conflict) Error() string {
	v := c.Head.Version
	return fmt.Sprintf("version %d by %s was applied in between", v.Number, v.Author)
}

// Publish writes a draft as the next version. It returns a *Conflict if
// another version came in between, and an error that wraps
// tanagerchute.ErrOutcomeUnknown if the store can't be asked before ctx ends.
func (l *Ledger) Publish(ctx context.Context, d Draft) (vers.Version, error) {
	v := vers.New(d.Parent.Version, d.Op, d.Author, d.At, d.Content)
	txn, err := l.txn(v, d.Parent)
	if err != nil {
		return vers.Version{}, err
	}
	for sent := false; ; {
		ok, err := l.cfg.Store.Commit(ctx, txn)
		switch {
		case err == nil && ok:
			return v, nil
		case err == nil:
			return l.settle(ctx, d)
		case errors.Is(err, tanagerchute.ErrOutcomeUnknown):
			sent = true
		case !errors.Is(err, tanagerchute.ErrUnavailable) && !errors.Is(err, tanagerchute.ErrThrottled):
			return vers.Version{}, err
		}
		// The same transaction may be sent again: if the first one took effect,
		// the condition on head fails, and settle finds our operation.
		if !timer.Sleep(ctx, retryDelay) {
			if sent {
				return vers.Version{}, errors.Wrapf(tanagerchute.ErrOutcomeUnknown, "operation %s", d.Op)
			}
			return vers.Version{}, err
		}
	}
}

func (l *Ledger) txn(v vers.Version, parent tanagerchute.Head) (tanagerchute.Txn, error) {
	head, err := encode(v, parent.Version)
	if err != nil {
		return tanagerchute.Txn{}, err
	}
	whole, err := encode(v, vers.Version{})
	if err != nil {
		return tanagerchute.Txn{}, err
	}
	t := tanagerchute.Txn{
		Conds: []tanagerchute.Cond{{Key: l.HeadKey(), ModRevision: parent.ModRevision}},
		Puts:  []tanagerchute.Put{{Key: l.HeadKey(), Value: head}, {Key: l.versionKey(v.Number), Value: whole}},
	}
	if v.Number > keepVersions {
		t.Deletes = []string{l.versionKey(v.Number - keepVersions)}
	}
	return t, nil
}

// settle finds out whether our operation is among the versions that came after
// its parent.
func (l *Ledger) settle(ctx context.Context, d Draft) (vers.Version, error) {
	for {
		v, err := l.find(ctx, d)
		var c *Conflict
		if err == nil || errors.As(err, &c) {
			return v, err
		}
		if !timer.Sleep(ctx, retryDelay) {
			return vers.Version{}, errors.Wrapf(tanagerchute.ErrOutcomeUnknown, "operation %s: %v", d.Op, err)
		}
	}
}

func (l *Ledger) find(ctx context.Context, d Draft) (vers.Version, error) {
	head, err := l.Head(ctx, unknown)
	if err != nil {
		return vers.Version{}, err
	}
	for n := head.Version.Number; n > d.Parent.Version.Number; n-- {
		v, err := l.Get(ctx, n)
		if err != nil && !errors.Is(err, ErrVersionNotFound) {
			return vers.Version{}, err
		}
		if v.Op == d.Op {
			return v, nil
		}
	}
	return vers.Version{}, &Conflict{Head: head}
}

// Restore writes back a version that was in force when the store has lost it.
// It does nothing if the store has changed since head was read.
func (l *Ledger) Restore(ctx context.Context, v vers.Version, head tanagerchute.Head) (bool, error) {
	txn, err := l.txn(v, tanagerchute.Head{ModRevision: head.ModRevision})
	if err != nil {
		return false, err
	}
	return l.cfg.Store.Commit(ctx, txn)
}

// Watch calls f with each new version from the given store revision on. It
// returns when ctx ends or the store fails.
func (l *Ledger) Watch(ctx context.Context, known tanagerchute.VersionLookup, revision int64, ready func(), f func(vers.Version, error)) error {
	return l.cfg.Store.Watch(ctx, l.HeadKey(), revision, ready, func(e tanagerchute.Event) {
		if e.Deleted {
			f(vers.Version{}, errors.New("the key head was deleted"))
			return
		}
		f(l.whole(ctx, e.KV.Value, known))
	})
}
