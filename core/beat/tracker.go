package beat

import (
	"slices"
	"time"
)

// State is the state that a backend server announces.
type State int

// States, in the order in which an incarnation passes through them.
const (
	Ready State = iota
	Draining
	Gone // it has stopped
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"ready", "draining", "gone"}[s] }

// Heartbeat is one announcement of a backend server. It is immutable.
type Heartbeat struct {
	ID       string // of the server, may be reused by a later incarnation
	Service  string
	Address  string // host:port, empty if not announced
	Slots    int    // maximum number of concurrent requests
	State    State
	StartMs  int64  // start of the process, Unix milliseconds, identifies the incarnation
	Sequence uint64 // increases with each heartbeat of an incarnation
	// WarmupEnd is when the warm-up period of the server ends. It is slow until
	// then. Zero means that there is no warm-up.
	WarmupEnd time.Time
	Version   string // of its software, empty if not announced
}

// Verdict classifies a heartbeat by comparison with the last accepted one.
type Verdict int

// Verdicts.
const (
	Fresh     Verdict = iota // newer than the last accepted heartbeat, which it replaces
	Duplicate                // same incarnation, state and sequence number
	Stale                    // older than the last accepted heartbeat
	Foreign                  // of a server of another service than the node's
)

// String returns the name of the verdict.
func (v Verdict) String() string { return [...]string{"news", "repeat", "stale", "foreign"}[v] }

// Tracker tracks the heartbeats of the backend server at one address. The zero
// Tracker has accepted none. It is not safe for concurrent use.
//
// Incarnations are ordered by their start times, which the clock of the instance gave. If
// it was set back between two starts, the later incarnation seems to be the earlier one. It
// is told from an earlier one, whose heartbeats are late, by their arrival: a server that has
// ended sends no more, and one that runs does not fall silent.
//
// Invariant: an incarnation that has announced its stop does not become ready again, nor
// does an incarnation that another one has replaced within MaxDelay.
type Tracker struct {
	last                Heartbeat
	hasLast             bool
	leftAt              time.Time // arrival of the announcement that last leaves, zero if there is none
	unidentifiedLeaveAt time.Time // arrival of a leave request without an incarnation, before any heartbeat
	rival               Heartbeat // the latest of rivalBeats of an incarnation that seems to be earlier than last
	rivalBeats          int       // in a row, without one of another incarnation between
	replaced            []replacement
}

// replacement is an incarnation that another one has replaced.
type replacement struct {
	id      string
	startMs int64
	until   time.Time // until when its heartbeats may still arrive
	// byEarlier is set if the other one has the earlier start time.
	byEarlier bool
}

// rivalBeatsNeeded is the number of heartbeats in a row after which an incarnation replaces one
// that has a later start time.
const rivalBeatsNeeded = 3

// MaxDelay is the longest delay with which a heartbeat is expected to arrive.
const MaxDelay = 15 * time.Second

// Last returns the last accepted heartbeat. ok is false if there is none.
func (t *Tracker) Last() (h Heartbeat, ok bool) { return t.last, t.hasLast }

// Observe classifies a heartbeat that arrives at now, and accepts it if Fresh.
func (t *Tracker) Observe(now time.Time, h Heartbeat) Verdict {
	switch {
	case !t.hasLast:
	case t.startedBeforeLeave(now, h):
		return Stale
	case h.StartMs == t.last.StartMs && h.ID == t.last.ID:
		return t.observeSameIncarnation(now, h)
	case t.isReplaced(now, h):
		return Stale
	case h.StartMs > t.last.StartMs:
	case h.StartMs == t.last.StartMs && t.last.State == Gone:
	case !t.outlastsLast(now, h):
		return Stale
	}
	t.accept(now, h)
	return Fresh
}

// accept replaces the last accepted heartbeat by one of another incarnation.
func (t *Tracker) accept(now time.Time, h Heartbeat) {
	t.replaced = slices.DeleteFunc(t.replaced, func(r replacement) bool {
		return !now.Before(r.until) || r.id == h.ID && r.startMs == h.StartMs
	})
	if t.hasLast {
		t.replaced = append(t.replaced, replacement{t.last.ID, t.last.StartMs, now.Add(MaxDelay), h.StartMs < t.last.StartMs})
	}
	t.last, t.hasLast = h, true
	t.leftAt, t.unidentifiedLeaveAt = time.Time{}, time.Time{}
	t.rivalBeats = 0
	if h.State != Ready {
		t.leftAt = now
	}
}

