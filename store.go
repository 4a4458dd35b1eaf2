package tanagerchute

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a Store.
var (
	// ErrUnavailable means that the store did not take the call.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that a write was sent and its answer was lost:
	// it may have taken effect.
	ErrOutcomeUnknown = errors.New("store answer lost, outcome unknown")
	// ErrThrottled means that the store refused the call for its rate.
	ErrThrottled = errors.New("store rate limit reached")
	// ErrCompacted means that a watch asked for a revision that is gone.
	ErrCompacted = errors.New("store revision compacted")
	// ErrLeaseGone means that a lease has lapsed.
	ErrLeaseGone = errors.New("store lease lapsed")
)

// CallError returns the error of a call to a store over the network that failed
// with err: ErrUnavailable if it never left, else ErrOutcomeUnknown.
func CallError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrOutcomeUnknown, err.Error())
}

// ReadError returns the error of a call that changes nothing, of which err says
// how it failed: that its answer was lost matters to nobody.
func ReadError(err error) error {
	if errors.Is(err, ErrOutcomeUnknown) {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return err
}

// KV is a key with its value at a revision.
type KV struct {
	Key            string
	Value          []byte
	ModRevision    int64 // revision of the last change, 0 if the key does not exist
	CreateRevision int64
	Lease          int64
}

// Put is one write of a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease int64 // 0 for none
}

// Cond is a condition of a transaction: the key was last changed at
// ModRevision, or does not exist if that is 0.
type Cond struct {
	Key         string
	ModRevision int64
}

// Txn is a set of writes that take effect together if all conditions hold.
type Txn struct {
	Conds   []Cond
	Puts    []Put
	Deletes []string
}

// Event is a change that a watch reports.
type Event struct {
	KV      KV
	Deleted bool
}

// Consistency says how fresh a read has to be.
type Consistency int

// Consistencies.
const (
	Latest Consistency = iota // it sees every change that was acknowledged before
	Stale                     // it may be seconds old, and costs the store less
)

// Store is the platform's key-value service. All methods are safe for
// concurrent use and return one of the errors above, wrapped.
type Store interface {
	// Get returns the value of a key. A key that does not exist has
	// ModRevision 0. revision is that of the whole store.
	Get(ctx context.Context, key string) (kv KV, revision int64, err error)
	// List returns all keys with a prefix, sorted.
	List(ctx context.Context, prefix string, c Consistency) (kvs []KV, revision int64, err error)
	// Commit carries out a transaction and reports whether its conditions held.
	Commit(ctx context.Context, t Txn) (ok bool, err error)
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease int64) error
	// Watch calls f for each change of key from revision on, in order, until
	// ctx ends or the connection fails. ready is called once the watch stands.
	Watch(ctx context.Context, key string, revision int64, ready func(), f func(Event)) error
}

// Layout says who observes whom among a set of members.
type Layout interface {
	Observers(subject string) []string
	Subjects(observer string) []string
}
