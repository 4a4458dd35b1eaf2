package gate

import (
	"context"
	"fmt"
	"time"

	"tanagerchute/core/admit"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/io/keep"
)

// Serve runs a call at the backend server, or refuses it.
func (g *Gate) Serve(ctx context.Context, c call.Call) call.Reply {
	var r call.Reply
	if c.Key == "" {
		// The attempt comes here once, so the sender's clock does not matter.
		c.Issued = time.Now()
	}
	if c.AtMostOnce {
		r = keep.Run(ctx, g.records, c, func() call.Reply {
			// The work goes on when its caller has gone: a repeat is to find
			// the answer. Its deadline still ends it. Without a key there can
			// be no repeat, and what has not started need not start.
			whole := context.WithoutCancel(ctx)
			if c.Key != "" {
				return g.admitted(whole, whole, c)
			}
			return g.admitted(ctx, whole, c)
		})
	} else {
		r = g.admitted(ctx, ctx, c)
	}
	r.Load = g.Load()
	r.Node = g.cfg.Node
	r.Replied = true
	return r
}

// admitted brings a call through health and admission and runs it. wait ends
// the wait for admission, and ctx the run.
func (g *Gate) admitted(wait, ctx context.Context, c call.Call) call.Reply {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	wait, cancelWait := context.WithDeadline(wait, c.Deadline)
	defer cancelWait()
	id := c.Attempt
	gate, ch, refusal := g.offer(id, c)
	if refusal != nil {
		g.noteRefusal(c, *refusal)
		return *refusal
	}
	if ch != nil {
		if r := g.await(wait, gate, id, ch); r != nil {
			g.noteRefusal(c, *r)
			return *r
		}
	}
	return g.run(ctx, gate, c)
}

// noteRefusal journals a refusal with what decided it.
func (g *Gate) noteRefusal(c call.Call, r call.Reply) {
	l := g.Load()
	g.callEvent(event.RequestRefused, c, fmt.Sprintf("%s: %d of %d slots in use, %d wait, %v each",
		r.Cause, l.InFlight, l.Limit, l.Queued, l.ServiceTime.Round(time.Millisecond)))
}

// offer asks for admission. A nil channel and a nil refusal mean that the call
// has started.
func (g *Gate) offer(id string, c call.Call) (*admit.Controller, chan admitted, *call.Reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	gate := g.admit
	if c.Service != g.cfg.Service {
		r := call.Refuse(call.NotRun, call.CauseMoved, 0)
		return gate, nil, &r
	}
	if g.backend.Address == "" {
		r := call.Refuse(call.NotRun, call.CauseUpstreamFailing, time.Second)
		return gate, nil, &r
	}
	if g.left {
		r := call.Refuse(call.NotRun, call.CauseDraining, 0)
		return gate, nil, &r
	}
	if !g.health.Allow(now) {
		r := call.Refuse(call.NotRun, call.CauseUpstreamFailing, time.Second)
		return gate, nil, &r
	}
	it := admit.Item{ID: id, Priority: c.Priority, Target: c.Target, Deadline: c.Deadline, WaitUntil: c.WaitUntil}
	if c.Depth > 0 {
		it.PossibleWaiters = g.flights.Waiting()
	}
	verdict, refusal, displaced := gate.Offer(now, it)
	g.tellRefused(displaced)
	switch verdict {
	case admit.Start:
		g.running++
		return gate, nil, nil
	case admit.Refuse:
		r := refuse(refusal)
		return gate, nil, &r
	}
	ch := make(chan admitted, 1)
	if selfDisplaced(displaced, id) {
		ch <- admitted{refusal: displaced[len(displaced)-1]}
		return gate, ch, nil
	}
	g.waiting[id] = ch
	g.wakeUp()
	return gate, ch, nil
}

func selfDisplaced(rs []admit.Refusal, id string) bool {
	for _, r := range rs {
		if r.ID == id {
			return true
		}
	}
	return false
}

func refuse(r admit.Refusal) call.Reply {
	if r.Cause == admit.CauseDraining {
		return call.Refuse(call.NotRun, call.CauseDraining, 0)
	}
	return call.Refuse(call.NotRun, string(r.Cause), r.RetryAfter)
}

