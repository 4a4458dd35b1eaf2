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

// maxVersions is the number of versions kept in the store. At 1500 changes a day
// this is about 1.3 days of history.
const maxVersions = 2000

// retryDelay is the pause before a failed call to the store is repeated.
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

// New returns a Ledger.
func New(cfg Config) *Ledger { return &Ledger{cfg: cfg} }

// Prefix returns the prefix of all keys of a deployment.
func Prefix(deployment string) string { return "/tanagerchute/" + deployment + "/" }

// HeadKey returns the key of the newest version.
func (l *Ledger) HeadKey() string { return Prefix(l.cfg.Deployment) + "head" }

func (l *Ledger) versionKey(n uint64) string {
	return fmt.Sprintf("%sversion/%012d", Prefix(l.cfg.Deployment), n)
}

// Head implements tanagerchute.Source.
func (l *Ledger) Head(ctx context.Context, lookup tanagerchute.VersionLookup) (tanagerchute.Head, error) {
	kv, rev, err := l.cfg.Store.Get(ctx, l.HeadKey())
	if err != nil {
		return tanagerchute.Head{}, err
	}
	h := tanagerchute.Head{ModRevision: kv.ModRevision, Revision: rev}
	if kv.ModRevision == 0 {
		return h, nil
	}
	h.Version, err = l.decodeHead(ctx, kv.Value, lookup)
	return h, err
}

// Unchanged implements tanagerchute.Source.
func (l *Ledger) Unchanged(ctx context.Context, head tanagerchute.Head) (tanagerchute.Head, bool, error) {
	same, rev, err := l.cfg.Store.Unchanged(ctx, l.HeadKey(), head.ModRevision, head.Revision)
	return head.WithRevision(rev), same, err
}

// decodeHead decodes the value of the key head. If lookup does not find the base of
// the delta, it reads the full version from its own key.
func (l *Ledger) decodeHead(ctx context.Context, value []byte, lookup tanagerchute.VersionLookup) (vers.Version, error) {
	r, err := decodeRecord(value)
	if err != nil {
		return vers.Version{}, err
	}
	v, err := r.decodeVersion(lookup)
	if errors.Is(err, errUnknownBase) {
		return l.Get(ctx, r.Number)
	}
	return v, err
}

// ErrVersionNotFound means that a version is not in the store.
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
	return r.decodeVersion(func(string) (vers.Version, bool) { return vers.Version{}, false })
}

