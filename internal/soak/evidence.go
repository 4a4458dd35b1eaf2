package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"tanagerchute/internal/procs"
	"tanagerchute/io/server"
	"tanagerchute/io/setup"
)

// Run is an execution of work, as a backend server recorded it.
type Run struct {
	server.Entry
	Node int // index of the instance
}

// endOr returns the end of the run, or t if its server did not record it.
func (r Run) endOr(t time.Time) time.Time {
	if r.End.IsZero() {
		return t
	}
	return r.End
}

// Evidence is what was done and seen in a run of the soak.
type Evidence struct {
	Drain       setup.Drain // of the nodes
	MemoryBytes int64       // of each node's instance
	Peaks       []int64     // of the memory of each node
	Centres     []string    // data centre of each node
	Injections  []Injection // in the order of their start
	Starts      [][]time.Time
	Calls       []*Call
	Refused     int // connections
	Versions    []Applied
	Probes      []Probe
	FailedPubs  int
	Runs        map[string][]Run // by the key of the work
}

// readLedgers reads the ledgers of all backend servers.
func readLedgers(f *procs.Fleet) (map[string][]Run, error) {
	out := map[string][]Run{}
	for i, in := range f.Instances {
		runs, err := readLedger(in.LedgerFile, i)
		if err != nil {
			return nil, err
		}
		for _, r := range runs {
			out[r.Key] = append(out[r.Key], r)
		}
	}
	return out, nil
}

// readLedger reads a ledger, which has a line for the start of each run and another one
// for its end.
func readLedger(file string, node int) ([]Run, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	type begin struct {
		request string
		at      time.Time
	}
	index := map[begin]int{}
	var out []Run
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		r := Run{Node: node}
		if err := json.Unmarshal(lines.Bytes(), &r.Entry); err != nil {
			return nil, fmt.Errorf("%s: %w: %q", file, err, lines.Text())
		}
		key := begin{r.Request, r.At}
		if i, ok := index[key]; ok {
			out[i] = r
			continue
		}
		index[key] = len(out)
		out = append(out, r)
	}
	return out, lines.Err()
}

// around reports whether the fault was in effect between from and to.
func (i Injection) around(from, to time.Time) bool {
	return i.Began.Before(to) && i.Ended.After(from)
}

// breaksCalls reports whether calls may end as unknown or without an answer because of
// the fault. A server whose leaving nobody heard of gets work until it ends.
func (i Injection) breaksCalls() bool {
	return i.Kind.breaksCalls() || i.Kind == Leave && i.Acked.IsZero()
}

// touches reports whether the fault affects one of the given nodes, or its link or
// backend server.
func (i Injection) touches(nodes []int) bool {
	return i.Kind.lane() != storeLane && slices.Contains(nodes, i.Node)
}

// stopIsClean reports whether a planned stop has no other fault on its node, from
// calmTime before it to its end.
func (e *Evidence) stopIsClean(stop Injection) bool {
	for _, i := range e.Injections {
		other := i.Fault != stop.Fault && i.Kind != Heavy
		if other && i.touches([]int{stop.Node}) && i.around(stop.Began.Add(-calmTime), stop.Exited) {
			return false
		}
	}
	return true
}

// nodesOf returns the nodes that are known to have had a part in a call.
func (e *Evidence) nodesOf(x *Call) []int {
	nodes := []int{x.Node}
	for _, r := range e.Runs[x.Key] {
		nodes = append(nodes, r.Node)
	}
	return nodes
}

// entryLost reports whether the call may have lost its entry node, or the connection to it: it
// ran in another data centre than that of the node that took it, and a node there was killed
// meanwhile, or its connections were reset.
func (e *Evidence) entryLost(x *Call) bool {
	centre := func(node int) string {
		if node < len(e.Centres) {
			return e.Centres[node]
		}
		return ""
	}
	for _, r := range e.Runs[x.Key] {
		if centre(r.Node) == centre(x.Node) {
			continue
		}
		for _, i := range e.Injections {
			lost := i.Kind == Kill || i.Kind == KillAgain || i.Kind == Reset
			if lost && centre(i.Node) == centre(r.Node) && i.around(x.Sent, x.Got) {
				return true
			}
		}
	}
	return false
}

// countFelt counts the calls that each fault of a process has met. Those of connections
// have counted bytes.
func (e *Evidence) countFelt() {
	for n := range e.Injections {
		i := &e.Injections[n]
		if l := i.Kind.lane(); l == linkLane || l == storeLane {
			continue
		}
		for _, x := range e.Calls {
			if i.Kind.lane() == nodeLane && x.Node == i.Node && i.around(x.Sent, x.Got) {
				i.Felt++
			}
		}
		for _, runs := range e.Runs {
			for _, r := range runs {
				if r.Node == i.Node && i.around(r.At, r.endOr(i.Ended)) {
					i.Felt++
				}
			}
		}
	}
}
