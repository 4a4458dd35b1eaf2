package gate

import (
	"fmt"
	"time"

	"tanagerchute/core/admit"
	"tanagerchute/core/beat"
	"tanagerchute/core/event"
)

// Backend describes a backend server as announced by the server itself.
type Backend struct {
	Address string `json:"address"` // host:port
	Slots   int    `json:"slots"`   // number of concurrent calls
	// ID is the instance id of the server, empty if it is unknown. If the dialect
	// supports it, each call names the id, so that another server at the same
	// address does not run the call.
	ID string `json:"id,omitempty"`
	// StartMs is the start of the server, Unix milliseconds, 0 if it is unknown. A
	// server may start again under its id.
	StartMs int64 `json:"-"`
	// WarmupEnd is the end of the server's warm-up, zero if there is none.
	WarmupEnd time.Time `json:"-"`
	// Version is the version of the server's software, empty if it is unknown.
	Version string `json:"version,omitempty"`
}

// isOther reports whether b is known to be another backend server than o.
func (b Backend) isOther(o Backend) bool {
	restarted := b.StartMs != 0 && o.StartMs != 0 && b.StartMs != o.StartMs
	return b.Address != o.Address || b.ID != o.ID || restarted
}

// logName returns the name of the server in events.
func (b Backend) logName() string {
	if b.ID != "" {
		return b.ID
	}
	return b.Address
}

// Announce handles an announcement of the backend server.
func (g *Gate) Announce(b Backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setBackend(b, "announced")
}

// setBackend handles an announcement. cause says how it came about. The caller holds mu.
func (g *Gate) setBackend(b Backend, cause string) {
	g.announcedAt = time.Now()
	b.Slots = min(b.Slots, g.client.maxConns()) // each call needs a connection
	if b.isOther(g.backend) || g.backendLeaving {
		// A new server starts without the state of the previous one. The calls that
		// are queued for that one have not started, so other upstreams can run them.
		g.watchReplacement(g.announcedAt, b.logName()+" has taken its place")
		g.notifyWaiters(g.admission.Drain())
		g.admission = g.newAdmission(b)
		g.health = newHealthMonitor(g.cfg)
		g.refusedDials = 0
		g.leavingHeardAt = time.Time{}
		g.client.closeIdle()
		g.recordHeld(g.statements.Flush(time.Now())) // they are about the previous one
		g.recordEvent(event.UpstreamReady, b.logName(), cause)
	}
	g.backendLeaving = false
	if b.Slots != g.backend.Slots {
		g.admission.SetSlots(b.Slots)
	}
	g.backend = b
	g.requestTick()
}

// newAdmission returns the admission controller for a new backend server.
func (g *Gate) newAdmission(b Backend) *admit.Controller {
	admission := admit.New(admit.Config{Slots: b.Slots})
	if g.draining {
		admission.Drain()
	}
	return admission
}

// ObserveHeartbeat handles a heartbeat of the backend server and returns the
// verdict on it. If the heartbeat reports that the server drains or has stopped,
// no call is sent to the server after ObserveHeartbeat has returned.
func (g *Gate) ObserveHeartbeat(h beat.Heartbeat) beat.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	last, _ := g.heartbeats.Last()
	v := g.heartbeats.Observe(time.Now(), h)
	switch {
	case v == beat.Stale:
		g.recordEvent(event.HeartbeatStale, h.ID, fmt.Sprintf("sequence %d with start time %d, the last heartbeat had sequence %d with start time %d", h.Sequence, h.StartMs, last.Sequence, last.StartMs))
	case h.State != beat.Ready:
		g.markLeaving(h.ID, h.State.String())
	default:
		if h.StartMs < last.StartMs {
			g.recordEvent(event.UpstreamClockSetBack, h.ID, fmt.Sprintf(
				"heartbeats up to %d of the process started at %d, none of %s started at %d", h.Sequence, h.StartMs, last.ID, last.StartMs))
		}
		g.owner.Heard(time.Now(), h.ID, h.StartMs)
		g.setBackend(Backend{Address: h.Address, Slots: h.Slots, ID: h.ID, StartMs: h.StartMs, WarmupEnd: h.WarmupEnd, Version: h.Version},
			fmt.Sprintf("announced by heartbeat %d of the process started at %d", h.Sequence, h.StartMs))
	}
	return v
}
