package gate

import (
	"context"
	"fmt"
	"time"

	"tanagerchute"
	"tanagerchute/core/admit"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/io/runner"
)

// Serve sends a call to the backend server and returns the reply, or refuses it.
func (g *Gate) Serve(ctx context.Context, c call.Call) call.Reply {
	var r call.Reply
	if c.Key == "" {
		// A call without a key is not repeated by its caller, and each attempt at
		// it arrives here once, so its age by the sender's clock does not matter.
		c.Issued = time.Now()
	}
	if c.AtMostOnce {
		r = runner.Run(ctx, g.records, c, func() call.Reply {
			// A call that has started goes on until its deadline even if the
			// caller disconnects, so that a repeat with the same key finds the
			// answer. A call without a key can't be repeated, so its wait for
			// admission ends when the caller disconnects.
			uncanceled := context.WithoutCancel(ctx)
			if c.Key != "" {
				return g.admitAndRun(uncanceled, uncanceled, c)
			}
			return g.admitAndRun(ctx, uncanceled, c)
		})
	} else {
		r = g.admitAndRun(ctx, ctx, c)
	}
	r.Load, r.Notice = g.state(c)
	r.Node = g.cfg.Node
	r.Replied = true
	return r
}

// admitAndRun applies health check and admission control to a call and sends it
// to the backend server. waitCtx bounds the wait for admission, ctx the call.
func (g *Gate) admitAndRun(waitCtx, ctx context.Context, c call.Call) call.Reply {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	waitCtx, cancelWait := context.WithDeadline(waitCtx, c.Deadline)
	defer cancelWait()
	id := c.Attempt
	admission, ch, refusal := g.requestAdmission(id, c)
	if refusal != nil {
		g.recordRefusal(c, *refusal)
		return *refusal
	}
	if ch != nil {
		if r := g.awaitAdmission(waitCtx, admission, id, ch); r != nil {
			g.recordRefusal(c, *r)
			return *r
		}
	}
	return g.callBackend(ctx, admission, c)
}

// recordRefusal records a refusal in the journal with the load that led to it.
func (g *Gate) recordRefusal(c call.Call, r call.Reply) {
	l := g.Load()
	cause := fmt.Sprintf("%s: %d of %d slots in use, %d wait, %v each", r.Cause, l.InFlight, l.Limit, l.Queued, l.ServiceTime.Round(time.Millisecond))
	if l.RateLimit > 0 {
		cause += fmt.Sprintf(", limit of %.3g a second, next in %v", l.RateLimit, l.QuotaWait.Round(time.Millisecond))
	}
	g.recordCallEvent(event.RequestRefused, c, cause)
}

// requestAdmission offers a call to the admission controller and returns the
// controller. If the call is refused it returns the refusal, if it is queued the
// channel for its admission result, and if it starts at once neither.
func (g *Gate) requestAdmission(id string, c call.Call) (*admit.Controller, chan admissionResult, *call.Reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	admission := g.admission
	if c.Service != g.cfg.Service {
		r := call.Refuse(call.NotRun, call.CauseMoved, 0)
		return admission, nil, &r
	}
	if r := g.refuseHeld(c); r != nil {
		return admission, nil, r
	}
	if r := g.refuseVersion(); r != nil {
		return admission, nil, r
	}
	if g.backend.Address == "" {
		r := call.Refuse(call.NotRun, call.CauseUpstreamFailing, time.Second)
		return admission, nil, &r
	}
	g.adoptNotice(now, c)
	if g.backendLeaving {
		r := call.Refuse(call.NotRun, call.CauseDraining, 0)
		return admission, nil, &r
	}
	if r := g.refuseIfOutlastsStop(now, c); r != nil {
		return admission, nil, r
	}
	if !g.health.Allow(now) {
		r := call.Refuse(call.NotRun, call.CauseUpstreamFailing, time.Second)
		return admission, nil, &r
	}
	it := admit.Item{ID: id, Class: c.Class, Priority: c.Priority, Target: c.Target, Deadline: c.Deadline, WaitUntil: c.WaitUntil, Account: c.Account}
	if c.Depth > 0 {
		it.PossibleWaiters = g.callTracker.Waiting()
	}
	verdict, refusal, displaced := admission.Offer(now, it)
	g.notifyRefused(displaced)
	switch verdict {
	case admit.Start:
		g.inFlight++
		return admission, nil, nil
	case admit.Refuse:
		r := refusalReply(refusal)
		return admission, nil, &r
	}
	ch := make(chan admissionResult, 1)
	if containsID(displaced, id) {
		ch <- admissionResult{refusal: displaced[len(displaced)-1]}
		return admission, ch, nil
	}
	g.waiters[id] = ch
	g.requestTick()
	return admission, ch, nil
}

