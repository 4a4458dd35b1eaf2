// Package seeds registers the addresses of a few nodes of each data centre, the
// seeds, in the store. Starting nodes and other data centres use them to find a
// data centre.
//
// The seeds of a data centre are the nodes that rank first there, see package
// rank. Each of them writes one record, attached to a lease. The number of writes
// therefore grows with the number of data centres and not with the number of
// nodes. A node that no longer ranks lets its lease expire.
//
// The first of the seeds also reads all records, joins the nodes of its membership
// group that it does not know, and removes old claims of idempotency keys, see
// ledger.Claims. A membership group is a region, or a data centre if the deployment
// has no regions.
//
// # Usage
//
//	r := seeds.New(seeds.Config{Store: store, Deployment: d, Fleet: fleet, …})
//	addrs, err := r.List(ctx)
//	go r.Run(ctx)
package seeds

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/io/fleet"
	"tanagerchute/io/ledger"
)

// Intervals and times to live.
const (
	recordTTL  = 15 * time.Second
	renewEvery = 5 * time.Second
	// soleContactRenewEvery replaces renewEvery at a seed that does not watch the
	// store, or has lost it. The renewals are then its only calls, and show it when
	// the store has restarted from an older copy.
	soleContactRenewEvery = 900 * time.Millisecond
	listEvery             = 3 * time.Second
	// standbyListEvery replaces listEvery while a seed of another data centre of
	// the region reads the seeds.
	standbyListEvery = 15 * time.Second
	// isolatedListEvery replaces listEvery while the node knows no other active
	// node. It is also the tick of Run.
	isolatedListEvery = 500 * time.Millisecond
	sweepEvery        = 6 * time.Hour
	// settleTime is how long a node must have ranked as a seed before it writes its
	// record. Ranks change quickly while the nodes of a group start together.
	settleTime = 2 * time.Second
)

// seedsPerDataCentre is the number of seeds of a data centre. In a deployment
// with regions it applies to each data centre of a region.
const seedsPerDataCentre = 3

// Config configures a Registry.
type Config struct {
	Store      tanagerchute.Store
	Deployment string
	Fleet      *fleet.Fleet
	Claims     *ledger.Claims
	// Watching reports whether this node watches the store, so that it learns soon
	// that the store has restarted.
	Watching func() bool
	// OnSeeds is called with the addresses of all seeds, by the name of their
	// group, after each periodic read.
	OnSeeds func(map[string][]string)
}

// Registry maintains the record of this node and reads those of the others.
type Registry struct {
	cfg       Config
	closeCtx  context.Context // canceled by Close, which also cancels store calls in flight
	cancel    context.CancelFunc
	mu        sync.Mutex         // guards the fields below
	lease     tanagerchute.Lease // zero if this node has no record
	lastRenew time.Time
	lastList  time.Time
	lastSweep time.Time
	// rankedSince is when this node began to rank as a seed, zero if it does not.
	rankedSince time.Time
}

// record is the stored value of a seed.
type record struct {
	Addr string `json:"addr"`
}

// New returns a Registry that has not written a record yet.
func New(cfg Config) *Registry {
	closeCtx, cancel := context.WithCancel(context.Background())
	return &Registry{cfg: cfg, closeCtx: closeCtx, cancel: cancel, lastSweep: time.Now()}
}

func (r *Registry) prefix() string { return ledger.Prefix(r.cfg.Deployment) + "seeds/" }

// List reads the addresses of all seeds, by the name of their group.
func (r *Registry) List(ctx context.Context) (map[string][]string, error) {
	kvs, _, err := r.cfg.Store.List(ctx, r.prefix(), tanagerchute.Stale)
	if err != nil {
		return nil, err
	}
	out := map[string][]string{}
	for _, kv := range kvs {
		group, _, ok := strings.Cut(strings.TrimPrefix(kv.Key, r.prefix()), "/")
		var rec record
		if !ok || json.Unmarshal(kv.Value, &rec) != nil || rec.Addr == "" {
			continue // not a seed record
		}
		out[group] = append(out[group], rec.Addr)
	}
	return out, nil
}

// Run maintains this node's record while it is a seed, until ctx ends or Close
// is called.
func (r *Registry) Run(ctx context.Context) {
	t := time.NewTicker(isolatedListEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.closeCtx.Done():
			return
		case now := <-t.C:
			r.runDue(ctx, now)
		}
	}
}

// runDue runs the tasks that are due. A task that fails is retried at the next
// tick. Until then the addresses that are already known remain in use.
func (r *Registry) runDue(ctx context.Context, now time.Time) {
	ctx, unlock := r.lock(ctx)
	defer unlock()
	rank := r.cfg.Fleet.View().ReaderRank(seedsPerDataCentre)
	if rank < 0 {
		r.rankedSince = time.Time{}
		return // until its lease expires, the record names a node that is up
	}
	if r.rankedSince.IsZero() {
		r.rankedSince = now
	}
	if now.Sub(r.rankedSince) < settleTime {
		return
	}
	if now.Sub(r.lastRenew) >= r.renewInterval() && r.renew(ctx) == nil {
		r.lastRenew = now
	}
	if rank != 0 {
		return
	}
	if now.Sub(r.lastList) >= r.listInterval() && r.joinUnknown(ctx) == nil {
		r.lastList = now
	}
	if now.Sub(r.lastSweep) >= sweepEvery {
		if _, err := r.cfg.Claims.Sweep(ctx, now); err == nil {
			r.lastSweep = now
		}
	}
}

