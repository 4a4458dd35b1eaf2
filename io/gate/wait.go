package gate

import "tanagerchute/core/admit"

// admissionResult is the decision that is sent to a queued call.
type admissionResult struct {
	started bool
	refusal admit.Refusal
}

// notifyWaiters sends queued calls their admission results. The caller holds mu.
func (g *Gate) notifyWaiters(out admit.Dequeued) {
	for _, it := range out.Started {
		g.notifyWaiter(it.ID, admissionResult{started: true})
	}
	g.notifyRefused(out.Refused)
}

func (g *Gate) notifyRefused(rs []admit.Refusal) {
	for _, r := range rs {
		g.notifyWaiter(r.ID, admissionResult{refusal: r})
	}
}

func (g *Gate) notifyWaiter(id string, a admissionResult) {
	if ch, ok := g.waiters[id]; ok {
		delete(g.waiters, id)
		if a.started {
			g.inFlight++ // from now on, although the goroutine of the call may run later
		}
		ch <- a // does not block: buffered, and only one result is sent
	}
}
