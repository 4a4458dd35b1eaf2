package proxy

import (
	"context"
	"fmt"
	"slices"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/pick"
	"tanagerchute/core/resend"
)

// defaultMaxUpstreams is the number of backend servers that a call may be sent to
// if its route sets no limit.
const defaultMaxUpstreams = 3

// dispatch sends a call to an upstream and, where that is safe, resends it to
// others. If local is set, it does not use the entry nodes of other data centres.
func (p *Proxy) dispatch(ctx context.Context, c call.Call, local bool) (call.Reply, AttemptSummary) {
	judgement := p.cfg.Fleet.Crashes().Judge(c.Work, c.Service)
	if judgement.Held {
		return p.refuseHeld(c, judgement), AttemptSummary{}
	}
	p.budgets.forService(c.Service).Earn()
	d := &dispatchState{p: p, call: c, local: local, trialNode: judgement.TrialNode}
	d.tracker = resend.New(resend.Config{Idempotent: c.Idempotent(), MaxUpstreams: d.maxUpstreams(), Deadline: c.Deadline, Spend: d.spendRetryBudget})
	r := d.run(ctx)
	d.summary.Attempts, d.summary.Arrived = d.tracker.Attempts()
	return r, d.summary
}

// dispatchState is the state of one call while it is dispatched.
type dispatchState struct {
	p          *Proxy
	call       call.Call
	local      bool     // use no entry nodes of other data centres
	trialNode  string   // id of the only node that may run it, empty if any may
	broken     int      // attempts that got no complete answer of the backend server
	tried      []string // ids of the candidates that it was sent to
	tracker    *resend.Tracker
	summary    AttemptSummary
	refused    bool    // the last attempt was refused for load
	paidResend *choice // where to resend to, nil if the retry budget has not been charged
	// versionChosen is set once it is decided whether the call goes to a version that gets
	// a share of the calls.
	versionChosen bool
}

// choice is a chosen upstream with the reason for choosing it.
type choice struct {
	target pick.Candidate
	cause  pick.Cause
}

// run sends the call to one upstream after another until it has a reply for the
// caller.
func (d *dispatchState) run(ctx context.Context) call.Reply {
	for sent := false; ; sent = true {
		c, ok := d.pickUpstream()
		latest := d.p.latestStart(d.call)
		ended := !latest.IsZero() && time.Now().After(latest)
		switch {
		case ok && !ended:
		case ended && !sent:
			return call.Refuse(call.NotRun, call.CauseDraining, stoppingRetryAfter)
		case sent:
			if d.refused {
				d.p.recordEvent(event.RequestNotMoved, d.call, fmt.Sprintf("refused by %d upstreams, the others refuse many such calls too", len(d.tried)))
			}
			return d.tracker.Final()
		default:
			return call.Refuse(call.NotRun, call.CauseNoUpstream, noUpstreamRetryAfter)
		}
		switch {
		case c.cause == pick.CauseLocal:
		case c.cause.IsSpill():
			d.p.recordEvent(event.RequestSpilled, d.call, "to "+c.target.Addr+": "+string(c.cause))
		default:
			d.p.recordEvent(event.RequestMoved, d.call, "to "+c.target.Addr+": "+string(c.cause))
		}
		r := d.attempt(ctx, c.target)
		if r.Replied && r.Cause == call.CauseBrokenAnswer {
			d.broken++
		}
		d.refused = r.RefusedForLoad()
		if !d.tracker.Next(time.Now(), r) || ctx.Err() != nil || d.p.cfg.Policy == RoundRobin && !r.ResendIsFree() {
			return d.tracker.Final()
		}
		if r.MayHaveArrived() {
			d.p.recordEvent(event.RequestMoved, d.call, "resent after "+r.Fate.String()+" "+r.Cause)
		}
	}
}

// stoppingRetryAfter is the Retry-After time of a call that arrives when the node is
// about to stop. Its caller can go to another node at once.
const stoppingRetryAfter = 100 * time.Millisecond

// noUpstreamRetryAfter is the Retry-After time of a call for which no upstream is
// available.
const noUpstreamRetryAfter = time.Second

