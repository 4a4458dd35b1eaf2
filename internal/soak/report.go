package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Report is the report of a run.
type Report struct {
	Config   Config
	Evidence *Evidence
	Result   *Result
}

// maxFindings is the number of findings of a rule that are written out.
const maxFindings = 5

// Problems returns why the run is worth nothing, if it is: faults that could not be
// injected, none that was felt, or a rule that nothing has tested.
func (r *Report) Problems() []string {
	var out []string
	felt := 0
	for _, i := range r.Evidence.Injections {
		if i.Err != nil {
			out = append(out, fmt.Sprintf("%s at node %d: %v", i.Kind, i.Node, i.Err))
		}
		if i.Felt > 0 {
			felt++
		}
	}
	if felt == 0 {
		out = append(out, "no fault was felt")
	}
	for _, rule := range []Rule{Twice, OwnAnswer, InOrder, Ran, InForce, NoReturn, Answered, Account, NoKey, Serving} {
		if r.Result.Checked[rule] == 0 {
			out = append(out, fmt.Sprintf("nothing tested that %s", rule))
		}
	}
	if r.Evidence.ranAtOnce() == 0 {
		out = append(out, "no pipelined calls ran at once")
	}
	return out
}

// Failed reports whether a check failed or the run tested nothing.
func (r *Report) Failed() bool { return len(r.Result.Findings) > 0 || len(r.Problems()) > 0 }

// Write writes the report as text.
func (r *Report) Write(w io.Writer) {
	e := r.Evidence
	fmt.Fprintf(w, "seed %d, %v, %d nodes, kinds %v, drain %v, linger %v, serve on %v\n",
		r.Config.Seed, r.Config.Duration, r.Config.Nodes, r.Config.Kinds, e.Drain.Timeout.Std(), e.Drain.Linger.Std(), e.Drain.ServeOn)
	r.writeInjections(w)
	fmt.Fprintf(w, "\n%d calls, %d connections refused; %d versions, %d attempts at one failed; %d answers about versions\n",
		len(e.Calls), e.Refused, len(e.Versions), e.FailedPubs, len(e.Probes))
	fmt.Fprintf(w, "%d pipelined calls ran while the one before them did\n", e.ranAtOnce())
	r.writeOutcomes(w)
	r.writeChecks(w)
	for _, p := range r.Problems() {
		fmt.Fprintln(w, "PROBLEM:", p)
	}
	if r.Failed() {
		fmt.Fprintf(w, "FAILED. Logs and ledgers: %s\n", r.Config.Dir)
		return
	}
	fmt.Fprintln(w, "passed")
}

func (r *Report) writeInjections(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "fault\tnode\tfrom\tto\tfelt\t")
	for _, i := range r.Evidence.Injections {
		note := fmt.Sprint(i.Felt)
		if i.Felt == 0 {
			note = "NOT FELT"
		}
		if i.Kind == Stop {
			note += fmt.Sprintf(", exited after %v", i.Exited.Sub(i.Began).Round(time.Millisecond))
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t\n", i.Kind, i.Node, clock(i.Began), clock(i.Ended), note)
	}
	t.Flush()
}

// writeOutcomes writes how many calls ended in which way.
func (r *Report) writeOutcomes(w io.Writer) {
	counts := map[string]int{}
	repeated := 0
	for _, x := range r.Evidence.Calls {
		if x.Repeated && x.lost() {
			repeated++
		}
		switch {
		case x.succeeded():
			counts["answered"]++
		case x.Err != nil:
			counts["no answer"]++
		default:
			counts[fmt.Sprint(x.Status, " ", x.Outcome, " ", x.Cause)]++
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(counts), func(a, b string) int { return cmp.Compare(counts[b], counts[a]) }) {
		fmt.Fprintf(w, "  %d %s\n", counts[k], k)
	}
	fmt.Fprintf(w, "  (%d calls under a key were told unknown, or got no answer, and were repeated)\n", repeated)
}

func (r *Report) writeChecks(w io.Writer) {
	found := map[Rule][]string{}
	for _, f := range r.Result.Findings {
		found[f.Rule] = append(found[f.Rule], f.Text)
	}
	for _, rule := range slices.Sorted(maps.Keys(r.Result.Checked)) {
		fmt.Fprintf(w, "%6d checked, %d broken: %s\n", r.Result.Checked[rule], len(found[rule]), rule)
		for _, text := range found[rule][:min(len(found[rule]), maxFindings)] {
			fmt.Fprintln(w, "      ", text)
		}
	}
}
