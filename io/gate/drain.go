package gate

import "context"

// Drain refuses new and queued calls from now on, and waits until no call is in
// flight or ctx ends.
func (g *Gate) Drain(ctx context.Context) error {
	g.StartDrain()
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// StartDrain refuses new and queued calls from now on.
func (g *Gate) StartDrain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return
	}
	g.draining = true
	g.notifyWaiters(g.admission.Drain())
	g.requestTick()
	g.closeIfDrained()
}

// closeIfDrained closes drained if the gate drains and no call is in flight. The
// caller holds mu.
func (g *Gate) closeIfDrained() {
	if !g.draining || g.inFlight > 0 {
		return
	}
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}
