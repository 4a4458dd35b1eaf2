package demo

import (
	"fmt"

	"tanagerchute/core/event"
	"tanagerchute/io/load"
)

// printedEvents lists the kinds of events that a demonstration prints.
var printedEvents = map[event.Kind]bool{
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

// onEvent prints an event of a node if its kind is in printedEvents.
func (s *session) onEvent(e event.Event) {
	if printedEvents[e.Kind] {
		s.logf("%s: %s %s (%s)", e.Node, e.Kind, e.Subject, e.Cause)
	}
}

// maxInForceMS is the required upper bound, in milliseconds, on the time from
// the acceptance of a version to when it is in force on every node.
const maxInForceMS = 7000

// checkLedgers compares the outcomes that the callers received with what the
// backend servers ran, and fills in the summary.
func (s *session) checkLedgers(report load.Report) {
	atMostOnce := map[string]bool{}
	for _, k := range s.deployment.kinds {
		atMostOnce[k.Path] = k.Method == "POST"
	}
	runsByKey := map[string]int{}
	for _, in := range s.mesh.Instances {
		for _, e := range in.Backend.Ledger() {
			runsByKey[e.Key]++
			if runsByKey[e.Key] == 2 && atMostOnce[e.Path] {
				s.summary.RanTwice++
			}
		}
	}
	for key := range report.Refused {
		if runsByKey[key] > 0 {
			s.summary.NotRunButRan++
		}
	}
	for key := range report.Answered {
		if runsByKey[key] == 0 {
			s.summary.AnsweredNotRun++
		}
	}
	s.summary.Calls = append(report.Kinds, report.Total())
	s.findViolations()
}

// findViolations adds the violated guarantees to the summary.
func (s *session) findViolations() {
	addViolation := func(n int, text string) {
		if n > 0 {
			s.summary.Violations = append(s.summary.Violations, fmt.Sprintf("%d %s", n, text))
		}
	}
	addViolation(s.summary.RanTwice, "at-most-once calls ran twice")
	addViolation(s.summary.NotRunButRan, "calls reported as not_run had run")
	addViolation(s.summary.AnsweredNotRun, "calls were answered but did not run")
	for i, ms := range s.summary.InForceMS {
		if ms > maxInForceMS {
			addViolation(1, fmt.Sprintf("version (number %d) took %.0f ms to come into force", i+1, ms))
		}
	}
	total := s.summary.Calls[len(s.summary.Calls)-1]
	addViolation(total.Failed, "calls failed or got no response")
}

// print prints the summary as a table and a list of violations.
func (s *session) print() {
	fmt.Fprintf(s.cfg.Out, "\n%-10s %6s %6s %8s %8s %8s %8s %9s %9s\n",
		"class", "sent", "good", "in time", "not_run", "unknown", "failed", "p50 ms", "p99 ms")
	for _, c := range s.summary.Calls {
		fmt.Fprintf(s.cfg.Out, "%-10s %6d %6d %8d %8d %8d %8d %9.1f %9.1f\n",
			c.Name, c.Sent, c.Good, c.InTime, c.NotRun, c.Unknown, c.Failed, c.P50, c.P99)
	}
	fmt.Fprintf(s.cfg.Out, "ran twice: %d, not_run that ran: %d, answered but not run: %d\n",
		s.summary.RanTwice, s.summary.NotRunButRan, s.summary.AnsweredNotRun)
	for _, b := range s.summary.Violations {
		fmt.Fprintln(s.cfg.Out, "VIOLATED GUARANTEE:", b)
	}
	if len(s.summary.Violations) == 0 {
		fmt.Fprintln(s.cfg.Out, "no guarantee was violated")
	}
}
