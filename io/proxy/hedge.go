package proxy

import (
	"context"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/pick"
)

// hedgeDelayShare is the share of the time left until the deadline after which
// an unanswered call is hedged.
const hedgeDelayShare = 0.3

// maxSilenceSignals is how often an attempt signals that its node is silent: without an
// acknowledgement in time, and when the link falls silent.
const maxSilenceSignals = 2

// attemptHedged sends the call to first. It hedges the call, that is, sends it to
// a second upstream too, if first does not acknowledge it in time, or if the proxy
// is configured to hedge and first has not answered within the hedge delay. It
// returns the first successful reply, or else the last reply, and cancels the
// other attempt.
func (d *dispatchState) attemptHedged(ctx context.Context, first pick.Candidate) call.Reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan call.Reply, 2)
	silent := make(chan struct{}, 2*maxSilenceSignals)
	start := func(target pick.Candidate) {
		go func() { replies <- d.p.tryCandidate(ctx, target, d.call, func(silence) { silent <- struct{}{} }) }()
	}
	start(first)
	hedgeDue, stop := d.hedgeTimer(first)
	defer stop()
	pending, hedged := 1, false
	for {
		select {
		case r := <-replies:
			pending--
			if pending == 0 || r.Succeeded() {
				return r
			}
			continue
		case <-hedgeDue:
		case <-silent:
		}
		if hedged {
			continue
		}
		if second, ok := d.pickHedge(); ok {
			hedged = true
			pending++
			start(second)
		}
	}
}

// hedgeTimer returns a channel that receives a value when the hedge delay has
// passed, and a function that stops the timer. The channel is nil if the proxy is
// not configured to hedge slow calls, or if the call fills the link of first for so long
// that sending it twice would slow down others.
func (d *dispatchState) hedgeTimer(first pick.Candidate) (<-chan time.Time, func() bool) {
	if !d.p.cfg.Hedge || isBulk(first, d.criteria()) {
		return nil, func() bool { return true }
	}
	t := time.NewTimer(time.Duration(hedgeDelayShare * float64(time.Until(d.call.Deadline))))
	return t.C, t.Stop
}

// pickHedge picks the upstream for a hedged attempt, if the retry budget allows
// one.
func (d *dispatchState) pickHedge() (pick.Candidate, bool) {
	if d.p.cfg.Fleet.Crashes().Judge(d.call.Work, d.call.Service).Suspect || !d.tracker.Hedge() {
		return pick.Candidate{}, false
	}
	c, ok := d.pickUpstream()
	if !ok {
		return pick.Candidate{}, false
	}
	d.tried = append(d.tried, c.target.ID)
	d.p.recordEvent(event.RequestMoved, d.call, "hedged to "+c.target.Addr)
	return c.target, true
}
