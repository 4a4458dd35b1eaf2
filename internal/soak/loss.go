package main

import (
	"slices"
	"time"
)

// checkLoss checks that a call whose fate its caller can't know met a fault that
// explains it. Freezes, planned stops, and servers that leave or are slow don't. A call
// with a key may end as unknown while the home of the key is out of reach; its caller
// repeats it, and only the last answer counts.
func (r *Result) checkLoss(e *Evidence, x *Call) {
	if x.Repeated {
		return
	}
	rule := NoFault
	if stops := e.stopsAround(x); len(stops) > 0 {
		rule = StopCuts
		takerStops := slices.ContainsFunc(stops, func(s Injection) bool { return s.Node == x.Node })
		if slices.ContainsFunc(stops, func(s Injection) bool {
			// If the node that took the call stops, only its own grace period excuses a loss.
			counts := s.Node == x.Node || !takerStops
			return !e.stopIsClean(s) || counts && x.lost() && e.worksInLastSixth(s, x) || e.frozenAsStopEnds(s, x)
		}) {
			return
		}
	}
	if len(e.stopsAround(x)) > 0 && (x.Stalled || e.crossedClose(x)) {
		return // a stop does not await a body that does not arrive, nor a request that it can't know of
	}
	if e.explained(x) {
		return
	}
	pastDeadline := x.Outcome == "unknown" && x.Got.Sub(x.Sent) >= answerWithin
	r.check(rule, !x.lost() || pastDeadline, "%v; %v", x, describeRuns(e.Runs[x.Key]))
}

// stopsAround returns the planned stops of nodes that had a part in a call.
func (e *Evidence) stopsAround(x *Call) []Injection {
	var out []Injection
	for _, i := range e.Injections {
		if i.Kind == Stop && i.touches(e.nodesOf(x)) && x.Sent.Before(i.Exited) && x.Got.After(i.Began) {
			out = append(out, i)
		}
	}
	return out
}

// worksInLastSixth reports whether a planned stop may give up a call: it was sent soon after the
// signal, and a server worked on it in the last sixth of the grace period.
func (e *Evidence) worksInLastSixth(stop Injection, x *Call) bool {
	grace := time.Duration(float64(e.Drain.Timeout.Std()) / drainShare)
	lastSixth := stop.Began.Add(grace * 5 / 6)
	if x.Sent.After(stop.Began.Add(longWorkSent)) {
		return false
	}
	return slices.ContainsFunc(e.Runs[x.Key], func(r Run) bool {
		return r.At.Before(stop.Exited) && r.endOr(stop.Exited).After(lastSixth)
	})
}

// frozenAsStopEnds reports whether the node that took a call told its caller at the end of its own
// planned stop that the fate of the call is unknown, while the node that ran the call last was
// frozen, so that its answer could not come.
func (e *Evidence) frozenAsStopEnds(stop Injection, x *Call) bool {
	runs := e.Runs[x.Key]
	if stop.Node != x.Node || x.Outcome != "unknown" || x.Got.Before(stop.Began.Add(e.Drain.Timeout.Std())) || len(runs) == 0 {
		return false
	}
	last := slices.MaxFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) })
	return slices.ContainsFunc(e.Injections, func(i Injection) bool {
		return i.Kind == Freeze && i.Node == last.Node && i.Began.Before(x.Got) && i.Ended.After(x.Got)
	})
}

// crossedClose reports whether a call may have been sent as its connection was closed, so that its
// node has not read it.
func (e *Evidence) crossedClose(x *Call) bool {
	return x.Err != nil && len(e.Runs[x.Key]) == 0 && x.Got.Sub(x.Sent) <= crossingTime
}

// explained reports whether the loss of a call is explained by a fault. If no ledger
// names the node that the call went to, it may have been any.
func (e *Evidence) explained(x *Call) bool {
	if x.Err == nil && e.entryLost(x) {
		return true
	}
	calm := calmTime
	if x.Class.keyed {
		calm = keyCalmTime
	}
	nodes := e.nodesOf(x)
	for _, i := range e.Injections {
		if !i.around(x.First.Add(-calm), x.Got) || !i.breaksCalls() {
			continue
		}
		if i.Kind == Foreign && x.Err != nil {
			continue // it explains that the fate of the call is unknown, and not a closed connection
		}
		if x.Class.keyed || len(nodes) == 1 || i.touches(nodes) {
			return true
		}
	}
	return false
}