// History returns up to limit versions, newest first, starting with number from, or
// with the newest version if from is 0.
func (l *Ledger) History(ctx context.Context, from uint64, limit int) ([]vers.Version, error) {
	if from == 0 {
		h, err := l.Head(ctx, noLookup)
		if err != nil {
			return nil, err
		}
		from = h.Version.Number
	}
	var out []vers.Version
	for n := from; n > 0 && len(out) < limit; n-- {
		v, err := l.Get(ctx, n)
		if errors.Is(err, ErrVersionNotFound) {
			return out, nil // earlier versions have been deleted
		}
		if err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	return out, nil
}

// noLookup is a VersionLookup that finds no version.
func noLookup(string) (vers.Version, bool) { return vers.Version{}, false }

// Draft is a version to publish.
type Draft struct {
	Parent  tanagerchute.Head // the version that it changes
	Op      string            // unique id of the operation that writes it
	Author  string
	At      time.Time
	Content []byte
}

// Conflict is the error for a draft whose parent is no longer the newest version.
type Conflict struct {
	Head tanagerchute.Head // the newest version
}

// Error implements error.
func (c *Conflict) Error() string {
	v := c.Head.Version
	return fmt.Sprintf("version %d by %s was published in the meantime", v.Number, v.Author)
}

// ErrParentLost means that a version was written after another one than its parent,
// since the store restarted from an older copy meanwhile. Nodes may refuse it.
var ErrParentLost = errors.New("the store has lost the version that this one follows")

// Publish writes a draft as the next version. It returns a *Conflict if another
// version has been published since the parent was read, or the store has lost the
// parent. It returns ErrParentLost if it noticed that too late. It returns an error that
// wraps tanagerchute.ErrOutcomeUnknown if ctx ends before the store shows whether a
// write took effect.
func (l *Ledger) Publish(ctx context.Context, d Draft) (vers.Version, error) {
	v := vers.New(d.Parent.Version, d.Op, d.Author, d.At, d.Content)
	txn, err := l.buildTxn(v, d.Parent)
	if err != nil {
		return vers.Version{}, err
	}
	for maybeWritten := false; ; {
		ok, err := l.cfg.Store.Commit(ctx, txn)
		switch {
		case err == nil && ok:
			return v, nil
		case err == nil, errors.Is(err, tanagerchute.ErrEraChanged):
			return l.resolveOutcome(ctx, d)
		case errors.Is(err, tanagerchute.ErrOutcomeUnknown):
			maybeWritten = true
		case !errors.Is(err, tanagerchute.ErrUnavailable) && !errors.Is(err, tanagerchute.ErrThrottled):
			return vers.Version{}, err
		}
		// The transaction can be sent again safely: if it has taken effect, the
		// condition on head fails now, and resolveOutcome finds its operation.
		if !timer.Sleep(ctx, retryDelay) {
			if maybeWritten {
				return vers.Version{}, errors.Wrapf(tanagerchute.ErrOutcomeUnknown, "operation %s", d.Op)
			}
			return vers.Version{}, err
		}
	}
}

// buildTxn returns the transaction that writes v as the version after parent and
// deletes the version that exceeds maxVersions.
func (l *Ledger) buildTxn(v vers.Version, parent tanagerchute.Head) (tanagerchute.Txn, error) {
	head, err := encodeRecord(v, parent.Version)
	if err != nil {
		return tanagerchute.Txn{}, err
	}
	full, err := encodeRecord(v, vers.Version{})
	if err != nil {
		return tanagerchute.Txn{}, err
	}
	t := tanagerchute.Txn{
		Era:   parent.Revision.Era,
		Conds: []tanagerchute.Cond{{Key: l.HeadKey(), ModRevision: parent.ModRevision}},
		Puts:  []tanagerchute.Put{{Key: l.HeadKey(), Value: head}, {Key: l.versionKey(v.Number), Value: full}},
	}
	if v.Number > maxVersions {
		t.Deletes = []string{l.versionKey(v.Number - maxVersions)}
	}
	return t, nil
}

// resolveOutcome finds out whether the operation of d took effect. It calls
// findOperation until the store can be read or ctx ends.
func (l *Ledger) resolveOutcome(ctx context.Context, d Draft) (vers.Version, error) {
	for {
		v, err := l.findOperation(ctx, d)
		var c *Conflict
		if err == nil || errors.As(err, &c) || errors.Is(err, ErrParentLost) {
			return v, err
		}
		if !timer.Sleep(ctx, retryDelay) {
			return vers.Version{}, errors.Wrapf(tanagerchute.ErrOutcomeUnknown, "operation %s: %v", d.Op, err)
		}
	}
}

// findOperation returns the version that the operation of d wrote, or a *Conflict if
// none of the versions after its parent is from that operation.
func (l *Ledger) findOperation(ctx context.Context, d Draft) (vers.Version, error) {
	head, err := l.Head(ctx, noLookup)
	if err != nil {
		return vers.Version{}, err
	}
	for n := head.Version.Number; n > d.Parent.Version.Number; n-- {
		v, err := l.Get(ctx, n)
		if err != nil && !errors.Is(err, ErrVersionNotFound) {
			return vers.Version{}, err
		}
		if v.Op == d.Op {
			return v, l.checkParent(ctx, v)
		}
	}
	return vers.Version{}, &Conflict{Head: head}
}

// checkParent returns ErrParentLost if the version before v is not its parent. The
// oldest version in the store has none.
func (l *Ledger) checkParent(ctx context.Context, v vers.Version) error {
	parent, err := l.Get(ctx, v.Number-1)
	switch {
	case errors.Is(err, ErrVersionNotFound):
		return nil
	case err != nil:
		return err
	case parent.Digest != v.Parent:
		return errors.Wrapf(ErrParentLost, "version %d", v.Number)
	}
	return nil
}

// Restore implements tanagerchute.Source.
func (l *Ledger) Restore(ctx context.Context, v vers.Version, head tanagerchute.Head) (bool, error) {
	txn, err := l.buildTxn(v, tanagerchute.Head{ModRevision: head.ModRevision, Revision: head.Revision})
	if err != nil {
		return false, err
	}
	return l.cfg.Store.Commit(ctx, txn)
}

// Watch implements tanagerchute.Source.
func (l *Ledger) Watch(ctx context.Context, lookup tanagerchute.VersionLookup, revision tanagerchute.Revision, ready func(), f func(vers.Version, error)) error {
	return l.cfg.Store.Watch(ctx, l.HeadKey(), revision, ready, func(e tanagerchute.Event) {
		if e.Deleted {
			f(vers.Version{}, errors.New("key head was deleted"))
			return
		}
		f(l.decodeHead(ctx, e.KV.Value, lookup))
	})
}
