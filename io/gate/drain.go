package gate

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/stop"
)

// PrepareStop announces a planned stop of the node. The gate goes on to accept calls until
// StartDrain, those that may last beyond the end of the stop excepted.
func (g *Gate) PrepareStop(plan stop.Plan) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopPlan = plan
}

// refuseIfOutlastsStop returns the refusal of a call that might still run at the end of a
// planned stop if it started now, nil for any other call. The caller holds mu. A call of another
// node is looked at more closely: the sender may stop as well, and have no time left to send it
// elsewhere when it is given up here. For one of a caller of this node that would not help, since
// its answer has to pass through here.
func (g *Gate) refuseIfOutlastsStop(now time.Time, c call.Call) *call.Reply {
	longest := g.durations.Longest(now, c.Class)
	mayStart := g.stopPlan.MayStart(now, c.Deadline, longest)
	if c.From != g.cfg.Node {
		mayStart = mayStart && g.stopPlan.MayStartForOther(c.Deadline)
	}
	if mayStart {
		return nil
	}
	g.recordCallEvent(event.RequestOutlastsStop, c, fmt.Sprintf("%v before the end of the stop, the backend server has worked for up to %v on a call of class %s of late, deadline in %v",
		g.stopPlan.End.Sub(now).Round(time.Millisecond), longest.Round(time.Millisecond), c.Class, c.Deadline.Sub(now).Round(time.Millisecond)))
	r := call.Refuse(call.NotRun, call.CauseDraining, 0)
	return &r
}

// runningCall is a call that the backend server works on.
type runningCall struct {
	call  call.Call // without its body
	began time.Time
}

// newRunningCall returns c, which begins now.
func newRunningCall(c call.Call, now time.Time) runningCall {
	c.Body, c.Header = nil, nil
	return runningCall{c, now}
}

// RecordUnfinished records the calls that the backend server works on as the planned stop ends.
func (g *Gate) RecordUnfinished() {
	now := time.Now()
	g.mu.Lock()
	calls := slices.Collect(maps.Values(g.running))
	g.mu.Unlock()
	for _, r := range calls {
		g.recordCallEvent(event.StopCutsCall, r.call, fmt.Sprintf("from %s, class %s, began %v ago, deadline in %v",
			r.call.From, r.call.Class, now.Sub(r.began).Round(time.Millisecond), r.call.Deadline.Sub(now).Round(time.Millisecond)))
	}
}

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
