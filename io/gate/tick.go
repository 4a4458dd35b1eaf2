package gate

import (
	"context"
	"sync"
	"time"

	"tanagerchute/core/member"
)

// Run drives the timers of the state machines, the probes of the backend server
// and OnUpstreamChange until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	if !g.cfg.NoProbe {
		wg.Go(func() { g.runProbes(ctx) })
	}
	for {
		t := time.NewTimer(g.tickInterval())
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-g.tickRequested:
		case <-t.C:
		}
		t.Stop()
		g.tick(time.Now())
	}
}

// tickInterval returns the time until the next tick. A gate without queued calls
// ticks slowly to save processor time. Changes of state request a tick at once.
func (g *Gate) tickInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admission.Queued() > 0 {
		return queuedTickInterval
	}
	return idleTickInterval
}

// requestTick makes Run tick at once. It does not block.
func (g *Gate) requestTick() {
	select {
	case g.tickRequested <- struct{}{}:
	default:
	}
}

// tick advances the admission queue, records the events that are due, and calls
// OnUpstreamChange if the state of the backend server has changed.
func (g *Gate) tick(now time.Time) {
	g.mu.Lock()
	if g.admission.Queued() > 0 {
		g.notifyWaiters(g.admission.Tick(now))
	}
	g.recordHeld(g.statements.Due(now))
	upstream := member.Upstream{
		Ready: g.backendReady(now), Slots: g.backend.Slots, Left: g.leftServer(), Version: g.backend.Version, Owner: g.owner.Claim(),
	}
	if g.backend.WarmupEnd.After(now) {
		upstream.WarmupEnd = g.backend.WarmupEnd
	}
	changed := upstream.Differs(g.published)
	if changed {
		g.published = upstream
	}
	g.mu.Unlock()
	if changed && g.cfg.OnUpstreamChange != nil {
		g.cfg.OnUpstreamChange(upstream)
	}
}

// backendReady reports whether the backend server accepts calls. The caller holds
// mu.
func (g *Gate) backendReady(now time.Time) bool {
	if g.backend.Address == "" || g.backendLeaving || g.draining {
		return false
	}
	if now.Sub(g.announcedAt) > announcementTTL && now.Sub(g.lastSuccess) > announcementTTL {
		return false
	}
	return !g.health.Failing() || g.health.TrialDue(now) && g.refusedDials == 0
}
