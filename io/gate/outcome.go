package gate

import (
	"fmt"
	"time"

	"tanagerchute/core/admit"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
)

// finish records that a call has ended and returns its reply. NestedFailure is set
// in the reply if the call failed because of a nested call.
func (g *Gate) finish(admission *admit.Controller, c call.Call, r call.Reply, took time.Duration) call.Reply {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.inFlight--
	delete(g.running, c.Attempt)
	if r.Fate != call.NotRun {
		g.durations.Observe(now, c.Class, took)
	}
	nestedCalls := g.callTracker.End(now, c.Trace, c.Depth)
	g.watchCallEnd(now, c, r)
	r.NestedFailure = nestedCalls.Failed && r.Fate == call.Answered && r.Status >= 500
	result, countsForHealth := classify(r)
	if g.cfg.NestedCallsUntraced && r.Fate == call.Answered {
		countsForHealth = countsForHealth && result == admit.OK
	}
	g.notifyWaiters(admission.Done(now, admit.Completion{Class: c.Class, Priority: c.Priority, Result: result, Duration: took, NestedWait: nestedCalls.Waited}))
	if countsForHealth {
		g.recordOutcome(now, c, r, result)
	}
	g.closeIfDrained()
	return r
}

// recordOutcome updates the health of the backend server with the outcome of a
// call. The caller holds mu.
func (g *Gate) recordOutcome(now time.Time, c call.Call, r call.Reply, result admit.Result) {
	switch r.Cause {
	case call.CauseUnreachable:
		g.recordRefusedDial(now, fmt.Errorf("call %s", c.ID))
		return
	case call.CauseMoved:
		g.watchReplacement(now, "another server answers at its address")
		g.markLeaving(g.backend.logName(), "another server answers at its address")
		return
	}
	ok := result == admit.OK || result == admit.Shed
	if ok {
		g.lastSuccess = now
		g.refusedDials = 0
	}
	if !g.health.Report(now, ok) {
		return
	}
	g.requestTick()
	if ok {
		g.recordEvent(event.UpstreamBack, g.backend.Address, "trial calls succeeded")
		return
	}
	g.recordEvent(event.UpstreamFailing, g.backend.Address, fmt.Sprintf("calls fail, last %s with status %d %s", c.ID, r.Status, r.Cause))
}

// classify returns the result of a call for admission control. countsForHealth is
// false if the reply says nothing about the server's health.
func classify(r call.Reply) (result admit.Result, countsForHealth bool) {
	switch {
	case r.Shed:
		return admit.Shed, true
	case r.Succeeded():
		return admit.OK, true
	case r.NestedFailure:
		return admit.Failed, false
	case r.Cause == call.CauseDeadline:
		return admit.TimedOut, true
	case r.Cause == call.CauseCanceled, r.Cause == call.CauseCrashesServers, r.Cause == call.CauseDraining:
		return admit.Failed, false
	}
	return admit.Failed, true
}
