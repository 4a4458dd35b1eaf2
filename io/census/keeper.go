package census

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"tanagerchute"
	"tanagerchute/core/census"
	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/core/owner"
	"tanagerchute/io/timer"
)

const (
	callTimeout = 400 * time.Millisecond // of a call to the store
	// A read of a starting node that failed is made again after firstPause, and then after pauses
	// that double up to lastPause.
	firstPause = 100 * time.Millisecond
	lastPause  = time.Second
	// learnTimeout is how long a started node goes on to ask a store that does not answer. A
	// backend server that lives has sent heartbeats by then.
	learnTimeout = 15 * time.Second
	checkEvery   = 500 * time.Millisecond // interval of the checks for changes
	// rankTime is how long a node must have ranked first before it writes. Ranks change quickly
	// while the nodes of a data centre start together.
	rankTime = 2 * time.Second
	// settleTime is the time from a change to the write, in which more changes may come.
	settleTime = 500 * time.Millisecond
	writeEvery = 5 * time.Second // shortest time between two writes, failed ones included
)

// Config configures a Keeper.
type Config struct {
	Store  tanagerchute.Store // nil for none
	Prefix string             // of the keys of all records, ends with a slash
	Self   member.Record      // of this node, as it was at its start
	// FirstStart means that the whole deployment starts for the first time, so that there is
	// nothing to learn.
	FirstStart bool
	Journal    *event.Journal
	// Members returns the records of the member table, IsWriter whether this node ranks first
	// among those of its data centre.
	Members  func() []member.Record
	IsWriter func() bool
	// OnLearned is called once with the claim of an earlier process, zero if the store has
	// none or did not answer.
	OnLearned func(owner.Claim)
	// Wanted reports whether it is still useful to know the claim of an earlier process.
	Wanted func() bool
}

// Keeper reads and writes the census as one node. It is safe for concurrent use.
type Keeper struct {
	cfg Config

	mu      sync.Mutex
	pending bool // the claim of an earlier process is not known yet

	// The fields below belong to the goroutine of Run.
	rankedAt  time.Time       // since when this node ranks first, zero if it does not
	stored    census.Snapshot // as it was read or written last
	isCurrent bool            // stored was read since this node has become the writer
	changedAt time.Time       // when a change was found that is not written, zero if there is none
	triedAt   time.Time       // of the last call as the writer
}

// record is the stored form of a snapshot.
type record struct {
	DataCentre string          `json:"data_centre"`
	Region     string          `json:"region,omitempty"`
	Nodes      census.Snapshot `json:"nodes"`
}

// New returns the keeper of a node that starts now.
func New(cfg Config) *Keeper { return &Keeper{cfg: cfg, pending: cfg.Store != nil && !cfg.FirstStart} }

// key returns the key of the record of this node's data centre.
func (k *Keeper) key() string { return k.cfg.Prefix + k.cfg.Self.DataCentre }

// Pending reports whether the claim of an earlier process may still become known.
func (k *Keeper) Pending() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pending
}

// Run learns what an earlier process has heard, and then writes the record while this node ranks
// first, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	if k.cfg.Store == nil {
		return
	}
	k.learn(ctx)
	for timer.Sleep(ctx, checkEvery) {
		k.check(ctx, time.Now())
	}
}

// learn reads the record until the store answers, nobody wants it any more, or learnTimeout is
// over.
func (k *Keeper) learn(ctx context.Context) {
	if !k.Pending() {
		return
	}
	giveUpAt := time.Now().Add(learnTimeout)
	var claim owner.Claim
	timer.Retry(ctx, firstPause, lastPause, func() bool {
		rs, err := k.read(ctx, k.key(), tanagerchute.Stale)
		if err == nil {
			claim = k.ownRecord(rs).Owner(k.cfg.Self.Addr, k.cfg.Self.Service)
			return true
		}
		if time.Now().Before(giveUpAt) && k.cfg.Wanted() {
			return false
		}
		k.recordEvent(event.OwnerUnknown, k.key(), "the store does not answer: "+err.Error())
		return true
	})
	if ctx.Err() != nil {
		return
	}
	k.mu.Lock()
	k.pending = false
	k.mu.Unlock()
	if claim.Known() {
		k.recordEvent(event.OwnerLearned, claim.ID, fmt.Sprintf("start time %d, foreign %v, first heard %v ago",
			claim.StartMs, claim.Foreign, time.Since(time.UnixMilli(claim.HeardMs)).Round(time.Millisecond)))
	}
	k.cfg.OnLearned(claim)
}

