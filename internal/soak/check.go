package main

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the checks.
const (
	calmTime      = 3 * time.Second        // without a fault, before a call or a stop that must not fail
	keyCalmTime   = 10 * time.Second       // the same before the first call under a key, which depends on the homes of the key
	stopMargin    = 2 * time.Second        // of a planned stop, beyond drain.timeout or drain.linger
	leaveBound    = 3 * time.Second        // after which a server that leaves gets no new work
	noticeTime    = 500 * time.Millisecond // after which the node of a server knows its rate limit
	limitWindow   = 4 * time.Second        // in which calls under a rate limit are counted
	limitFactor   = 1.5
	limitSlack    = 5                // calls
	versionBound  = 7 * time.Second  // after which a version is in force everywhere
	recoveryBound = 10 * time.Second // after the last fault, until all nodes serve again
	steadyTime    = 2 * time.Second  // in which they are observed then
	lateBound     = 2 * time.Second  // of an answer after the deadline of its call
	// drainShare is the part of the grace period of a planned stop after which calls are given up.
	drainShare = 0.85
	// longWorkSent is how long after the signal a call may be sent that is given up since its
	// work goes on in the last sixth of the grace period.
	longWorkSent = 3 * time.Second
	// crossingTime is the longest time between a request and the end of its connection in which
	// they may have crossed.
	crossingTime = 200 * time.Millisecond
)

// Rule is what a check looks for.
type Rule string

// Rules.
const (
	Twice     Rule = "work that may run once runs once"
	NotRun    Rule = "not_run is true"
	OwnAnswer Rule = "a successful answer is whole and the caller's own"
	InOrder   Rule = "pipelined calls are answered in their order"
	Ran       Rule = "what was answered has run"
	StopCuts  Rule = "a planned stop cuts no call"
	NoFault   Rule = "no call is lost without a fault that explains it"
	StopEnds  Rule = "a planned stop ends in time, with status 0"
	NoNewWork Rule = "a server that left gets no new work"
	KeptLimit Rule = "all nodes together keep the rate limit of a server"
	InForce   Rule = "a version is in force in time"
	NoReturn  Rule = "no node goes back to an older version"
	Answered  Rule = "each call is answered by its deadline"
	Revoked   Rule = "a withdrawn key runs nothing after the bound"
	Account   Rule = "a server is told the account of a call"
	NoKey     Rule = "a server is told no key"
	InMemory  Rule = "a node stays within its memory"
	Serving   Rule = "all nodes serve again in time after the last fault"
)

// Finding is a broken rule.
type Finding struct {
	Rule Rule
	Text string
}

// Result is the result of all checks.
type Result struct {
	Checked  map[Rule]int // how often a rule could have been broken
	Findings []Finding
}

func (r *Result) check(rule Rule, ok bool, format string, args ...any) {
	r.Checked[rule]++
	if !ok {
		r.Findings = append(r.Findings, Finding{rule, fmt.Sprintf(format, args...)})
	}
}

// Check checks all rules.
func Check(e *Evidence) *Result {
	r := &Result{Checked: map[Rule]int{}}
	r.checkWork(e)
	for _, x := range e.Calls {
		r.checkAnswer(e, x)
		r.checkLoss(e, x)
	}
	r.checkStops(e)
	r.checkLeaving(e)
	r.checkLimits(e)
	r.checkVersions(e)
	r.checkKeys(e)
	r.checkServing(e)
	r.checkMemory(e)
	return r
}

// checkWork compares the ledgers with the answers to all calls for the same work.
func (r *Result) checkWork(e *Evidence) {
	byKey := map[string][]*Call{}
	for _, x := range e.Calls {
		byKey[x.Key] = append(byKey[x.Key], x)
	}
	for key, calls := range byKey {
		if !calls[0].atMostOnce() {
			continue
		}
		runs := e.Runs[key]
		r.check(Twice, len(runs) <= 1, "%s ran %d times: %v; %v", key, len(runs), describeRuns(runs), calls)
		if !slices.ContainsFunc(calls, func(x *Call) bool { return x.Err != nil || x.Outcome != "not_run" }) {
			r.check(NotRun, len(runs) == 0, "%s ran, but all answers were not_run: %v; %v", key, describeRuns(runs), calls)
		}
	}
}

func describeRuns(runs []Run) []string {
	var out []string
	for _, r := range runs {
		state := "no end recorded"
		if !r.End.IsZero() {
			state = fmt.Sprintf("ended %s, canceled %v", clock(r.End), r.Canceled)
		}
		out = append(out, fmt.Sprintf("at node %d from %s, %s", r.Node, clock(r.At), state))
	}
	return out
}

// checkAnswer checks what can be told from a single answer.
func (r *Result) checkAnswer(e *Evidence, x *Call) {
	if x.Pipelined && x.Err == nil {
		r.check(InOrder, x.AnswerOf == "", "%v: it got the answer to %s", x, x.AnswerOf)
	}
	if x.succeeded() {
		r.check(OwnAnswer, x.Foreign == "" || e.answeredShort(x), "%v: %s", x, x.Foreign)
		r.check(Ran, len(e.Runs[x.Key]) > 0, "%v, but it did not run", x)
	}
	for _, i := range e.Injections {
		if i.touches([]int{x.Node}) && i.around(x.Sent, x.Got) {
			return // a node that is frozen or killed answers nothing
		}
	}
	r.check(Answered, x.Got.Sub(x.Sent) < answerWithin+lateBound, "%v", x)
}

