package tanagerchute

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/core/eras"
)

// Errors returned by a Store.
var (
	// ErrUnavailable means that the store could not be reached or did not
	// execute the call.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that a write was sent and no answer was received.
	// The write may have taken effect.
	ErrOutcomeUnknown = errors.New("no answer from the store, outcome unknown")
	// ErrThrottled means that the store refused the call because of a rate
	// limit.
	ErrThrottled = errors.New("store rate limit reached")
	// ErrCompacted means that a watch asked for a revision that the store has
	// compacted.
	ErrCompacted = errors.New("store revision compacted")
	// ErrLeaseExpired means that a lease has expired or was revoked, or that the
	// store has lost it.
	ErrLeaseExpired = errors.New("store lease expired")
	// ErrUnreadable means that the store has a record that can't be read as a
	// version. It is wrapped by the methods of a Source.
	ErrUnreadable = errors.New("record is not a version")
	// ErrEraChanged means that the store has restarted from an older copy, so that
	// the revisions of the call mean nothing any more. The call was not executed.
	ErrEraChanged = errors.New("store has restarted from an older copy")
)

// CallError converts the error of a network call to a store. It returns
// ErrUnavailable if no connection was established, so that the call was not
// sent, and ErrOutcomeUnknown otherwise.
func CallError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrOutcomeUnknown, err.Error())
}

// ReadError converts the error of a read-only call. It turns ErrOutcomeUnknown
// into ErrUnavailable, since a read whose answer was lost has had no effect.
func ReadError(err error) error {
	if errors.Is(err, ErrOutcomeUnknown) {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return err
}

// Revision is a revision of the store. Revisions of different eras are not comparable,
// since the store gives out the same numbers again after a restart from an older copy.
type Revision struct {
	Era    eras.Era // unknown if the store names none
	Number int64
}

// Next returns the revision after r.
func (r Revision) Next() Revision {
	r.Number++
	return r
}

// Lease identifies a lease. Its id is only meaningful in its era. The zero Lease means
// no lease.
type Lease struct {
	Era eras.Era // in which it was granted, unknown if the store names none
	ID  int64
}

// KV is a key with its value at a store revision.
type KV struct {
	Key            string
	Value          []byte
	ModRevision    int64 // revision of the last change, 0 if the key does not exist
	CreateRevision int64
	Lease          int64 // id of the lease that the key is attached to, 0 for none
}

// Put is one write of a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease Lease // to attach the key to
}

// Cond is a condition of a transaction: that the key was last changed at
// ModRevision, or that it does not exist if ModRevision is 0.
type Cond struct {
	Key         string
	ModRevision int64
}

// Txn is a transaction. Its writes take effect atomically if all conditions
// hold. Otherwise none of them does.
type Txn struct {
	Era     eras.Era // of the revisions in Conds, unknown if they name none
	Conds   []Cond
	Puts    []Put
	Deletes []string
}

// Event is a change of a key that a watch reports.
type Event struct {
	KV      KV
	Deleted bool
}

// Consistency is the consistency level of a read.
type Consistency int

// Consistency levels.
const (
	Latest Consistency = iota // linearizable: returns every change acknowledged before the read
	Stale                     // may be seconds out of date, and costs the store less
)

// Store is a key-value service with transactions, leases and watches, such as
// etcd. All methods are safe for concurrent use and return one of the errors
// above, wrapped.
type Store interface {
	// Get returns the value of a key. The ModRevision of a key that does not
	// exist is 0. revision is the current revision of the store, and all revisions of
	// kv are of its era.
	Get(ctx context.Context, key string) (kv KV, revision Revision, err error)
	// Unchanged reports whether the last change of a key is still the one at the store
	// revision mod, as it was read at revision since. Like Get, it is linearizable, and
	// now is the current revision of the store, but it transfers the value only if the
	// store can't tell otherwise. It returns ErrEraChanged unless the answer is of the era of since.
	Unchanged(ctx context.Context, key string, mod int64, since Revision) (same bool, now Revision, err error)
	// List returns all keys with the given prefix, sorted by key.
	List(ctx context.Context, prefix string, c Consistency) (kvs []KV, revision Revision, err error)
	// Commit executes a transaction and reports whether its conditions held. It
	// returns ErrEraChanged if they are of another era than the current one.
	Commit(ctx context.Context, t Txn) (ok bool, err error)
	// Grant creates a lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (lease Lease, err error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease Lease) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease Lease) error
	// Watch calls f for each change of key from revision on, in order, until
	// ctx ends or the connection fails. A key that ends with a slash stands for all keys
	// that begin with it. Watch calls ready once the watch is established. It returns
	// ErrEraChanged when any answer of the store shows that its era is not that of
	// revision any more.
	Watch(ctx context.Context, key string, revision Revision, ready func(), f func(Event)) error
	// Eras returns what is known about the eras of the store.
	Eras() eras.State
	// OnEraVerdict sets the function that is called with each verdict about the era
	// of an answer, but for those of the current era. It must not block. It must be
	// set before the first call.
	OnEraVerdict(f func(eras.Verdict))
}

// Layout determines which members of a group monitor the liveness of which
// others.
type Layout interface {
	// Observers returns the members that monitor subject.
	Observers(subject string) []string
	// Subjects returns the members that observer monitors.
	Subjects(observer string) []string
}
