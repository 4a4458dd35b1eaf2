package proxy

import (
	"net/http"
	"time"

	"tanagerchute"
	"tanagerchute/core/call"
	"tanagerchute/core/waits"
)

// limitDeadline shortens the deadline of a call if its caller, or the call that
// it is nested in, has less time left than its class allows. WaitUntil and Target
// are limited to the deadline.
func (p *Proxy) limitDeadline(c *call.Call, info tanagerchute.RequestInfo, in ingressRequest) *rejection {
	if info.TimeLeft > 0 {
		*c = c.WithDeadline(c.CallerDeadline, call.ByCaller)
	}
	if c.Deadline.IsZero() {
		return newRejection(http.StatusBadRequest, "neither the request nor its route has a deadline")
	}
	if in.origin.Backend {
		if parentDeadline, ok := p.cfg.Gate.Deadline(in.trace); ok {
			*c = c.WithDeadline(parentDeadline, call.ByEnclosingCall)
		}
	}
	c.AskedAt = in.arrivedAt.Add(-p.waitedBefore(c, info, in.arrivedAt))
	c.WaitUntil = earlier(c.WaitUntil, c.Deadline)
	if by := p.latestStart(*c); !by.IsZero() {
		c.WaitUntil = earlier(c.WaitUntil, by)
	}
	if !c.Target.IsZero() {
		c.Target = earlier(c.Target, c.Deadline).Add(-in.arrivedAt.Sub(c.AskedAt))
	}
	return nil
}

// waitedBefore returns how long the caller had been waiting at least when its request
// arrived, because an earlier request of it was refused. A nested call with little
// time left counts as well: the call that made it is late.
func (p *Proxy) waitedBefore(c *call.Call, info tanagerchute.RequestInfo, arrivedAt time.Time) time.Duration {
	if info.TimeLeft <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waits.Observe(arrivedAt, c.Class, info.TimeLeft)
}

// rememberRefusal records that the caller of a refused call was told when to come back.
func (p *Proxy) rememberRefusal(c call.Call, r call.Reply) {
	if r.Fate != call.NotRun || r.RetryAfter <= 0 || c.CallerDeadline.IsZero() {
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waits.Refused(now, waits.Refusal{Route: c.Class, Deadline: c.CallerDeadline, AskedAt: c.AskedAt, ReturnAt: now.Add(r.RetryAfter)})
}

// earlier returns the earlier of two times, ignoring a zero time.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
