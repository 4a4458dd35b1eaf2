package leaves

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"tanagerchute"
	"tanagerchute/core/beat"
	"tanagerchute/core/event"
	"tanagerchute/core/leave"
	"tanagerchute/io/timer"
)

const (
	callTimeout = 400 * time.Millisecond // of a call to the store
	// retryAfter is the pause after a call that failed, and slowRetryAfter that after one
	// whose result nobody waits for any more.
	retryAfter     = 50 * time.Millisecond
	slowRetryAfter = time.Second
	// learnLateFor is how long a node whose store did not answer at the start goes on to ask
	// it. Heartbeats that are later than that are not expected.
	learnLateFor = 30 * time.Second
)

// Config configures a Keeper.
type Config struct {
	Store tanagerchute.Store // nil for none
	Key   string             // of the record of this instance
	// FirstStart means that the whole deployment starts for the first time.
	FirstStart bool
	Journal    *event.Journal
	// OnFormer is called with the leave that was announced to an earlier process of the node.
	OnFormer func(leave.Record)
	// OnHeld is called with the heartbeat that was held until earlier leaves were known.
	OnHeld func(beat.Heartbeat)
}

// Keeper saves and learns the leaves that were announced to one node. It is safe for
// concurrent use.
type Keeper struct {
	cfg Config

	mu      sync.Mutex
	tracker *leave.Tracker
	changed chan struct{} // closed and replaced when tracker has changed
}

// record is the stored form of a leave.
type record struct {
	Server  string `json:"server"`
	StartMs int64  `json:"start_ms,omitempty"`
	AtMs    int64  `json:"at_ms"` // Unix milliseconds
}

// New returns the keeper of a node that starts now.
func New(cfg Config) *Keeper {
	t := leave.New(leave.Config{Start: time.Now(), Known: cfg.FirstStart || cfg.Store == nil})
	return &Keeper{cfg: cfg, tracker: t, changed: make(chan struct{})}
}

// Hold reports whether a heartbeat that says that the server is ready must not be used yet. It
// is passed to OnHeld later.
func (k *Keeper) Hold(h beat.Heartbeat) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Hold(h)
}

// MustConfirm reports whether a heartbeat that says that the server is ready has to be confirmed
// by the server, see leave.Tracker.MustConfirm.
func (k *Keeper) MustConfirm() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.MustConfirm(time.Now())
}

// InUse records that the given server is in use.
func (k *Keeper) InUse(server string, startMs int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tracker.InUse(server, startMs)
	if k.tracker.Obsolete() {
		k.notify()
	}
}

