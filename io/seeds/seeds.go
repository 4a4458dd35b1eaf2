// Package seeds keeps a few addresses for each data centre in the store, by
// which starting nodes and other data centres find it.
//
// The nodes of the first ranks write a record each, under a lease. So the
// writes grow with the data centres and not with the fleet. The first of them
// also reads all records, finds nodes of its own data centre that it does not
// know, and sweeps old claims.
//
// # Usage
//
//	s := seeds.New(seeds.Config{Store: store, Deployment: d, Fleet: fleet, …})
//	addrs, err := s.List(ctx)
//	go s.Run(ctx)
package seeds

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/io/fleet"
	"tanagerchute/io/ledger"
)

// Times of the duty.
const (
	recordTTL  = 15 * time.Second
	renewEvery = 5 * time.Second
	listEvery  = 3 * time.Second
	// aloneEvery is the pause between readings of a node that knows no other.
	isolatedListEvery = 500 * time.Millisecond
	sweepEvery        = 6 * time.Hour
)

// perCentre is the number of seeds of a data centre, also where a region
// keeps one table.
const seedsPerDataCentre = 3

// Config configures Seeds.
type Config struct {
	Store      tanagerchute.Store
	Deployment string
	Fleet      *fleet.Fleet
	Claims     *ledger.Claims
	// Found is told the addresses by data centre after each reading.
	OnSeeds func(map[string][]string)
}

// Seeds is the duty.
type Registry struct {
	cfg       Config
	closeCtx  context.Context // ended by Close, and with it what is under way
	cancel    context.CancelFunc
	mu        sync.Mutex // guards the fields below
	lease     int64
	lastRenew time.Time
	lastList  time.Time
	lastSweep time.Time
}

// record is the stored form of a seed.
type record struct {
	Addr string `json:"addr"`
}

// New returns the duty.
func New(cfg Config) *Registry {
	ctx, cancel := context.WithCancel(context.Background())
	return &Registry{cfg: cfg, closeCtx: ctx, cancel: cancel, lastSweep: time.Now()}
}

func (s *Registry) prefix() string { return ledger.Prefix(s.cfg.Deployment) + "seeds/" }

// List reads the addresses of all seeds by data centre.
func (s *Registry) List(ctx context.Context) (map[string][]string, error) {
	kvs, _, err := s.cfg.Store.List(ctx, s.prefix(), tanagerchute.Stale)
	if err != nil {
		return nil, err
	}
	out := map[string][]string{}
	for _, kv := range kvs {
		centre, _, ok := strings.Cut(strings.TrimPrefix(kv.Key, s.prefix()), "/")
		var r record
		if !ok || json.Unmarshal(kv.Value, &r) != nil || r.Addr == "" {
			continue // not ours
		}
		out[centre] = append(out[centre], r.Addr)
	}
	return out, nil
}

// Run keeps this node's record while it is one of the seeds, until ctx ends.
func (s *Registry) Run(ctx context.Context) {
	t := time.NewTicker(isolatedListEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.closeCtx.Done():
			return
		case now := <-t.C:
			s.runDue(ctx, now)
		}
	}
}

// step does what is due. What fails is due again at the next step: the
// addresses known from before serve until then.
func (s *Registry) runDue(ctx context.Context, now time.Time) {
	ctx, unlock := s.lock(ctx)
	defer unlock()
	rank := s.cfg.Fleet.View().RankInDataCentre("reader", seedsPerDataCentre)
	if rank < 0 {
		s.unregister(ctx)
		return
	}
	if now.Sub(s.lastRenew) >= renewEvery && s.renew(ctx) == nil {
		s.lastRenew = now
	}
	if rank != 0 {
		return
	}
	if now.Sub(s.lastList) >= s.listInterval() && s.joinUnknown(ctx) == nil {
		s.lastList = now
	}
	if now.Sub(s.lastSweep) >= sweepEvery {
		if _, err := s.cfg.Claims.Sweep(ctx, now); err == nil {
			s.lastSweep = now
		}
	}
}

// begin takes the lock for calls to the store, whose context ends with Close as
// well, so that Close never waits for them. done gives the lock back.
func (s *Registry) lock(ctx context.Context) (_ context.Context, unlock func()) {
	s.mu.Lock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.closeCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
		s.mu.Unlock()
	}
}

// pace returns the time between two readings.
func (s *Registry) listInterval() time.Duration {
	if len(s.cfg.Fleet.View().ActiveIDs()) <= 1 {
		return isolatedListEvery
	}
	return listEvery
}

// Introduce writes this node's record at once, so that nodes that start at the
// same time find each other. It is called before Run.
func (s *Registry) Register(ctx context.Context) {
	ctx, unlock := s.lock(ctx)
	defer unlock()
	if s.renew(ctx) == nil {
		s.lastRenew = time.Now()
	}
}

// drop removes the record of a node that is no seed any more.
func (s *Registry) unregister(ctx context.Context) {
	if s.lease == 0 {
		return
	}
	if err := s.cfg.Store.Revoke(ctx, s.lease); err == nil || errors.Is(err, tanagerchute.ErrLeaseExpired) {
		s.lease = 0
		s.lastRenew = time.Time{}
	}
}

// renew keeps the lease alive. A lease that has lapsed, as while this process
// was paused, is replaced together with its record.
func (s *Registry) renew(ctx context.Context) error {
	if s.lease != 0 {
		err := s.cfg.Store.KeepAlive(ctx, s.lease)
		if !errors.Is(err, tanagerchute.ErrLeaseExpired) {
			return err
		}
		s.lease = 0
	}
	lease, err := s.cfg.Store.Grant(ctx, recordTTL)
	if err != nil {
		return err
	}
	self := s.cfg.Fleet.View().Self
	value, err := json.Marshal(record{Addr: self.Addr})
	if err != nil {
		return err
	}
	put := tanagerchute.Put{Key: s.prefix() + self.Group() + "/" + self.ID, Value: value, Lease: lease}
	if _, err := s.cfg.Store.Commit(ctx, tanagerchute.Txn{Puts: []tanagerchute.Put{put}}); err != nil {
		return err
	}
	s.lease = lease
	return nil
}

// refresh reads all seeds and joins those of the own data centre that are not
// known, so that two groups that started apart find each other.
func (s *Registry) joinUnknown(ctx context.Context) error {
	seeds, err := s.List(ctx)
	if err != nil {
		return err
	}
	s.cfg.OnSeeds(seeds)
	view := s.cfg.Fleet.View()
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
	s.cfg.Fleet.Join(ctx, unknown)
	return nil
}

// Close ends Run and removes this node's record. What waits for the store is
// given up: the record lapses by itself if it can't be removed.
func (s *Registry) Close(ctx context.Context) {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unregister(ctx)
}
