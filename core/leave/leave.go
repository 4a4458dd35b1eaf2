package leave

import (
	"time"

	"tanagerchute/core/beat"
)

const (
	// saveTimeout bounds how long an acknowledgement waits for the store. The backend server
	// waits for a second.
	saveTimeout = 600 * time.Millisecond
	// learnTimeout bounds how long a started node waits for the store before it believes
	// its server and the other nodes alone.
	learnTimeout = 1500 * time.Millisecond
	// confirmTimeout is how long after the start of a node the first heartbeat of its server
	// may be from before a leave. Later ones are believed.
	confirmTimeout = beat.MaxDelay
	// maxAge is how old a record may be that still counts. A heartbeat is not expected to be
	// late by more than seconds, and a server may start again under its id.
	maxAge = 5 * time.Minute
)

// Record is a leave that was announced to a node.
type Record struct {
	Server  string    // id of the backend server
	StartMs int64     // its start, Unix milliseconds, 0 if it is not known
	At      time.Time // when it was announced, by the clock of the instance
}

// Counts reports whether the record still says something at now. The clock may have been set
// meanwhile, also back.
func (r Record) Counts(now time.Time) bool {
	age := now.Sub(r.At)
	return r.Server != "" && age < maxAge && age > -maxAge
}

// Names reports whether the record is of the given server.
func (r Record) Names(server string, startMs int64) bool {
	return r.Server == server && (r.StartMs == 0 || startMs == 0 || r.StartMs == startMs)
}

// Config configures a Tracker.
type Config struct {
	Start time.Time // of the node
	// Known reports that there is nothing to learn: the whole deployment starts for the
	// first time, or there is no store.
	Known bool
}

// Tracker is the state machine of one node. It is not safe for concurrent use.
type Tracker struct {
	learnBy   time.Time       // when the node goes on without the store
	confirmBy time.Time       // until when the first heartbeat has to be confirmed, zero if it need not be
	known     bool            // what is in the store is known
	ready     bool            // a version is in force, see Ready
	held      *beat.Heartbeat // the last one that was held
	record    Record          // the last leave that was announced, to this process or to an earlier one
	announced time.Time       // when it was announced to this process, zero if it was not
	stored    Record          // what is in the store, zero if nothing or not known
	obsolete  bool            // stored is of a server that another one has replaced
}

// New returns the tracker of a node that starts.
func New(cfg Config) *Tracker {
	t := &Tracker{learnBy: cfg.Start.Add(learnTimeout), known: cfg.Known, ready: cfg.Known}
	if !cfg.Known {
		t.confirmBy = cfg.Start.Add(confirmTimeout)
	}
	return t
}

// Hold reports whether a heartbeat that says that the server is ready must not be used yet,
// and keeps it. Later heartbeats replace it.
func (t *Tracker) Hold(h beat.Heartbeat) bool {
	if t.known && t.ready {
		return false
	}
	if t.held == nil || h.StartMs > t.held.StartMs || h.StartMs == t.held.StartMs && h.Sequence > t.held.Sequence {
		t.held = &h
	}
	return true
}

// Learned records that what is in the store is known and has been acted on, and returns the
// heartbeat that was held and may be used now, nil if there is none. stored is zero if the
// store has no record, or did not answer.
func (t *Tracker) Learned(stored Record) *beat.Heartbeat {
	t.known = true
	if stored.Server != "" {
		t.stored = stored
	}
	return t.release()
}

// Ready records that a version is in force, which tells how the server is asked, and returns
// the heartbeat that was held and may be used now, nil if there is none.
func (t *Tracker) Ready() *beat.Heartbeat {
	t.ready = true
	return t.release()
}

// release returns the heartbeat that was held if it may be used.
func (t *Tracker) release() *beat.Heartbeat {
	if !t.known || !t.ready {
		return nil
	}
	h := t.held
	t.held = nil
	return h
}

// Known reports whether what is in the store is known, or is not waited for any more.
func (t *Tracker) Known() bool { return t.known }

// LearnBy returns when the node goes on without the store.
func (t *Tracker) LearnBy() time.Time { return t.learnBy }

// MustConfirm reports whether a heartbeat that says that the server is ready has to be confirmed
// by the server at now: it is the first one since the start of the node, and may be from before
// a leave that only processes knew which have been killed.
func (t *Tracker) MustConfirm(now time.Time) bool { return now.Before(t.confirmBy) }

// Leave records that a leave was announced to this process at now.
func (t *Tracker) Leave(now time.Time, r Record) {
	if !t.isRecorded(r) {
		t.record, t.announced = r, now
	}
	if t.announced.IsZero() {
		t.announced = now
	}
}

// Inherit records a leave that was announced to an earlier process of the node, which the other
// nodes hold. That process may have been killed before it had saved it.
func (t *Tracker) Inherit(r Record) {
	if !t.isRecorded(r) {
		t.record, t.announced = r, time.Time{}
	}
}

// isRecorded reports whether r is about the leave that is recorded.
func (t *Tracker) isRecorded(r Record) bool {
	return t.record.Server == r.Server && (t.record.StartMs == r.StartMs || r.StartMs == 0)
}

// isSaved reports whether the recorded leave is in the store.
func (t *Tracker) isSaved() bool { return t.stored.Names(t.record.Server, t.record.StartMs) }

// Unsaved returns the record that has to be saved. ok is false if there is none. One that was
// not announced to this process waits until it is known whether the store has it.
func (t *Tracker) Unsaved() (r Record, ok bool) {
	mayBeStored := t.announced.IsZero() && !t.known
	return t.record, t.record.Server != "" && !t.isSaved() && !mayBeStored
}

// Saved records that r is in the store.
func (t *Tracker) Saved(r Record) { t.stored, t.obsolete = r, false }

// InUse records that a heartbeat was accepted which says that the given server is ready. An
// earlier leave of another one need not be saved any more.
func (t *Tracker) InUse(server string, startMs int64) {
	t.confirmBy = time.Time{}
	if !t.record.Names(server, startMs) {
		t.record = Record{}
	}
	t.obsolete = t.stored.Server != "" && !t.stored.Names(server, startMs)
}

// Obsolete reports whether the record in the store has to be removed.
func (t *Tracker) Obsolete() bool { return t.obsolete }

// Removed records that the store holds no record.
func (t *Tracker) Removed() { t.stored, t.obsolete = Record{}, false }

// MayAcknowledge reports whether the leave may be acknowledged at now.
func (t *Tracker) MayAcknowledge(now time.Time) bool {
	return t.record.Server == "" || t.isSaved() || !now.Before(t.AcknowledgeBy())
}

// AcknowledgeBy returns when the leave is acknowledged without the store.
func (t *Tracker) AcknowledgeBy() time.Time { return t.announced.Add(saveTimeout) }