// await waits for admission. It returns a refusal, or nil once the call has
// started.
func (g *Gate) await(ctx context.Context, gate *admit.Controller, id string, ch chan admitted) *call.Reply {
	var a admitted
	select {
	case a = <-ch:
	case <-ctx.Done():
		if r, done := g.giveUp(gate, id, ch); done {
			return r
		}
		a = <-ch
	}
	if a.start {
		g.mu.Lock()
		g.running++
		g.mu.Unlock()
		return nil
	}
	r := refuse(a.refusal)
	return &r
}

// giveUp takes a waiting call back. It reports false if the call was told
// something in the same moment.
func (g *Gate) giveUp(gate *admit.Controller, id string, ch chan admitted) (*call.Reply, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !gate.Cancel(id) {
		return nil, false
	}
	delete(g.waiting, id)
	r := call.Refuse(call.NotRun, call.CauseCanceled, 0)
	return &r, true
}

// run makes the call to the backend server. The call counts as in flight at
// gate until run returns.
func (g *Gate) run(ctx context.Context, gate *admit.Controller, c call.Call) call.Reply {
	g.mu.Lock()
	server := g.backend
	g.flights.Start(c.Trace, c.Depth, c.Deadline)
	g.mu.Unlock()
	began := time.Now()
	var r call.Reply
	if ctx.Err() != nil {
		r = call.Refuse(call.NotRun, call.CauseDeadline, 0)
	} else {
		r = g.client.do(ctx, server, c, func() bool { return g.repeat(c) })
	}
	if r.Shed && r.RetryAfter == 0 {
		r.RetryAfter = g.comeBack()
	}
	return g.finished(gate, c, r, time.Since(began))
}

// repeat reports whether a call may be sent again whose connection the server
// had forgotten: as any resend, only if it is safe and within the budget.
func (g *Gate) repeat(c call.Call) bool {
	if !c.Idempotent() || g.cfg.Spend == nil || !g.cfg.Spend() {
		return false
	}
	g.callEvent(event.RequestMoved, c, "sent again: the backend server had forgotten its connection")
	return true
}

// comeBack returns when a call that the server shed should come back.
func (g *Gate) comeBack() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admit.RetryAfter(time.Now())
}

// finished notes that a call has ended and returns its reply, marked if it
// failed for a call below.
func (g *Gate) finished(gate *admit.Controller, c call.Call, r call.Reply, took time.Duration) call.Reply {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.running--
	flown := g.flights.End(now, c.Trace, c.Depth)
	r.NestedFailure = flown.Failed && r.Fate == call.Answered && r.Status >= 500
	result, judged := resultOf(r)
	if g.cfg.Untraced && r.Fate == call.Answered {
		judged = judged && result == admit.OK
	}
	g.tell(gate.Done(now, admit.Completion{Priority: c.Priority, Result: result, Duration: took, NestedWait: flown.Waited}))
	if judged {
		g.judge(now, c, r, result)
	}
	g.checkIdle()
	return r
}

// judge lets the outcome of real work decide on the health of the server.
func (g *Gate) judge(now time.Time, c call.Call, r call.Reply, result admit.Result) {
	switch r.Cause {
	case call.CauseUnreachable:
		g.unreachable(now, fmt.Errorf("call %s", c.ID))
		return
	case call.CauseMoved:
		g.leave(g.backend.name(), "another server answers at its address")
		return
	}
	ok := result == admit.OK || result == admit.Shed
	if ok {
		g.worked = now
		g.refused = 0
	}
	if !g.health.Report(now, ok) {
		return
	}
	g.wakeUp()
	if ok {
		g.event(event.UpstreamBack, g.backend.Address, "trial calls succeeded")
		return
	}
	g.event(event.UpstreamFailing, g.backend.Address, fmt.Sprintf("calls fail, last %s with status %d %s", c.ID, r.Status, r.Cause))
}

// resultOf judges a reply for admission. judged is false if it says nothing
// about the server's health.
func resultOf(r call.Reply) (result admit.Result, judged bool) {
	switch {
	case r.Shed:
		return admit.Shed, true
	case r.Succeeded():
		return admit.OK, true
	case r.NestedFailure:
		return admit.Failed, false
	case r.Cause == call.CauseDeadline:
		return admit.TimedOut, true
	case r.Cause == call.CauseCanceled:
		return admit.Failed, false
	}
	return admit.Failed, true
}