// spendRetryBudget charges one resend to the retry budget of the call's service
// and keeps the upstream it chose for that resend. It returns false if the
// budget is exhausted, if there is no upstream left, or if the chosen upstream
// fails so often that resending there is of no use. The baseline policies do not
// use the budget: RoundRobin does not resend, RetryAlways resends without it.
func (d *dispatchState) spendRetryBudget() bool {
	switch d.p.cfg.Policy {
	case RoundRobin:
		return false
	case RetryAlways:
		return true
	}
	if d.mayCrashServers() {
		return false
	}
	c, ok := d.pickUpstream()
	if !ok || d.p.avoidResend(c.target.ID) || !d.p.SpendRetry(d.call.Service) {
		return false
	}
	d.paidResend = &c
	return true
}

// avoidResend reports whether a candidate fails too often to resend calls to it.
func (p *Proxy) avoidResend(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.picker.AvoidResend(id)
}

// maxUpstreams returns the number of backend servers that the call may be sent
// to.
func (d *dispatchState) maxUpstreams() int {
	if d.call.MaxUpstreams > 0 {
		return d.call.MaxUpstreams
	}
	return defaultMaxUpstreams
}

// pickUpstream returns the next upstream to send the call to. That is the one
// that spendRetryBudget chose, if it has not been used yet.
func (d *dispatchState) pickUpstream() (choice, bool) {
	if c := d.paidResend; c != nil {
		d.paidResend = nil
		return *c, true
	}
	criteria := d.criteria()
	cs := d.selectVersion(d.p.candidates.get(d.p.cfg.Fleet.View(), d.call.Service))
	if d.trialNode != "" {
		target, cause, ok := d.p.chooseCandidate(onlyNode(cs.all(d.local), d.trialNode), criteria)
		return choice{target, cause}, ok
	}
	target, cause, ok := d.p.chooseCandidate(cs.used(d.local), criteria)
	if cs.isSubset && (!ok || cause == pick.CausePanic) {
		target, cause, ok = d.p.chooseCandidate(cs.all(d.local), criteria)
	}
	return choice{target, cause}, ok
}

// criteria returns what the choice of an upstream for the call depends on.
func (d *dispatchState) criteria() pick.Criteria {
	c := d.p.linkCriteria(d.call, int64(len(d.call.Body)))
	c.Exclude = d.tried
	c.Refused = d.refused
	return c
}

// chooseCandidate chooses one of cs by the policy of the proxy.
func (p *Proxy) chooseCandidate(cs []pick.Candidate, criteria pick.Criteria) (pick.Candidate, pick.Cause, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cfg.Policy != RoundRobin {
		return p.picker.Pick(time.Now(), cs, criteria)
	}
	cs = slices.DeleteFunc(slices.Clone(cs), func(c pick.Candidate) bool { return c.Remote || slices.Contains(criteria.Exclude, c.ID) })
	if len(cs) == 0 {
		return pick.Candidate{}, pick.CauseNoUpstream, false
	}
	p.roundRobinCount++
	return cs[p.roundRobinCount%uint64(len(cs))], pick.CauseLocal, true
}

// attempt sends the call to target. An idempotent call may be hedged.
func (d *dispatchState) attempt(ctx context.Context, target pick.Candidate) call.Reply {
	d.tried = append(d.tried, target.ID)
	d.summary.SentTo = target.ID
	if !d.call.Idempotent() {
		return d.p.tryCandidate(ctx, target, d.call, func(silence) {})
	}
	return d.attemptHedged(ctx, target)
}

// tryCandidate makes one attempt at one candidate. It calls onSilent if the
// candidate is silent, see send.
func (p *Proxy) tryCandidate(ctx context.Context, target pick.Candidate, c call.Call, onSilent func(silence)) call.Reply {
	id, _ := newID()
	mode := call.Upstream
	if target.Entry {
		mode = call.Entry
	}
	c = c.WithAttempt(id, mode).WithNotice(p.notices.get(target.Addr))
	c.From = p.cfg.Node
	c.Version = p.configVersion()
	p.recordSent(target, c)
	start := time.Now()
	r := p.sendTo(ctx, target, c, func(s silence) {
		p.recordSilent(c, target, s)
		onSilent(s)
	})
	p.recordOutcome(c, target, r, time.Since(start))
	if p.links.bounded() {
		p.links.sizes.observe(c, r)
	}
	if r.Replied && !target.Entry {
		p.notices.record(time.Now(), target.Addr, r.Notice)
	}
	if p.cfg.OnAttempt != nil {
		p.cfg.OnAttempt(c.Service, r)
	}
	return r
}

