package gate

import (
	"context"
	"time"

	"tanagerchute/core/event"
)

// failAfterRefusedDials is the number of refused connections in a row after which
// a backend server counts as failing.
const failAfterRefusedDials = 2

// runProbes probes an idle backend server until ctx ends. A probe only opens a
// connection, since health endpoints can be wrong while a refused connection is
// reliable.
func (g *Gate) runProbes(ctx context.Context) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.probe(ctx)
		}
	}
}

// probe checks that the backend server listens, unless a call succeeded recently.
func (g *Gate) probe(ctx context.Context) {
	g.mu.Lock()
	addr := g.backend.Address
	recent := time.Since(g.lastSuccess) < probeInterval
	g.mu.Unlock()
	if addr == "" || recent {
		return
	}
	err := g.client.checkListening(ctx, addr)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.refusedDials = 0
		return
	}
	g.recordRefusedDial(time.Now(), err)
}

// recordRefusedDial records a refused connection to the backend server. The caller
// holds mu.
func (g *Gate) recordRefusedDial(now time.Time, err error) {
	g.refusedDials++
	if g.refusedDials >= failAfterRefusedDials && g.health.MarkFailing(now) {
		g.recordEvent(event.UpstreamFailing, g.backend.Address, "can't connect: "+err.Error())
		g.requestTick()
	}
}