// Announced records that the given server has announced that it leaves, and returns when that
// may be acknowledged, or when ctx ends.
func (k *Keeper) Announced(ctx context.Context, server string, startMs int64) {
	if k.cfg.Store == nil || server == "" {
		return
	}
	k.mu.Lock()
	k.tracker.Leave(time.Now(), leave.Record{Server: server, StartMs: startMs, At: time.Now().Round(time.Millisecond)})
	by := k.tracker.AcknowledgeBy()
	k.notify()
	k.mu.Unlock()
	t := time.NewTimer(time.Until(by))
	defer t.Stop()
	for {
		k.mu.Lock()
		now := time.Now()
		done, changed := k.tracker.MayAcknowledge(now), k.changed
		_, unsaved := k.tracker.Unsaved()
		k.mu.Unlock()
		if done {
			if unsaved {
				k.recordEvent(event.LeaveUnsaved, server, "acknowledged, and still to be saved, since the store does not answer")
			}
			return
		}
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Inherited records that the other nodes hold a leave of the given server, which was announced
// to an earlier process of this node. It is saved unless the store has it.
func (k *Keeper) Inherited(server string, startMs int64) {
	if k.cfg.Store == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tracker.Inherit(leave.Record{Server: server, StartMs: startMs, At: time.Now().Round(time.Millisecond)})
	k.notify()
}

// notify wakes up what waits for a change. The caller holds mu.
func (k *Keeper) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// Run learns what earlier processes were told, and then saves what this one is told, until ctx
// ends.
func (k *Keeper) Run(ctx context.Context) {
	if k.cfg.Store == nil {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { k.learn(ctx) })
	for {
		k.mu.Lock()
		changed := k.changed
		r, unsaved := k.tracker.Unsaved()
		remove := !unsaved && k.tracker.Obsolete()
		k.mu.Unlock()
		ok := true
		switch {
		case unsaved:
			ok = k.save(ctx, r)
		case remove:
			ok = k.remove(ctx)
		default:
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
		if !ok && !timer.Sleep(ctx, k.retryPause(r)) {
			return
		}
	}
}

// retryPause returns the pause after a write that failed.
func (k *Keeper) retryPause(r leave.Record) time.Duration {
	if time.Since(r.At) < time.Second {
		return retryAfter
	}
	return slowRetryAfter
}

// save writes r to the store.
func (k *Keeper) save(ctx context.Context, r leave.Record) bool {
	value, err := json.Marshal(record{r.Server, r.StartMs, r.At.UnixMilli()})
	if err != nil {
		return false
	}
	if !k.commit(ctx, tanagerchute.Txn{Puts: []tanagerchute.Put{{Key: k.cfg.Key, Value: value}}}) {
		return false
	}
	k.mu.Lock()
	k.tracker.Saved(r)
	k.notify()
	k.mu.Unlock()
	k.recordEvent(event.LeaveSaved, r.Server, fmt.Sprintf("in the store, %v after it was announced", time.Since(r.At).Round(time.Millisecond)))
	return true
}

// remove removes the record of a server that another one has replaced.
func (k *Keeper) remove(ctx context.Context) bool {
	if !k.commit(ctx, tanagerchute.Txn{Deletes: []string{k.cfg.Key}}) {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tracker.Removed()
	return true
}

// commit reports whether the store has acknowledged t. A write whose outcome is unknown is
// made again: it has the same effect.
func (k *Keeper) commit(ctx context.Context, t tanagerchute.Txn) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ok, err := k.cfg.Store.Commit(ctx, t)
	return ok && err == nil
}

// learn reads the record of the instance. If the store does not answer in time, the node goes
// on without, and learns it later if it can.
func (k *Keeper) learn(ctx context.Context) {
	k.mu.Lock()
	known, by := k.tracker.Known(), k.tracker.LearnBy()
	k.mu.Unlock()
	if known {
		return
	}
	for giveUp := by.Add(learnLateFor); time.Now().Before(giveUp); {
		r, err := k.read(ctx)
		if err == nil {
			k.learned(r)
			return
		}
		pause := retryAfter
		if time.Now().After(by) {
			k.goOn(err)
			pause = slowRetryAfter
		}
		if !timer.Sleep(ctx, pause) {
			return
		}
	}
}

// read returns the stored record, nil if there is none that counts.
func (k *Keeper) read(ctx context.Context) (*leave.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, _, err := k.cfg.Store.Get(ctx, k.cfg.Key)
	if err != nil {
		return nil, err
	}
	var r record
	if len(kv.Value) == 0 || json.Unmarshal(kv.Value, &r) != nil {
		return nil, nil // none, or that of another writer
	}
	out := leave.Record{Server: r.Server, StartMs: r.StartMs, At: time.UnixMilli(r.AtMs)}
	if !out.Counts(time.Now()) {
		return nil, nil
	}
	return &out, nil
}

// learned acts on the stored record, nil for none, and then on the heartbeat that was held.
func (k *Keeper) learned(r *leave.Record) {
	if r != nil {
		k.recordEvent(event.LeaveLearned, r.Server, "announced to an earlier process of this node at "+r.At.UTC().Format(time.RFC3339Nano))
		k.cfg.OnFormer(*r)
	}
	if r == nil {
		r = &leave.Record{}
	}
	k.release(*r)
}

// goOn lets heartbeats be used although the store did not answer.
func (k *Keeper) goOn(err error) {
	k.mu.Lock()
	known := k.tracker.Known()
	k.mu.Unlock()
	if known {
		return
	}
	k.recordEvent(event.LeaveUnknown, k.cfg.Key, "the store does not answer: "+err.Error())
	k.release(leave.Record{})
}

// release records what the store holds, zero for no record, and uses the heartbeat that was
// held for that.
func (k *Keeper) release(stored leave.Record) {
	k.mu.Lock()
	h := k.tracker.Learned(stored)
	k.notify()
	k.mu.Unlock()
	k.use(h)
}

// Ready records that a version is in force.
func (k *Keeper) Ready() {
	k.mu.Lock()
	h := k.tracker.Ready()
	k.mu.Unlock()
	k.use(h)
}

// use passes a heartbeat that was held to OnHeld, unless it is nil.
func (k *Keeper) use(h *beat.Heartbeat) {
	if h != nil {
		k.cfg.OnHeld(*h)
	}
}

func (k *Keeper) recordEvent(kind event.Kind, subject, cause string) {
	k.cfg.Journal.Add(event.Event{At: time.Now(), Kind: kind, Subject: subject, Cause: cause})
}
