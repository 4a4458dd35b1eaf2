package proxy

import (
	"context"
	"slices"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/resend"
	"tanagerchute/core/route"
)

// maxAttempts is the number of backend servers that a call may be sent to, if
// its route does not say.
const defaultMaxAttempts = 3

// dispatch brings a call to an upstream and resends it as far as that is safe.
// local keeps it in this data centre.
func (p *Proxy) dispatch(ctx context.Context, c call.Call, local bool) (call.Reply, AttemptSummary) {
	p.budgets.forService(c.Service).Earn()
	d := &dispatchState{p: p, call: c, local: local}
	d.resend = resend.New(resend.Config{Idempotent: c.Idempotent(), MaxUpstreams: d.attemptLimit(), Deadline: c.Deadline, Spend: d.spendRetryBudget})
	r := d.run(ctx)
	d.summary.Attempts, d.summary.Arrived = d.resend.Attempts()
	d.summary.Attempts += d.hedges
	return r, d.summary
}

// dispatching is one call on its way to an answer.
type dispatchState struct {
	p       *Proxy
	call    call.Call
	local   bool
	tried   []string
	resend  *resend.Tracker
	summary AttemptSummary
	hedges  int
	paid    *choice // for the resend that has been paid for, nil if none has
}

// choice is an upstream with the reason for it.
type choice struct {
	target route.Candidate
	cause  route.Cause
}

func (d *dispatchState) run(ctx context.Context) call.Reply {
	for sent := false; ; sent = true {
		c, ok := d.pickUpstream()
		switch {
		case ok:
		case sent:
			return d.resend.Final()
		default:
			return call.Refuse(call.NotRun, call.CauseNoUpstream, noUpstreamRetryAfter)
		}
		if c.cause != route.CauseLocal {
			d.p.recordEvent(event.RequestMoved, d.call, "to "+c.target.Addr+": "+string(c.cause))
		}
		r := d.attempt(ctx, c.target)
		if !d.resend.Next(time.Now(), r) || ctx.Err() != nil || d.p.cfg.Policy == RoundRobin && !r.FreeResend() {
			return d.resend.Final()
		}
		if r.MayHaveArrived() {
			d.p.recordEvent(event.RequestMoved, d.call, "resent after "+r.Fate.String()+" "+r.Cause)
		}
	}
}

// noneRetry is when a call for which there is no upstream should come back.
const noUpstreamRetryAfter = time.Second

// spend takes a resend from the budget of the call's service, if it may help
// where it would go.
func (d *dispatchState) spendRetryBudget() bool {
	switch d.p.cfg.Policy {
	case RoundRobin:
		return false
	case RetryAlways:
		return true
	}
	c, ok := d.pickUpstream()
	if !ok || d.p.failingTooOften(c.target.ID) || !d.p.SpendRetry(d.call.Service) {
		return false
	}
	d.paid = &c
	return true
}

// hopeless reports whether nothing is to be resent to a candidate.
func (p *Proxy) failingTooOften(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.picker.AvoidResend(id)
}

// most returns the number of backend servers that the call may be sent to.
func (d *dispatchState) attemptLimit() int {
	if d.call.MaxUpstreams > 0 {
		return d.call.MaxUpstreams
	}
	return defaultMaxAttempts
}

// pick chooses the next candidate, or returns the one that has been chosen for a
// resend.
func (d *dispatchState) pickUpstream() (choice, bool) {
	if c := d.paid; c != nil {
		d.paid = nil
		return *c, true
	}
	view := d.p.cfg.Fleet.View()
	var cs []route.Candidate
	for _, m := range view.Upstreams(d.call.Service) {
		cs = append(cs, route.Candidate{
			ID: m.ID, Addr: m.Addr, Slots: m.Slots, Remote: m.DataCentre != view.Self.DataCentre, WarmUntil: m.WarmupEnd,
		})
	}
	if !d.local {
		for _, e := range view.Remote.Entries(d.call.Service) {
			cs = append(cs, route.Candidate{ID: e.Addr, Addr: e.Addr, Slots: e.Slots, Remote: true, Entry: true})
		}
	}
	target, cause, ok := d.p.chooseCandidate(cs, route.Criteria{Exclude: d.tried, LargeResponse: d.call.LargeResponse, Target: d.call.Target})
	return choice{target, cause}, ok
}

func (p *Proxy) chooseCandidate(cs []route.Candidate, ask route.Criteria) (route.Candidate, route.Cause, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cfg.Policy != RoundRobin {
		return p.picker.Pick(time.Now(), cs, ask)
	}
	cs = slices.DeleteFunc(cs, func(c route.Candidate) bool { return c.Remote || slices.Contains(ask.Exclude, c.ID) })
	if len(cs) == 0 {
		return route.Candidate{}, route.CauseNoUpstream, false
	}
	p.roundRobinCount++
	return cs[p.roundRobinCount%uint64(len(cs))], route.CauseLocal, true
}

