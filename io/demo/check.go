package demo

import (
	"fmt"

	"tanagerchute/core/event"
	"tanagerchute/io/load"
)

// shown are the events that a demonstration prints.
var shown = map[event.Kind]bool{
	event.NodeReady:       true,
	event.VersionRefused:  true,
	event.VersionForked:   true,
	event.ReaderStarted:   true,
	event.UpstreamFailing: true,
	event.UpstreamBack:    true,
	event.PeerDead:        true,
	event.NodeDraining:    true,
	event.StoreLost:       true,
	event.RequestUnknown:  true,
}

// onEvent prints the events worth showing, as they happen at the nodes.
func (s *show) onEvent(e event.Event) {
	if shown[e.Kind] {
		s.say("%s: %s %s (%s)", e.Node, e.Kind, e.Subject, e.Cause)
	}
}

// inForceLimitMS is the users' bound for a change to come into force.
const inForceLimitMS = 7000

// check compares what the callers were told with what the backend servers ran.
func (s *show) check(r load.Report) {
	once := map[string]bool{}
	for _, k := range s.dep.kinds {
		once[k.Path] = k.Method == "POST"
	}
	runs := map[string]int{}
	for _, in := range s.mesh.Instances {
		for _, e := range in.Backend.Ledger() {
			runs[e.Key]++
			if runs[e.Key] == 2 && once[e.Path] {
				s.summary.Doubled++
			}
		}
	}
	for key := range r.Refused {
		if runs[key] > 0 {
			s.summary.FalseNo++
		}
	}
	for key := range r.Answered {
		if runs[key] == 0 {
			s.summary.Lost++
		}
	}
	s.summary.Calls = append(r.Kinds, r.Total())
	s.judge()
}

// judge lists the promises that were broken.
func (s *show) judge() {
	broken := func(n int, what string) {
		if n > 0 {
			s.summary.Broken = append(s.summary.Broken, fmt.Sprintf("%d %s", n, what))
		}
	}
	broken(s.summary.Doubled, "pieces of work ran twice")
	broken(s.summary.FalseNo, "refusals said not_run of work that ran")
	broken(s.summary.Lost, "answers came for work that did not run")
	for i, ms := range s.summary.InForceMS {
		if ms > inForceLimitMS {
			broken(1, fmt.Sprintf("version (%d) took %.0f ms to come into force", i+1, ms))
		}
	}
	total := s.summary.Calls[len(s.summary.Calls)-1]
	broken(total.Failed, "calls got no answer, or a failure")
}

// print shows the summary for people.
func (s *show) print() {
	fmt.Fprintf(s.cfg.Out, "\n%-10s %6s %6s %8s %8s %8s %8s %9s %9s\n",
		"class", "sent", "good", "in time", "not_run", "unknown", "failed", "p50 ms", "p99 ms")
	for _, c := range s.summary.Calls {
		fmt.Fprintf(s.cfg.Out, "%-10s %6d %6d %8d %8d %8d %8d %9.1f %9.1f\n",
			c.Name, c.Sent, c.Good, c.InTime, c.NotRun, c.Unknown, c.Failed, c.P50, c.P99)
	}
	fmt.Fprintf(s.cfg.Out, "ran twice: %d, not_run that ran: %d, answered but not run: %d\n",
		s.summary.Doubled, s.summary.FalseNo, s.summary.Lost)
	for _, b := range s.summary.Broken {
		fmt.Fprintln(s.cfg.Out, "BROKEN PROMISE:", b)
	}
	if len(s.summary.Broken) == 0 {
		fmt.Fprintln(s.cfg.Out, "all promises kept")
	}
}
