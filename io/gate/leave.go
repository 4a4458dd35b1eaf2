package gate

import (
	"time"

	"tanagerchute/core/beat"
	"tanagerchute/core/event"
	"tanagerchute/core/member"
)

// ObserveLeave handles a leave request, by which a backend server announces that
// it has stopped, and returns the verdict on it, see beat.Tracker.ObserveLeave.
func (g *Gate) ObserveLeave(id string, startMs int64) beat.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.heartbeats.ObserveLeave(time.Now(), id, startMs)
	if v != beat.Stale {
		g.markLeaving(id, beat.Gone.String())
	}
	return v
}

// ObserveFormerLeave records that the given backend server announced its stop to an
// earlier process of this node, at a time before now, as far as that is known.
func (g *Gate) ObserveFormerLeave(at time.Time, s member.ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if last, known := g.heartbeats.Last(); known && (last.ID != s.ID || last.StartMs != s.StartMs) {
		return // another server has taken its place
	}
	if g.backend.ID != "" && g.backend.ID != s.ID {
		return // another one was found by a health check
	}
	if g.heartbeats.ObserveLeave(at, s.ID, s.StartMs) == beat.Fresh {
		g.markLeaving(s.ID, "announced to an earlier process of this node")
	}
}

// MarkLeaving records that the backend server accepts no new calls.
func (g *Gate) MarkLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markLeaving(g.backend.logName(), "announced its stop")
}

// markLeaving refuses new and queued calls from now on. The caller holds mu.
func (g *Gate) markLeaving(name, cause string) {
	if !g.backendLeaving {
		g.recordEvent(event.UpstreamLeaving, name, cause)
	}
	g.backendLeaving = true
	g.watch.Leaving()
	g.notifyWaiters(g.admission.Drain())
	g.requestTick()
}

// LeftServer returns the backend server if it has announced its stop, else zero.
func (g *Gate) LeftServer() member.ServerID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leftServer()
}

// leftServer returns the backend server if it has announced its stop, else zero. The
// caller holds mu.
func (g *Gate) leftServer() member.ServerID {
	h, ok := g.heartbeats.Last()
	if !ok || h.State == beat.Ready {
		return member.ServerID{}
	}
	return member.ServerID{ID: h.ID, StartMs: h.StartMs}
}
