package owner

import (
	"time"

	"tanagerchute/core/beat"
)

// Tracker tracks the server at the address of one node. The zero Tracker knows of none. It is
// not safe for concurrent use.
//
// Invariants: the claim names a server only if a heartbeat of that server was received at the
// address, by this process or by one that has handed its claim on; and HeardMs of the claim
// never decreases.
type Tracker struct {
	claim  Claim
	source Source
	// foreignUntil is until when heartbeats from before the server of another service may
	// arrive, zero if the claim is not foreign.
	foreignUntil time.Time
}

// Claim returns the latest claim, to be handed on to later processes.
func (t *Tracker) Claim() Claim { return t.claim }

// Source returns how the latest claim became known.
func (t *Tracker) Source() Source { return t.source }

// maxClockStep is how far ahead of the clock a claim may be. A clock that was set back by more,
// or a claim of another writer, would make it the latest for long.
const maxClockStep = time.Hour

// Learn records a claim of an earlier process of the node. What this process has heard itself
// is later.
func (t *Tracker) Learn(now time.Time, c Claim, from Source) {
	switch {
	case !c.Known() || c.HeardMs > now.Add(maxClockStep).UnixMilli():
	case c.Names(t.claim):
		t.claim.HeardMs = max(t.claim.HeardMs, c.HeardMs)
	case t.source == FromHeartbeat:
		t.claim.HeardMs = max(t.claim.HeardMs, c.HeardMs+1)
	case c.HeardMs > t.claim.HeardMs:
		t.set(now, c, from)
	}
}

// Identify classifies the server that has answered a health check.
func (t *Tracker) Identify(a Answer) Verdict {
	switch {
	case a.ID == "":
		return Unanswered
	case !a.Ready:
		return NotReady
	case !t.claim.Known():
		return Unheard
	case t.claim.Foreign:
		return Foreign
	case t.claim.ID != a.ID:
		return Other
	}
	return Confirmed
}

// Heard records a heartbeat of the node's own service that was accepted.
func (t *Tracker) Heard(now time.Time, id string, startMs int64) {
	t.hear(now, Claim{ID: id, StartMs: startMs})
}

// hear records a heartbeat. A server that is known keeps the time at which it was first heard.
func (t *Tracker) hear(now time.Time, c Claim) {
	c.HeardMs = max(now.UnixMilli(), t.claim.HeardMs+1)
	if c.Names(t.claim) {
		c.HeardMs = t.claim.HeardMs
	}
	t.set(now, c, FromHeartbeat)
}

func (t *Tracker) set(now time.Time, c Claim, from Source) {
	t.claim, t.source, t.foreignUntil = c, from, time.Time{}
	if c.Foreign {
		t.foreignUntil = now.Add(beat.MaxDelay)
	}
}

// Contradicts reports whether a heartbeat of another service than the node's names a server
// that is not known to be at the address.
func (t *Tracker) Contradicts(id string, startMs int64) bool {
	return !t.claim.Names(Claim{ID: id, StartMs: startMs, Foreign: true})
}

// HeardForeign records a heartbeat of another service, after which the server at the address
// has been asked. It reports whether the sender is at the address now. Otherwise the heartbeat
// is late or false.
func (t *Tracker) HeardForeign(now time.Time, id string, startMs int64, a Answer) bool {
	c := Claim{ID: id, StartMs: startMs, Foreign: true}
	if !c.Names(t.claim) && !t.isReplacedBy(c, a) {
		return false
	}
	t.hear(now, c)
	return true
}

// isReplacedBy reports whether the server of c, which is of another service, has replaced the
// one that is known.
func (t *Tracker) isReplacedBy(c Claim, a Answer) bool {
	switch {
	case t.claim.ID == c.ID && t.claim.Known():
		// The id tells nothing.
	case a.ID == c.ID:
		return true
	case a.ID != "":
		return false // a third one, or the one that is known
	}
	return t.claim.StartMs != 0 && c.StartMs > t.claim.StartMs
}

// MustAsk reports whether a heartbeat of the own service may be from before another server took
// the address, so that the server there has to be asked.
func (t *Tracker) MustAsk(now time.Time, id string, startMs int64) bool {
	if t.claim.Foreign {
		before := t.claim.StartMs == 0 || startMs <= t.claim.StartMs
		return before && now.Before(t.foreignUntil)
	}
	return t.claim.Known() && id != t.claim.ID && startMs <= t.claim.StartMs
}

// Believes reports whether a heartbeat of the own service, which says that the server with the
// given id and start is ready, agrees with what the server at the address answered.
func (t *Tracker) Believes(now time.Time, id string, startMs int64, a Answer) bool {
	switch {
	case a.ID == id:
		return a.Ready
	case t.MustAsk(now, id, startMs):
		return false
	}
	return !a.Ready // another one serves there; one that refuses may be named wrongly
}