// answeredShort reports whether an answer is the one that a server gives which sends
// more than one: it names just the request, under the id that the ledger has for it.
func (e *Evidence) answeredShort(x *Call) bool {
	return slices.ContainsFunc(e.Runs[x.Key], func(r Run) bool { return x.Body == "answer to "+r.Request })
}

func (r *Result) checkStops(e *Evidence) {
	bound := max(e.Drain.Timeout.Std(), e.Drain.Linger.Std()) + stopMargin
	for _, s := range e.Injections {
		if s.Kind != Stop || !e.stopIsClean(s) {
			continue
		}
		took := s.Exited.Sub(s.Began)
		r.check(StopEnds, s.Err == nil && s.Status == 0 && took <= bound,
			"node %d, SIGTERM at %s: status %d after %v, bound %v, error %v", s.Node, clock(s.Began), s.Status, took, bound, s.Err)
	}
}

// checkLeaving checks that a server that has announced its stop gets no new work.
func (r *Result) checkLeaving(e *Evidence) {
	for _, i := range e.Injections {
		if i.Kind != Leave || i.Acked.IsZero() {
			continue
		}
		var late []Run
		for _, runs := range e.Runs {
			for _, x := range runs {
				if x.Node == i.Node && x.At.After(i.Acked.Add(leaveBound)) && x.At.Before(i.Ended) {
					late = append(late, x)
				}
			}
		}
		r.check(NoNewWork, len(late) == 0, "server %d left at %s, and got %d calls later than %v: %v", i.Node, clock(i.Acked), len(late), leaveBound, describeRuns(late[:min(len(late), 3)]))
	}
}

// checkLimits checks how many calls servers got that had named a rate limit.
func (r *Result) checkLimits(e *Evidence) {
	for _, i := range e.Injections {
		if i.Kind != Limit {
			continue
		}
		var at []time.Time
		for _, runs := range e.Runs {
			for _, x := range runs {
				if x.Node == i.Node && x.At.After(i.Began.Add(noticeTime)) && x.At.Before(i.Ended) {
					at = append(at, x.At)
				}
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		most := 0
		for n, from := range at {
			end := n
			for end < len(at) && at[end].Sub(from) < limitWindow {
				end++
			}
			most = max(most, end-n)
		}
		allowed := int(limitFactor*float64(i.Rate)*limitWindow.Seconds()) + limitSlack
		r.check(KeptLimit, most <= allowed, "server %d named %d a second at %s, and got %d calls in %v, allowed %d", i.Node, i.Rate, clock(i.Began), most, limitWindow, allowed)
	}
}

// checkVersions checks the answers of nodes about the version in force.
func (r *Result) checkVersions(e *Evidence) {
	acked := map[uint64]time.Time{}
	for _, v := range e.Versions {
		acked[v.Number] = v.Acked
	}
	for n := range e.Starts {
		var seen Probe // of the newest version, in the process that was started last
		for _, p := range e.Probes {
			if p.Node != n {
				continue
			}
			if e.startOf(n, p.Got) != e.startOf(n, seen.Got) {
				seen = Probe{}
			}
			if seen.Version >= p.Version && p.Sent.After(seen.Got) {
				r.check(NoReturn, p.InForce, "node %d had version %d at %s, and version %d or newer was not in force at %s", n, seen.Version, clock(seen.Got), p.Version, clock(p.Sent))
			}
			if p.InForce && p.Version > seen.Version {
				seen = p
			}
			due := e.disturbedUntil(n, acked[p.Version], p.Sent).Add(versionBound)
			if p.Sent.After(due) {
				r.check(InForce, p.InForce, "node %d at %s: version %d, accepted at %s, is not in force (withdrawn route: %v)", n, clock(p.Sent), p.Version, clock(acked[p.Version]), p.Withdrawn)
			}
		}
	}
}

// startOf returns the start of the process of a node that ran at t.
func (e *Evidence) startOf(node int, t time.Time) time.Time {
	var out time.Time
	for _, s := range e.Starts[node] {
		if s.Before(t) {
			out = s
		}
	}
	return out
}

// disturbedUntil returns since when, up to now, a node has been undisturbed: by faults
// of its own, and by those of the store that all data centres feel. It is not before
// from.
func (e *Evidence) disturbedUntil(node int, from, now time.Time) time.Time {
	for _, i := range e.Injections {
		if i.Began.After(now) || i.Kind == StoreCut || i.Kind.lane() != storeLane && !i.touches([]int{node}) {
			continue
		}
		if i.Ended.After(from) {
			from = i.Ended
		}
	}
	return from
}

// checkServing checks that all nodes serve after the last fault.
func (r *Result) checkServing(e *Evidence) {
	var last time.Time
	for _, i := range e.Injections {
		if i.Ended.After(last) {
			last = i.Ended
		}
	}
	due := last.Add(recoveryBound)
	for n := range e.Starts {
		served, failed := 0, []*Call(nil)
		for _, x := range e.Calls {
			switch {
			case x.Node != n || x.First.Before(due): // or a repeat of an earlier call
			case x.Stalled: // it is refused
			case x.AccountKey > 0 && !e.keyInForce(x): // it may be refused
			case x.succeeded():
				served++
			default:
				failed = append(failed, x)
			}
		}
		r.check(Serving, served > 0 && len(failed) == 0, "node %d after %s: %d calls served, %d not: %v",
			n, clock(due), served, len(failed), failed[:min(len(failed), 3)])
	}
}