// attempt sends the call to target, and to a second one if it is slow and may
// run twice.
func (d *dispatchState) attempt(ctx context.Context, target route.Candidate) call.Reply {
	d.tried = append(d.tried, target.ID)
	d.summary.SentTo = target.ID
	if !d.p.cfg.Hedge || !d.call.Idempotent() {
		return d.p.tryCandidate(ctx, target, d.call)
	}
	return d.attemptHedged(ctx, target)
}

// hedgeShare is the share of the time left after which a lookup is sent to a
// second upstream.
const hedgeDelayShare = 0.3

// hedged sends a lookup to a second upstream if the first one has not answered
// for a while, and takes the first good answer. The loser is cancelled.
func (d *dispatchState) attemptHedged(ctx context.Context, first route.Candidate) call.Reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan call.Reply, 2)
	go func() { replies <- d.p.tryCandidate(ctx, first, d.call) }()
	timer := time.NewTimer(time.Duration(hedgeDelayShare * float64(time.Until(d.call.Deadline))))
	defer timer.Stop()
	pending := 1
	for {
		select {
		case r := <-replies:
			pending--
			if pending == 0 || r.Succeeded() {
				return r
			}
		case <-timer.C:
			second, ok := d.pickHedge()
			if !ok {
				continue
			}
			pending++
			d.hedges++
			go func() { replies <- d.p.tryCandidate(ctx, second, d.call) }()
		}
	}
}

// second picks another upstream for a slow lookup, if the budget allows it.
func (d *dispatchState) pickHedge() (route.Candidate, bool) {
	c, ok := d.pickUpstream()
	if !ok || !d.p.SpendRetry(d.call.Service) {
		return route.Candidate{}, false
	}
	d.tried = append(d.tried, c.target.ID)
	d.p.recordEvent(event.RequestMoved, d.call, "hedged to "+c.target.Addr)
	return c.target, true
}

// try makes one attempt at one candidate and settles what became of it.
func (p *Proxy) tryCandidate(ctx context.Context, target route.Candidate, c call.Call) call.Reply {
	id, _ := newID()
	mode := call.Upstream
	if target.Entry {
		mode = call.Entry
	}
	c = c.WithAttempt(id, mode)
	c.From = p.cfg.Node
	c.Version = p.configVersion()
	p.recordSent(target.ID)
	start := time.Now()
	var r call.Reply
	if target.ID == p.cfg.Node {
		r = p.cfg.Gate.Serve(ctx, c)
	} else {
		r = p.send(ctx, target.Addr, c)
	}
	p.recordOutcome(c, target, r, time.Since(start))
	if p.cfg.OnAttempt != nil {
		p.cfg.OnAttempt(c.Service, r)
	}
	if r.Fate == call.Unknown && c.AtMostOnce && target.ID != p.cfg.Node {
		return p.resolveOutcome(ctx, target, c, r)
	}
	return r
}

func (p *Proxy) recordSent(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Sent(time.Now(), id)
}

func (p *Proxy) recordOutcome(c call.Call, target route.Candidate, r call.Reply, took time.Duration) {
	o := route.Outcome{Result: p.routeResult(r), Latency: took, Load: r.Load}
	p.mu.Lock()
	ejected := p.picker.Done(time.Now(), target.ID, o)
	p.mu.Unlock()
	if ejected {
		p.cfg.Journal.Add(event.Event{
			At: time.Now(), Kind: event.UpstreamEjected, Subject: target.ID, Trace: c.Trace,
			Cause: "failures in a row, the last " + r.Fate.String() + " " + r.Cause,
		})
	}
}

func (p *Proxy) routeResult(r call.Reply) route.Result {
	switch {
	case r.Fate == call.Answered && r.Status >= 500 && p.cfg.Untraced:
		return route.AmbiguousError
	case r.Fate == call.Unknown && r.Replied:
		// The gatekeeper answers; it is the backend server that is late or
		// breaks off.
		return route.AmbiguousError
	case r.Fate == call.Answered && (r.Status < 500 || r.NestedFailure):
		return route.Success
	case r.Cause == call.CauseCanceled:
		return route.Refused // says nothing of the candidate
	case r.Fate == call.Answered || r.Cause == call.CauseUpstreamFailing:
		return route.UpstreamError
	case r.Fate == call.NotRun && r.Replied:
		return route.Refused
	}
	return route.TransportError
}
