// Package eramon tells the client of a store in which era its answers were given, and
// refuses what mixes two eras, see package eras.
//
// All calls of a client, on any connection, report the era of their answers to one
// Monitor. When one of them shows that a new era has begun, the Monitor ends the
// contexts of the watches, since the store may have given out their revisions again.
//
// # Usage
//
//	m := eramon.New()
//	ctx, cancel := m.WatchContext(ctx, from.Era)
//	e, err := m.Observe(reply.Header.Values(name), sentAt)
//	if err != nil {
//		return err // a delayed answer of an earlier era
//	}
package eramon

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/eras"
)

// Monitor tracks the era of one store. It is safe for concurrent use.
type Monitor struct {
	mu        sync.Mutex
	tracker   eras.Tracker
	onVerdict func(eras.Verdict)
	watches   map[int]context.CancelCauseFunc
	nextWatch int
}

// New returns a Monitor that knows no era.
func New() *Monitor { return &Monitor{watches: map[int]context.CancelCauseFunc{}} }

// OnVerdict sets the function that is called with each verdict other than eras.Same.
// It must not block. It must be set before the first call to the store.
func (m *Monitor) OnVerdict(f func(eras.Verdict)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onVerdict = f
}

// State returns what is known about the eras.
func (m *Monitor) State() eras.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.State()
}

// Observe handles the values of the header with the era in an answer that has just
// arrived, and returns the era of the answer. It returns an error that wraps
// tanagerchute.ErrOutcomeUnknown if the answer is of an earlier era and must be
// ignored.
func (m *Monitor) Observe(values []string, sentAt time.Time) (eras.Era, error) {
	m.mu.Lock()
	v := m.tracker.Observe(eras.Answer{Values: values, SentAt: sentAt, ReceivedAt: time.Now()})
	if v.Changed() {
		m.endWatches(v)
	}
	report := m.onVerdict
	m.mu.Unlock()
	if report != nil && v.Kind != eras.Same {
		report(v)
	}
	if v.Kind == eras.Outdated {
		return v.Era, errors.Wrap(tanagerchute.ErrOutcomeUnknown, v.Cause)
	}
	return v.Era, nil
}

// endWatches ends the contexts of all watches. It must be called with m.mu held.
func (m *Monitor) endWatches(v eras.Verdict) {
	for _, cancel := range m.watches {
		cancel(errors.Wrap(tanagerchute.ErrEraChanged, v.Cause))
	}
	clear(m.watches)
}

// Revision returns the revision with the given number of the store's answer in era e.
func (m *Monitor) Revision(e eras.Era, number int64) tanagerchute.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.ObserveRevision(e, number)
	return tanagerchute.Revision{Era: e, Number: number}
}

// WatchContext returns a context for a watch from a revision of era from. It ends with
// the cause tanagerchute.ErrEraChanged when another era begins, at once if it has
// begun already.
func (m *Monitor) WatchContext(ctx context.Context, from eras.Era) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if cur := m.tracker.State().Current; eras.Differ(from, cur) {
		cancel(errors.Wrapf(tanagerchute.ErrEraChanged, "revision of era %v, era %v is current", from, cur))
	}
	id := m.nextWatch
	m.nextWatch++
	m.watches[id] = cancel
	return ctx, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.watches, id)
		cancel(nil)
	}
}

// CheckLease returns tanagerchute.ErrLeaseExpired if l was granted in another era than
// the current one: its id may belong to another lease now.
func (m *Monitor) CheckLease(l tanagerchute.Lease) error {
	if cur := m.State().Current; eras.Differ(l.Era, cur) {
		return errors.Wrapf(tanagerchute.ErrLeaseExpired, "granted in era %v, era %v is current", l.Era, cur)
	}
	return nil
}

// CheckTxn returns an error if t must not be sent, since it holds revisions or leases
// of another era than the current one.
func (m *Monitor) CheckTxn(t tanagerchute.Txn) error {
	for _, p := range t.Puts {
		if err := m.CheckLease(p.Lease); err != nil {
			return err
		}
	}
	if cur := m.State().Current; eras.Differ(t.Era, cur) {
		return errors.Wrapf(tanagerchute.ErrEraChanged, "conditions of era %v, era %v is current", t.Era, cur)
	}
	return nil
}

// CheckCommit returns an error that wraps tanagerchute.ErrOutcomeUnknown if t was
// committed in era e, but holds revisions or leases of another era. They may have been
// compared with others that have the same number.
func CheckCommit(t tanagerchute.Txn, e eras.Era) error {
	mixed := eras.Differ(t.Era, e) && hasRevision(t.Conds)
	for _, p := range t.Puts {
		mixed = mixed || eras.Differ(p.Lease.Era, e)
	}
	if mixed {
		return errors.Wrapf(tanagerchute.ErrOutcomeUnknown, "committed in era %v, which began after the transaction was built", e)
	}
	return nil
}

// hasRevision reports whether one of conds names a revision. That a key does not exist
// means the same in each era.
func hasRevision(conds []tanagerchute.Cond) bool {
	for _, c := range conds {
		if c.ModRevision != 0 {
			return true
		}
	}
	return false
}