// lock acquires the mutex for calls to the store. The returned context is also
// canceled by Close, so that Close does not wait for a slow store. unlock
// releases the mutex and the context.
func (r *Registry) lock(ctx context.Context) (_ context.Context, unlock func()) {
	r.mu.Lock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.closeCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
		r.mu.Unlock()
	}
}

// renewInterval returns the time between two renewals of the record of a seed.
func (r *Registry) renewInterval() time.Duration {
	if r.cfg.Watching() {
		return renewEvery
	}
	return soleContactRenewEvery
}

// listInterval returns the time between two reads of all seeds.
func (r *Registry) listInterval() time.Duration {
	view := r.cfg.Fleet.View()
	switch {
	case len(view.ActiveIDs()) <= 1:
		return isolatedListEvery
	case view.GroupReaderRank(1) != 0:
		return standbyListEvery
	}
	return listEvery
}

// Register writes this node's record immediately, whether or not it is a seed,
// so that nodes that start at the same time find each other. It is called
// before Run.
func (r *Registry) Register(ctx context.Context) {
	ctx, unlock := r.lock(ctx)
	defer unlock()
	if r.renew(ctx) == nil {
		r.lastRenew = time.Now()
	}
}

// WriteAgain writes this node's record with a new lease if the store has lost the one
// that it was attached to. It describes what it wrote, and returns an empty string if
// this node has no record or is not a seed any more.
func (r *Registry) WriteAgain(ctx context.Context) (string, error) {
	ctx, unlock := r.lock(ctx)
	defer unlock()
	if r.lease == (tanagerchute.Lease{}) || r.closeCtx.Err() != nil || r.cfg.Fleet.View().ReaderRank(seedsPerDataCentre) < 0 {
		return "", nil
	}
	if r.lease.Era == r.cfg.Store.Eras().Current {
		return fmt.Sprintf("seed record (lease %d)", r.lease.ID), nil // by a renewal
	}
	lost := r.lease
	if err := r.renew(ctx); err != nil {
		r.lease = lost
		return "", err
	}
	r.lastRenew = time.Now()
	return fmt.Sprintf("seed record (lease %d after %d)", r.lease.ID, lost.ID), nil
}

// unregister removes this node's record, if there is one, by revoking its
// lease.
func (r *Registry) unregister(ctx context.Context) {
	if r.lease == (tanagerchute.Lease{}) {
		return
	}
	// A renewal shows whether the store still has the lease. If not, it may have given
	// the id to that of another node.
	err := r.cfg.Store.KeepAlive(ctx, r.lease)
	if err == nil {
		err = r.cfg.Store.Revoke(ctx, r.lease)
	}
	if err == nil || errors.Is(err, tanagerchute.ErrLeaseExpired) {
		r.lease = tanagerchute.Lease{}
		r.lastRenew = time.Time{}
	}
}

// renew renews the lease. If there is none, or it has expired, for example while
// this process was paused, renew grants a new one and writes the record again.
func (r *Registry) renew(ctx context.Context) error {
	if r.lease != (tanagerchute.Lease{}) {
		err := r.cfg.Store.KeepAlive(ctx, r.lease)
		if !errors.Is(err, tanagerchute.ErrLeaseExpired) {
			return err
		}
		r.lease = tanagerchute.Lease{}
	}
	lease, err := r.cfg.Store.Grant(ctx, recordTTL)
	if err != nil {
		return err
	}
	self := r.cfg.Fleet.View().Self
	value, err := json.Marshal(record{Addr: self.Addr})
	if err != nil {
		return err
	}
	put := tanagerchute.Put{Key: r.prefix() + self.Group() + "/" + self.ID, Value: value, Lease: lease}
	if _, err := r.cfg.Store.Commit(ctx, tanagerchute.Txn{Puts: []tanagerchute.Put{put}}); err != nil {
		return err
	}
	r.lease = lease
	return nil
}

// joinUnknown reads all seeds, passes them to OnSeeds, and joins those of this
// node's group that it does not know. This merges two parts of a group that
// started separately.
func (r *Registry) joinUnknown(ctx context.Context) error {
	seeds, err := r.List(ctx)
	if err != nil {
		return err
	}
	r.cfg.OnSeeds(seeds)
	view := r.cfg.Fleet.View()
	var unknown []string
	for _, addr := range seeds[view.Self.Group()] {
		known := slices.ContainsFunc(view.UpIDs(), func(id string) bool {
			m, _ := view.Get(id)
			return m.Addr == addr
		})
		if !known {
			unknown = append(unknown, addr)
		}
	}
	r.cfg.Fleet.Join(ctx, unknown)
	return nil
}

// Close stops Run, cancels store calls in flight, and removes this node's
// record. A record that can't be removed is deleted by the store when its lease
// expires.
func (r *Registry) Close(ctx context.Context) {
	r.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unregister(ctx)
}
