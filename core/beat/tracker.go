package beat

import "time"

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
// Invariant: the incarnation of the last accepted heartbeat never decreases, nor
// does the state within an incarnation.
type Tracker struct {
	last                Heartbeat
	hasLast             bool
	unidentifiedLeaveAt time.Time // arrival of a leave request without an incarnation, before any heartbeat
}

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
	case h.StartMs < t.last.StartMs:
		return Stale
	case h.StartMs == t.last.StartMs && h.ID == t.last.ID:
		return t.observeSameIncarnation(h)
	case h.StartMs == t.last.StartMs && t.last.State != Gone:
		return Stale // two servers can't share the address, and the known one still uses it
	}
	t.last, t.hasLast, t.unidentifiedLeaveAt = h, true, time.Time{}
	return Fresh
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
func (t *Tracker) observeSameIncarnation(h Heartbeat) Verdict {
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
		t.unidentifiedLeaveAt = at
	case t.last.ID == id && t.last.State < Draining:
		t.last.State = Draining
	}
}

// ObserveLeave classifies a leave request that arrives at now, by which a server
// announces that it has stopped, and records the stop if Fresh. startMs is 0 if
// the request does not state the incarnation.
func (t *Tracker) ObserveLeave(now time.Time, id string, startMs int64) Verdict {
	switch {
	case !t.hasLast:
		t.last, t.hasLast = Heartbeat{ID: id, StartMs: startMs, State: Gone}, true
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
	t.last.ID = id
	t.last.StartMs = max(t.last.StartMs, startMs)
	t.last.State = Gone
	return Fresh
}
