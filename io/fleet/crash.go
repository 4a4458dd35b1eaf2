package fleet

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerchute/core/crash"
	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// crashSyncInterval is the shortest time between two exchanges of tables that a node
// starts because its table of crashes differs from that of another one.
const crashSyncInterval = time.Second

// Crashes is what the nodes know together of the works under which backend servers ended,
// see package crash. Its methods are safe for concurrent use and do not block.
type Crashes struct {
	fleet    *Fleet
	groups   []string // all data centres or regions of the deployment
	empty    atomic.Bool
	mu       sync.RWMutex // guards the fields below
	table    *crash.Table
	held     map[crash.Work]time.Time    // until when works are held back, as journaled
	outbox   map[crash.Work]crash.Record // changed records that have not been sent
	lastSync time.Time                   // start of the last exchange due to a different digest
	changed  chan struct{}               // receives a value when outbox is not empty

	recentMu sync.Mutex // guards recent, may be locked while mu is
	recent   *crash.Recent
}

func newCrashes(f *Fleet, groups []string) *Crashes {
	c := &Crashes{fleet: f, groups: groups, table: crash.NewTable(), held: map[crash.Work]time.Time{}, outbox: map[crash.Work]crash.Record{}, changed: make(chan struct{}, 1), recent: crash.NewRecent(time.Now())}
	c.empty.Store(true)
	return c
}

// Crashes returns what is known of the works under which backend servers ended.
func (f *Fleet) Crashes() *Crashes { return f.crashes }

// RecordEnd records the end of this node's backend server with the given name.
func (c *Crashes) RecordEnd(server string, end crash.End) {
	now := time.Now()
	id := crash.NewEndID(end.At, xxhash.Sum64String(c.fleet.cfg.Self.ID+"/"+server))
	c.update(func(t *crash.Table) []crash.Record { return t.AddEnd(now, id, end) })
}

// RecordCompleted records that a backend server has completed a work. An end that is found
// later may have been before that, so it is remembered for a while.
func (c *Crashes) RecordCompleted(w crash.Work) {
	now := time.Now()
	c.recentMu.Lock()
	c.recent.Add(now, w)
	c.recentMu.Unlock()
	if c.empty.Load() || !c.judge(now, w).Suspect {
		return
	}
	c.update(func(t *crash.Table) []crash.Record { return t.Complete(now, w) })
}

// completedSince clears the ends in the changed records after which this node's backend
// server has completed the works. It returns the records as they are then. The caller holds
// mu.
func (c *Crashes) completedSince(changed []crash.Record) []crash.Record {
	c.recentMu.Lock()
	defer c.recentMu.Unlock()
	for i, r := range changed {
		at, ok := c.recent.CompletedAt(r.Work)
		if !ok {
			continue
		}
		if cleared := c.table.Complete(at, r.Work); len(cleared) > 0 {
			changed[i] = cleared[0]
		}
	}
	return changed
}

// trialElsewhere is the time after which the caller of a held call should come back if
// nodes of another data centre run its trials.
const trialElsewhere = 10 * time.Second

// Judge tells what may be done with a call to a service that asks for a work.
func (c *Crashes) Judge(w crash.Work, service string) crash.Judgement {
	if w == 0 || c.empty.Load() {
		return crash.Judgement{}
	}
	j := c.judge(time.Now(), w)
	if !j.TrialDue {
		return j
	}
	if j.TrialNode = c.trialNode(w, service); j.TrialNode == "" {
		j.Held, j.TrialDue, j.RetryAfter = true, false, trialElsewhere
	}
	return j
}

func (c *Crashes) judge(now time.Time, w crash.Work) crash.Judgement {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.table.Judge(now, w)
}

// trialNode returns the node whose backend server runs the trials of a work, empty if it
// is in another data centre.
func (c *Crashes) trialNode(w crash.Work, service string) string {
	if crash.TrialGroup(w, c.groups) != c.fleet.cfg.Self.Group() {
		return ""
	}
	var ids []string
	for _, m := range c.fleet.View().Members {
		if m.Service == service && (m.State == member.Alive || m.State == member.Suspect) {
			ids = append(ids, m.ID)
		}
	}
	return crash.TrialNode(w, ids)
}