// containsID reports whether rs has a refusal of the call with the given id.
func containsID(rs []admit.Refusal, id string) bool {
	for _, r := range rs {
		if r.ID == id {
			return true
		}
	}
	return false
}

// refusalReply returns the reply for a call that admission control refused.
func refusalReply(r admit.Refusal) call.Reply {
	if r.Cause == admit.CauseDraining {
		return call.Refuse(call.NotRun, call.CauseDraining, 0)
	}
	return call.Refuse(call.NotRun, string(r.Cause), r.RetryAfter)
}

// awaitAdmission waits for the admission result of a queued call. It returns the
// refusal, or nil if the call has started.
func (g *Gate) awaitAdmission(ctx context.Context, admission *admit.Controller, id string, ch chan admissionResult) *call.Reply {
	var a admissionResult
	select {
	case a = <-ch:
	case <-ctx.Done():
		if r, done := g.cancelWait(ctx, admission, id); done {
			return r
		}
		a = <-ch
	}
	if a.started {
		return nil
	}
	r := refusalReply(a.refusal)
	return &r
}

// cancelWait removes a call from the queue after ctx has ended. It returns false if
// an admission result has already been sent.
func (g *Gate) cancelWait(ctx context.Context, admission *admit.Controller, id string) (*call.Reply, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !admission.Cancel(time.Now(), id) {
		return nil, false
	}
	delete(g.waiters, id)
	r := call.Refuse(call.NotRun, contextCause(ctx), 0)
	return &r, true
}

// callBackend sends the call to the backend server. The call counts as in flight in
// admission until callBackend returns.
func (g *Gate) callBackend(ctx context.Context, admission *admit.Controller, c call.Call) call.Reply {
	g.mu.Lock()
	server := g.backend
	g.callTracker.Start(c.Trace, c.Depth, c.Deadline)
	began := time.Now()
	g.watch.Start(began, c.Attempt, workOf(c))
	late := g.refuseIfOutlastsStop(began, c) // it may have waited
	g.running[c.Attempt] = newRunningCall(c, began)
	g.mu.Unlock()
	var r call.Reply
	if ctx.Err() != nil {
		r = call.Refuse(call.NotRun, call.CauseDeadline, 0)
	} else if late != nil {
		r = *late
	} else if held := g.refuseUnlessTrial(c); held != nil {
		r = *held
		g.recordRefusal(c, r)
	} else {
		var s *tanagerchute.ServerStatement
		r, s = g.client.do(ctx, server, c, func() bool { return g.allowResend(admission, c) })
		if s != nil {
			g.observeStatement(admission, began, c, *s)
		}
	}
	if r.Shed && r.RetryAfter == 0 {
		r.RetryAfter = g.shedRetryAfter()
	}
	took := time.Since(began)
	r = g.finish(admission, c, r, took)
	g.countForRollout(server, c, r, took)
	return r
}

// allowResend reports whether a call may be sent again over a new connection,
// because the server had dropped the idle connection that it was sent over. As for
// any resend, the call has to be idempotent and the retry budget has to allow it. As
// for any request, the server must not be leaving and its rate limit has to allow it.
func (g *Gate) allowResend(admission *admit.Controller, c call.Call) bool {
	if !c.Idempotent() || g.cfg.SpendRetry == nil || !g.takeQuota(admission) || !g.cfg.SpendRetry() {
		return false
	}
	g.recordCallEvent(event.RequestMoved, c, "sent again: the backend server had dropped the idle connection")
	return true
}

// shedRetryAfter returns how long the caller of a call that the server shed should
// wait before a retry.
func (g *Gate) shedRetryAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.RetryAfter(time.Now())
}
