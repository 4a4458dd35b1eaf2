package owners

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"tanagerchute"
	"tanagerchute/core/event"
	"tanagerchute/core/owner"
	"tanagerchute/io/timer"
)

const (
	callTimeout = 400 * time.Millisecond // of a call to the store
	// A call that failed is made again after firstPause, and then after pauses that double up
	// to lastPause.
	firstPause = 100 * time.Millisecond
	lastPause  = 10 * time.Second
	// learnTimeout is how long a started node goes on to ask a store that does not answer. A
	// backend server that lives has sent heartbeats by then.
	learnTimeout = 15 * time.Second
	// firstSaveSpread bounds the random delay of the first write of a node that starts with the
	// whole deployment, so that the writes of a large one stay below the rate limit of the
	// store.
	firstSaveSpread = 5 * time.Second
)

// Config configures a Keeper.
type Config struct {
	Store   tanagerchute.Store // nil for none
	Key     string             // of the record of this instance, without keys below it
	Service string             // of the node
	// FirstStart means that the whole deployment starts for the first time, so that there is
	// no record.
	FirstStart bool
	Journal    *event.Journal
	// OnLearned is called once with the claim of an earlier process, zero if the store has
	// none or did not answer.
	OnLearned func(owner.Claim)
	// Wanted reports whether it is still useful to know the claim of an earlier process.
	Wanted func() bool
}

// Keeper saves and learns the claims of one node. It is safe for concurrent use.
type Keeper struct {
	cfg Config

	mu      sync.Mutex
	claim   owner.Claim // to be saved
	stored  owner.Claim // in the store, zero if nothing or not known
	pending bool        // the claim of an earlier process is not known yet
	changed chan struct{}
}

// record is the stored form of a claim.
type record struct {
	Service string `json:"service"` // of the node that heard the server
	owner.Claim
}

// New returns the keeper of a node that starts now.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, pending: cfg.Store != nil && !cfg.FirstStart, changed: make(chan struct{}, 1)}
}

// Pending reports whether the claim of an earlier process may still become known.
func (k *Keeper) Pending() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pending
}

// Save saves a claim in the background, unless the store has it.
func (k *Keeper) Save(c owner.Claim) {
	if !c.Known() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.claim = c
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// Run learns what an earlier process has heard, and then saves what this one hears, until ctx
// ends.
func (k *Keeper) Run(ctx context.Context) {
	if k.cfg.Store == nil {
		return
	}
	k.learn(ctx)
	if k.cfg.FirstStart && !timer.Sleep(ctx, rand.N(firstSaveSpread)) {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
		}
		if !timer.Retry(ctx, firstPause, lastPause, func() bool { return k.save(ctx) }) {
			return
		}
	}
}

// learn reads the record until the store answers, nobody wants it any more, or learnTimeout is
// over.
func (k *Keeper) learn(ctx context.Context) {
	if !k.Pending() {
		return
	}
	giveUpAt := time.Now().Add(learnTimeout)
	for pause := firstPause; ; pause = min(2*pause, time.Second) {
		c, err := k.read(ctx)
		switch {
		case err == nil:
			k.learned(c)
			return
		case time.Now().After(giveUpAt) || !k.cfg.Wanted():
			k.recordEvent(event.OwnerUnknown, k.cfg.Key, "the store does not answer: "+err.Error())
			k.learned(owner.Claim{})
			return
		}
		if !timer.Sleep(ctx, pause) {
			return
		}
	}
}

// learned records what the store holds, zero for no claim or if that is not known.
func (k *Keeper) learned(c owner.Claim) {
	k.mu.Lock()
	k.pending = false
	k.stored = c
	k.mu.Unlock()
	if c.Known() {
		k.recordEvent(event.OwnerLearned, c.ID, fmt.Sprintf("start time %d, foreign %v, first heard %v ago",
			c.StartMs, c.Foreign, time.Since(time.UnixMilli(c.HeardMs)).Round(time.Millisecond)))
	}
	k.cfg.OnLearned(c)
}

// read returns the stored claim, zero if there is none of the service of the node.
func (k *Keeper) read(ctx context.Context) (owner.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kvs, _, err := k.cfg.Store.List(ctx, k.cfg.Key, tanagerchute.Stale)
	if err != nil {
		return owner.Claim{}, err
	}
	for _, kv := range kvs {
		var r record
		if kv.Key != k.cfg.Key || json.Unmarshal(kv.Value, &r) != nil || r.Service != k.cfg.Service {
			continue // of another writer, or of a machine before under the name
		}
		return r.Claim, nil
	}
	return owner.Claim{}, nil
}

// save writes the claim, and reports whether the store has it.
func (k *Keeper) save(ctx context.Context) bool {
	k.mu.Lock()
	c, stored := k.claim, k.stored
	k.mu.Unlock()
	if c.Names(stored) {
		return true
	}
	value, err := json.Marshal(record{k.cfg.Service, c})
	if err != nil {
		return true // it never will be
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ok, err := k.cfg.Store.Commit(ctx, tanagerchute.Txn{Puts: []tanagerchute.Put{{Key: k.cfg.Key, Value: value}}})
	if !ok || err != nil {
		return false // if it was written all the same, the next write has the same effect
	}
	k.mu.Lock()
	k.stored = c
	k.mu.Unlock()
	k.recordEvent(event.OwnerSaved, c.ID, fmt.Sprintf("start time %d, foreign %v, first heard %v ago",
		c.StartMs, c.Foreign, time.Since(time.UnixMilli(c.HeardMs)).Round(time.Millisecond)))
	return true
}

func (k *Keeper) recordEvent(kind event.Kind, subject, cause string) {
	k.cfg.Journal.Add(event.Event{At: time.Now(), Kind: kind, Subject: subject, Cause: cause})
}