// isReplaced reports whether h is of an incarnation that another one has replaced, so that it is
// late. One that was replaced against the order of start times may still say that it leaves.
func (t *Tracker) isReplaced(now time.Time, h Heartbeat) bool {
	return slices.ContainsFunc(t.replaced, func(r replacement) bool {
		same := r.id == h.ID && r.startMs == h.StartMs
		return same && now.Before(r.until) && (h.State == Ready || !r.byEarlier)
	})
}

// outlastsLast reports whether h, whose start time is not later than that of the last accepted
// heartbeat, shows that its incarnation runs and the other one has ended.
func (t *Tracker) outlastsLast(now time.Time, h Heartbeat) bool {
	if h.State != Ready || t.last.State != Ready && now.Sub(t.leftAt) < MaxDelay {
		t.rivalBeats = 0
		return false
	}
	if t.rivalBeats > 0 && h.ID == t.rival.ID && h.StartMs == t.rival.StartMs {
		if h.Sequence <= t.rival.Sequence {
			return false
		}
		t.rivalBeats++
	} else {
		t.rivalBeats = 1
	}
	t.rival = h
	return t.rivalBeats >= rivalBeatsNeeded
}

// startedBeforeLeave reports whether h comes from a process that started before a
// leave request without an incarnation, so that h is a late heartbeat of the
// process that left. The times are comparable, since the node and its backend
// server share a clock. If the clock was set back, a new incarnation is accepted
// after MaxDelay.
func (t *Tracker) startedBeforeLeave(now time.Time, h Heartbeat) bool {
	if t.unidentifiedLeaveAt.IsZero() || h.ID != t.last.ID {
		return false
	}
	return h.StartMs <= t.unidentifiedLeaveAt.UnixMilli() && now.Sub(t.unidentifiedLeaveAt) < MaxDelay
}

// observeSameIncarnation classifies a heartbeat of the last accepted incarnation.
func (t *Tracker) observeSameIncarnation(now time.Time, h Heartbeat) Verdict {
	t.rivalBeats = 0
	switch {
	case h.State < t.last.State:
		return Stale
	case h.State > t.last.State:
		// A later state is accepted even if the heartbeats arrive out of order.
	case h.Sequence < t.last.Sequence:
		return Stale
	case h.Sequence == t.last.Sequence:
		return Duplicate
	}
	h.Sequence = max(h.Sequence, t.last.Sequence)
	if h.State != t.last.State {
		t.leftAt = now
	}
	t.last = h
	return Fresh
}

// ObserveDraining records that the server with the given id said at a time, other
// than by a heartbeat, that it is draining. Its heartbeats that say that it is ready
// are then stale.
func (t *Tracker) ObserveDraining(at time.Time, id string) {
	switch {
	case !t.hasLast:
		t.last, t.hasLast = Heartbeat{ID: id, State: Draining}, true
		t.leftAt, t.unidentifiedLeaveAt = at, at
	case t.last.ID == id && t.last.State < Draining:
		t.last.State, t.leftAt = Draining, at
	}
}

// ObserveLeave classifies a leave request that arrives at now, by which a server
// announces that it has stopped, and records the stop if Fresh. startMs is 0 if
// the request does not state the incarnation.
func (t *Tracker) ObserveLeave(now time.Time, id string, startMs int64) Verdict {
	switch {
	case !t.hasLast:
		t.last, t.hasLast, t.leftAt = Heartbeat{ID: id, StartMs: startMs, State: Gone}, true, now
		if startMs == 0 {
			t.unidentifiedLeaveAt = now
		}
		return Fresh
	case id != t.last.ID && startMs <= t.last.StartMs:
		return Stale
	case id == t.last.ID && startMs != 0 && startMs < t.last.StartMs:
		return Stale
	case t.last.State == Gone && id == t.last.ID:
		return Duplicate
	}
	if id != t.last.ID || startMs > t.last.StartMs {
		h := t.last
		h.ID, h.StartMs, h.State = id, startMs, Gone
		t.accept(now, h)
		return Fresh
	}
	t.last.State, t.leftAt = Gone, now
	return Fresh
}
