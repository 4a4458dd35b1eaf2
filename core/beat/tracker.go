package beat

import "time"

// State is what a backend server says of itself.
type State int

// States, in the order in which one incarnation goes through them.
const (
	Ready State = iota
	Draining
	Gone
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"ready", "draining", "gone"}[s] }

// Heartbeat is one announcement of a backend server. It is immutable.
type Heartbeat struct {
	ID       string // of the server; it may be reused by a later incarnation
	Service  string
	Address  string // host:port, empty if it is not said
	Slots    int    // requests that it runs at once
	State    State
	StartMs  int64  // start of its process, Unix milliseconds; names the incarnation
	Sequence uint64 // rises with each heartbeat of an incarnation
	// WarmUntil is when it stops being slow after its start.
	WarmupEnd time.Time
}

// Verdict is what is to be done about a heartbeat.
type Verdict int

// Verdicts.
const (
	Fresh     Verdict = iota // it replaces what was known
	Duplicate                // it says nothing new
	Stale                    // it is older than what is known
)

// String returns the name of the verdict.
func (v Verdict) String() string { return [...]string{"news", "repeat", "stale"}[v] }

// Order is the state machine of the heartbeats of one address. The zero Order
// has seen none. It is not safe for concurrent use.
//
// Invariant: the incarnation never goes back, and within one the state never
// does.
type Tracker struct {
	last                Heartbeat
	hasLast             bool
	unidentifiedLeaveAt time.Time // when a server left that did not say which incarnation it was
}

// lateness is how late a heartbeat may come.
const maxHeartbeatDelay = 15 * time.Second

// Last returns the last heartbeat that was news. ok is false if there is none.
func (o *Tracker) Last() (h Heartbeat, ok bool) { return o.last, o.hasLast }

// Take decides on a heartbeat that comes at now.
func (o *Tracker) Observe(now time.Time, h Heartbeat) Verdict {
	switch {
	case !o.hasLast:
	case o.sentBeforeLeave(now, h):
		return Stale
	case h.StartMs < o.last.StartMs:
		return Stale
	case h.StartMs == o.last.StartMs && h.ID == o.last.ID:
		return o.observeSameIncarnation(h)
	case h.StartMs == o.last.StartMs && o.last.State != Gone:
		return Stale // two servers can't hold one address; the known one does
	}
	o.last, o.hasLast, o.unidentifiedLeaveAt = h, true, time.Time{}
	return Fresh
}

// followsLeave reports whether a heartbeat was sent by a server before it left,
// if the incarnation that left is not known. The node and its server have the
// same clock; should it have been set back, a new incarnation is believed after
// a while.
func (o *Tracker) sentBeforeLeave(now time.Time, h Heartbeat) bool {
	if o.unidentifiedLeaveAt.IsZero() || h.ID != o.last.ID {
		return false
	}
	return h.StartMs <= o.unidentifiedLeaveAt.UnixMilli() && now.Sub(o.unidentifiedLeaveAt) < maxHeartbeatDelay
}

// same decides on a heartbeat of the known incarnation.
func (o *Tracker) observeSameIncarnation(h Heartbeat) Verdict {
	switch {
	case h.State < o.last.State:
		return Stale
	case h.State > o.last.State:
		// Its end is news in whatever order it comes.
	case h.Sequence < o.last.Sequence:
		return Stale
	case h.Sequence == o.last.Sequence:
		return Duplicate
	}
	h.Sequence = max(h.Sequence, o.last.Sequence)
	o.last = h
	return Fresh
}

// Leave decides on the word of a server, that comes at now, that it is gone.
// born is 0 if the server did not say which incarnation it is.
func (o *Tracker) ObserveLeave(now time.Time, id string, startMs int64) Verdict {
	switch {
	case !o.hasLast:
		o.last, o.hasLast = Heartbeat{ID: id, StartMs: startMs, State: Gone}, true
		if startMs == 0 {
			o.unidentifiedLeaveAt = now
		}
		return Fresh
	case id != o.last.ID && startMs <= o.last.StartMs:
		return Stale
	case id == o.last.ID && startMs != 0 && startMs < o.last.StartMs:
		return Stale
	case o.last.State == Gone && id == o.last.ID:
		return Duplicate
	}
	o.last.ID = id
	o.last.StartMs = max(o.last.StartMs, startMs)
	o.last.State = Gone
	return Fresh
}