// sendTo sends an attempt to its target, which may be this node.
func (p *Proxy) sendTo(ctx context.Context, target pick.Candidate, c call.Call, onSilent func(silence)) call.Reply {
	switch {
	case target.ID == p.cfg.Node:
		enterStep(ctx, stepOwnServer)
		return p.serveLocally(ctx, c)
	case c.AtMostOnce:
		enterStep(ctx, stepPeer)
		return p.sendAtMostOnce(ctx, target, c, onSilent)
	}
	enterStep(ctx, stepPeer)
	return p.send(ctx, target.Addr, c, onSilent)
}

// serveLocally sends an attempt to the own backend server. An at-most-once call goes
// on there when its caller has left, but not its caller when a planned stop ends.
func (p *Proxy) serveLocally(ctx context.Context, c call.Call) call.Reply {
	if !c.AtMostOnce {
		return p.cfg.Gate.Serve(ctx, c)
	}
	reply := make(chan call.Reply, 1)
	go func() { reply <- p.cfg.Gate.Serve(ctx, c) }()
	select {
	case r := <-reply:
		return r
	case <-p.stopping.ended.Done():
		return call.Refuse(call.Unknown, call.CauseAnswerLost, 0)
	}
}

// recordSent tells the picker that a call is sent to a candidate.
func (p *Proxy) recordSent(target pick.Candidate, c call.Call) {
	criteria := p.linkCriteria(c, int64(len(c.Body)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Sent(time.Now(), target.ID)
	p.picker.SentBulk(target, criteria)
}

// recordSilent tells the picker that a candidate is silent.
func (p *Proxy) recordSilent(c call.Call, target pick.Candidate, s silence) {
	if p.recordSilence(target.ID, s) {
		p.recordEjection(c, target, call.CauseSilent)
	}
}

// recordSilence implements recordSilent. It reports whether the candidate is ejected.
func (p *Proxy) recordSilence(id string, s silence) (ejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.heardAt.IsZero() {
		return p.picker.Silent(time.Now(), id)
	}
	return p.picker.LinkSilent(time.Now(), id, s.heardAt)
}

// recordOutcome tells the picker how an attempt ended.
func (p *Proxy) recordOutcome(c call.Call, target pick.Candidate, r call.Reply, took time.Duration) {
	o := pick.Outcome{Result: p.attemptResult(c, target, r), Latency: took, Load: r.Load, Class: c.Class}
	p.mu.Lock()
	ejected := p.picker.Done(time.Now(), target.ID, o)
	p.mu.Unlock()
	if ejected {
		p.recordEjection(c, target, r.Fate.String()+" "+r.Cause)
	}
}

// attemptResult classifies the reply to an attempt. A bulk call that got no reply by its
// deadline says nothing, since the link of the candidate may be full; silence tells whether
// the node works. If the node has replied, its backend server was late.
func (p *Proxy) attemptResult(c call.Call, target pick.Candidate, r call.Reply) pick.Result {
	if r.Cause == call.CauseDeadline && !r.Replied && isBulk(target, p.linkCriteria(c, int64(len(c.Body)))) {
		return pick.Unjudged
	}
	return p.pickResult(r)
}

// recordEjection records that a candidate is ejected after the given failure.
func (p *Proxy) recordEjection(c call.Call, target pick.Candidate, failure string) {
	p.cfg.Journal.Add(event.Event{
		At: time.Now(), Kind: event.UpstreamEjected, Subject: target.ID, Trace: c.Trace,
		Cause: "consecutive failures, the last: " + failure,
	})
}

// pickResult classifies a reply by what it says about the health of the
// candidate.
func (p *Proxy) pickResult(r call.Reply) pick.Result {
	switch {
	case r.Fate == call.Answered && r.Status >= 500 && p.cfg.NestedCallsUntraced:
		return pick.AmbiguousError
	case r.Fate == call.Unknown && r.Replied:
		// The gatekeeper has replied, so the node is reachable. Its backend
		// server was late or closed the connection.
		return pick.AmbiguousError
	case r.Fate == call.Answered && (r.Status < 500 || r.NestedFailure):
		return pick.Success
	case r.Cause == call.CauseCanceled, r.Cause == call.CauseSilent, r.Cause == call.CauseLinkFull, r.Cause == call.CauseMemoryFull:
		return pick.Unjudged // given up by the caller, recorded by recordSilent, or fit for small calls
	case r.Fate == call.Answered || r.Cause == call.CauseUpstreamFailing:
		return pick.UpstreamError
	case r.Fate == call.NotRun && r.Replied:
		return pick.Refused
	}
	return pick.TransportError
}