// BeginTrial reports whether a held work may run now at this node's backend server as a
// trial, see crash.Table.BeginTrial.
func (c *Crashes) BeginTrial(w crash.Work) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.BeginTrial(time.Now(), w)
}

// Digest returns the digest of the table, see crash.Table.Digest.
func (c *Crashes) Digest() uint64 {
	if c.empty.Load() {
		return 0
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.table.Digest()
}

// Encode returns the whole table for another node, nil if it is empty.
func (c *Crashes) Encode() []*wire.Crash {
	if c.empty.Load() {
		return nil
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	return peer.ToCrashes(c.table.Records(), time.Now())
}

// Merge adds what another node knows, and forwards what is new to the neighbours of this
// one.
func (c *Crashes) Merge(ws []*wire.Crash) {
	if len(ws) == 0 {
		return
	}
	now := time.Now()
	records := peer.FromCrashes(ws, now)
	c.update(func(t *crash.Table) []crash.Record { return t.Merge(now, records) })
}

// update changes the table with f, which returns the changed records, and has them sent
// to the neighbours of this node.
func (c *Crashes) update(f func(*crash.Table) []crash.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.completedSince(f(c.table))
	c.empty.Store(c.table.Len() == 0)
	for _, r := range changed {
		c.outbox[r.Work] = r
	}
	if len(changed) == 0 {
		return
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// tick forgets what is old, and journals which works are held back. It runs on the
// goroutine of Fleet.Run.
func (c *Crashes) tick(now time.Time) {
	if c.empty.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Expire(now)
	c.empty.Store(c.table.Len() == 0)
	for _, r := range c.table.Records() {
		c.recordHold(now, r)
	}
	for w := range c.held {
		if _, known := c.table.Known(w); !known {
			delete(c.held, w)
			c.fleet.recordEvent(now, event.RequestReleased, w.String(), "no backend server has ended while it ran for long")
		}
	}
}

// recordHold journals that a work is held back, for longer, or no longer. The caller
// holds mu.
func (c *Crashes) recordHold(now time.Time, r crash.Record) {
	until, before := r.HeldUntil(), c.held[r.Work]
	switch {
	case until.After(before) && c.table.Judge(now, r.Work).Held:
		c.held[r.Work] = until
		c.fleet.recordEvent(now, event.RequestHeld, r.Work.String(), fmt.Sprintf("%d backend servers ended while it ran, next trial in %v", r.Active(), until.Sub(now).Round(time.Second)))
	case until.IsZero() && !before.IsZero():
		delete(c.held, r.Work)
		c.fleet.recordEvent(now, event.RequestReleased, r.Work.String(), "a backend server has completed it")
	}
}

// send sends the changed records to the neighbours of this node. It runs on the goroutine
// of Fleet.Run.
func (c *Crashes) send(ctx context.Context) {
	c.mu.Lock()
	records := make([]crash.Record, 0, len(c.outbox))
	for _, r := range c.outbox {
		records = append(records, r)
	}
	clear(c.outbox)
	c.mu.Unlock()
	if len(records) == 0 {
		return
	}
	req := &wire.GossipRequest{From: c.fleet.cfg.Self.ID, Crashes: peer.ToCrashes(records, time.Now())}
	c.fleet.broadcast(ctx, c.fleet.table.Neighbours(), req, nil)
}

// compareDigest exchanges tables with the node at addr if its digest differs from that of
// this node, because a message was lost or is on its way.
func (c *Crashes) compareDigest(ctx context.Context, addr string, digest uint64) {
	if digest == c.Digest() {
		return
	}
	now := time.Now()
	c.mu.Lock()
	due := now.Sub(c.lastSync) >= crashSyncInterval
	if due {
		c.lastSync = now
	}
	c.mu.Unlock()
	if due {
		_ = c.fleet.syncWith(ctx, addr) // the next reply to a probe repeats it
	}
}