// ownRecord returns the nodes of this node's data centre.
func (k *Keeper) ownRecord(rs []record) census.Snapshot {
	for _, r := range rs {
		if r.DataCentre == k.cfg.Self.DataCentre {
			return r.Nodes
		}
	}
	return nil
}

// read returns the records whose keys have the given prefix. One of another writer is left out.
func (k *Keeper) read(ctx context.Context, prefix string, c tanagerchute.Consistency) ([]record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kvs, _, err := k.cfg.Store.List(ctx, prefix, c)
	if err != nil {
		return nil, err
	}
	var out []record
	for _, kv := range kvs {
		var r record
		if json.Unmarshal(kv.Value, &r) == nil && kv.Key == k.cfg.Prefix+r.DataCentre {
			out = append(out, r)
		}
	}
	return out, nil
}

// check writes the record if this node is the writer and it has changed. A node that has just become
// the writer reads it first, since the one before it may know nodes that this one has not met.
func (k *Keeper) check(ctx context.Context, now time.Time) {
	switch {
	case !k.cfg.IsWriter():
		k.rankedAt, k.isCurrent = time.Time{}, false
		return
	case k.rankedAt.IsZero():
		k.rankedAt = now
	}
	if now.Sub(k.rankedAt) < rankTime {
		return
	}
	if !k.isCurrent {
		if now.Sub(k.triedAt) < settleTime {
			return
		}
		k.triedAt = now
		rs, err := k.read(ctx, k.key(), tanagerchute.Latest)
		if err != nil {
			return
		}
		k.stored, k.isCurrent, k.triedAt = k.ownRecord(rs), true, time.Time{}
	}
	next := k.stored.WithMembers(k.members())
	switch {
	case next.Equal(k.stored):
		k.changedAt = time.Time{}
	case k.changedAt.IsZero():
		k.changedAt = now
	case now.Sub(k.changedAt) >= settleTime && now.Sub(k.triedAt) >= writeEvery:
		k.triedAt = now
		k.write(ctx, next)
	}
}

// members returns the records of the members of this node's data centre.
func (k *Keeper) members() []member.Record {
	var out []member.Record
	for _, r := range k.cfg.Members() {
		if r.DataCentre == k.cfg.Self.DataCentre {
			out = append(out, r)
		}
	}
	return out
}

// write writes a snapshot. A write without an answer is made again: it has the same effect.
func (k *Keeper) write(ctx context.Context, next census.Snapshot) {
	value, err := json.Marshal(record{k.cfg.Self.DataCentre, k.cfg.Self.Region, next})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ok, err := k.cfg.Store.Commit(ctx, tanagerchute.Txn{Puts: []tanagerchute.Put{{Key: k.key(), Value: value}}})
	if !ok || err != nil {
		return
	}
	k.recordEvent(event.CensusSaved, k.key(), fmt.Sprintf("%d nodes, %d before", len(next), len(k.stored)))
	k.stored, k.changedAt = next, time.Time{}
}

// Read returns a record of each node that may run, as a member of which nothing else is known.
func (k *Keeper) Read(ctx context.Context) ([]member.Record, error) {
	rs, err := k.read(ctx, k.cfg.Prefix, tanagerchute.Latest)
	if err != nil {
		return nil, err
	}
	var out []member.Record
	for _, r := range rs {
		for _, n := range r.Nodes {
			out = append(out, member.Record{ID: "expected@" + n.Addr, Addr: n.Addr, DataCentre: r.DataCentre, Region: r.Region})
		}
	}
	return out, nil
}

func (k *Keeper) recordEvent(kind event.Kind, subject, cause string) {
	k.cfg.Journal.Add(event.Event{At: time.Now(), Kind: kind, Subject: subject, Cause: cause})
}
