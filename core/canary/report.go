package canary

import (
	"time"
)

// Report is what a node reports to the holder.
type Report struct {
	Node    string
	Since   time.Time // when the tallies began; a process that restarts begins new ones
	Order   OrderID
	Phase   Phase // that the node is in
	Tallies []*Tally
	// Quiet is set if no call is in progress at a server of another version than the
	// target, and none will be started there.
	Quiet bool
}

// nodeState is what a node has reported.
type nodeState struct {
	at      time.Time
	since   time.Time // Report.Since
	phase   Phase
	quiet   bool
	tallies map[string]*Tally // by version
}

// Report takes the report of a node. Its tallies count from the order on, or from the start of
// its process, so a lost or repeated report does no harm.
func (r *Rollout) Report(now time.Time, rep Report) {
	n := r.nodes[rep.Node]
	if n == nil {
		n = &nodeState{tallies: map[string]*Tally{}}
		r.nodes[rep.Node] = n
	}
	switch {
	case rep.Since.Before(n.since):
		return // of a process that has ended
	case rep.Since.After(n.since):
		n.since = rep.Since
		clear(n.tallies)
	}
	n.at, n.phase, n.quiet = now, rep.Phase, rep.Quiet
	for _, t := range rep.Tallies {
		r.addTally(now, rep.Node, n, t)
	}
}

// addTally adds what t has more than the last tally of the node's servers of that version.
// Answers of the target version wait until there are some to compare them with.
func (r *Rollout) addTally(now time.Time, node string, n *nodeState, t *Tally) {
	if t.Version == r.stage.Target && !r.judge.Ready() && now.Sub(r.startedAt) < baselineWait {
		return
	}
	last := n.tallies[t.Version]
	timed := last != nil // the calls of a first tally ran at unknown times, and give no rate
	if !timed {
		last = NewTally(t.Version)
		r.rate.begin(now)
	}
	n.tallies[t.Version] = t
	for route, c := range t.Routes {
		d := c.since(last.Routes[route])
		r.calls += d.Calls
		if timed {
			r.rate.add(now, d.Calls)
		}
		if t.Version == r.stage.Target {
			r.exposed += d.Calls
			r.judge.AddTarget(node, route, d)
		} else {
			r.judge.AddOld(now, node, route, d)
		}
	}
}

// Heard returns when a node last reported, zero if it never did.
func (r *Rollout) Heard(node string) time.Time {
	if n := r.nodes[node]; n != nil {
		return n.at
	}
	return time.Time{}
}

// count returns the number of nodes for which f holds, or which have not reported yet, of
// those that are up or have reported lately.
func (r *Rollout) count(now time.Time, s Servers, f func(n *nodeState) bool) int {
	total := 0
	up := map[string]bool{}
	for _, id := range s.Nodes {
		up[id] = true
		if n := r.nodes[id]; n == nil || f(n) {
			total++
		}
	}
	for id, n := range r.nodes {
		if !up[id] && now.Sub(n.at) < reportTTL && f(n) {
			total++
		}
	}
	return total
}

// callsInProgress reports whether a node has lately reported that a call is in progress at
// a server of the old version.
func (r *Rollout) callsInProgress(now time.Time) bool {
	for _, n := range r.nodes {
		if now.Sub(n.at) < reportTTL && n.phase >= Committed && !n.quiet {
			return true
		}
	}
	return false
}
