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
	learnBy  time.Time // when the node goes on without the store
	known    bool
	held     *beat.Heartbeat // the last one that was held
	record   Record          // the leave that was announced last to this process
	announce time.Time       // when
	saved    bool
}

// New returns the tracker of a node that starts.
func New(cfg Config) *Tracker {
	return &Tracker{learnBy: cfg.Start.Add(learnTimeout), known: cfg.Known}
}

// Hold reports whether a heartbeat that says that the server is ready must not be used yet,
// and keeps it. Later heartbeats replace it.
func (t *Tracker) Hold(h beat.Heartbeat) bool {
	if t.known {
		return false
	}
	if t.held == nil || h.StartMs > t.held.StartMs || h.StartMs == t.held.StartMs && h.Sequence > t.held.Sequence {
		t.held = &h
	}
	return true
}

// Learned records that what is in the store is known and has been acted on, and returns the
// heartbeat that was held, nil if there was none.
func (t *Tracker) Learned() *beat.Heartbeat {
	t.known = true
	h := t.held
	t.held = nil
	return h
}

// Known reports whether heartbeats are used.
func (t *Tracker) Known() bool { return t.known }

// LearnBy returns when the node goes on without the store.
func (t *Tracker) LearnBy() time.Time { return t.learnBy }

// Leave records that a leave was announced at now.
func (t *Tracker) Leave(now time.Time, r Record) {
	if t.record.Server == r.Server && (t.record.StartMs == r.StartMs || r.StartMs == 0) {
		return // again
	}
	t.record, t.announce, t.saved = r, now, false
}

// Unsaved returns the record that has to be saved. ok is false if there is none.
func (t *Tracker) Unsaved() (r Record, ok bool) {
	return t.record, t.record.Server != "" && !t.saved
}

// Saved records that r is in the store.
func (t *Tracker) Saved(r Record) {
	if r == t.record {
		t.saved = true
	}
}

// Replaced records that a server is in use, so that an earlier leave of another one need not
// be saved any more.
func (t *Tracker) Replaced(server string, startMs int64) {
	if !t.record.Names(server, startMs) {
		t.record, t.saved = Record{}, false
	}
}

// MayAcknowledge reports whether the leave may be acknowledged at now.
func (t *Tracker) MayAcknowledge(now time.Time) bool {
	return t.saved || t.record.Server == "" || !now.Before(t.AcknowledgeBy())
}

// AcknowledgeBy returns when the leave is acknowledged without the store.
func (t *Tracker) AcknowledgeBy() time.Time { return t.announce.Add(saveTimeout) }
