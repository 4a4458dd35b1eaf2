package tokens_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerchute/core/member"
	"tanagerchute/core/tokens"
)

// startedNode is a node whose process has just started, as all others have: it has met nobody,
// and may learn from the store how many there may be.
type startedNode struct {
	table  *member.Table
	roster *tokens.Roster
	side   int // nodes of one side have met
}

// startedNodes are all nodes of a deployment, which were started at the same moment.
type startedNodes struct {
	now      time.Time
	expected []member.Record // what the store has
	nodes    []*startedNode
}

func newStartedNodes(n int) *startedNodes {
	s := &startedNodes{now: time.UnixMilli(1_800_000_000_000)}
	for i := range n {
		addr := fmt.Sprint("10.0.0.", i, ":7380")
		cfg := member.DefaultConfig()
		cfg.Self = member.Record{ID: fmt.Sprint("n", i), Addr: addr, DataCentre: "dc", Incarnation: 1, StartMs: s.now.UnixMilli()}
		s.nodes = append(s.nodes, &startedNode{table: member.NewTable(cfg), roster: tokens.NewRoster(nil), side: i})
		s.expected = append(s.expected, member.Record{ID: "expected@" + addr, Addr: addr, DataCentre: "dc"})
	}
	return s
}

// read lets node i read in the store how many nodes there may be.
func (s *startedNodes) read(i int) {
	n := s.nodes[i]
	if n.table.HasCounted() {
		return
	}
	n.table.Expect(s.now, s.expected)
	n.table.SetCounted(s.now)
	s.spread(n.side)
}

// meet lets the sides of nodes i and j find each other.
func (s *startedNodes) meet(i, j int) {
	from, to := s.nodes[j].side, s.nodes[i].side
	for _, n := range s.nodes {
		if n.side == from {
			n.side = to
		}
	}
	s.spread(to)
}

// spread lets all nodes of a side know what each of them knows.
func (s *startedNodes) spread(side int) {
	var all []member.Record
	for _, n := range s.nodes {
		if n.side == side {
			all = append(all, n.table.Records()...)
		}
	}
	for _, n := range s.nodes {
		if n.side == side {
			n.table.Merge(s.now, all)
		}
	}
}

// parts returns the sum of the parts of a quota that sides take, and the number of sides that
// take one. All nodes of a side have the same keeper.
func (s *startedNodes) parts() (sum float64, sides int) {
	seen := map[int]bool{}
	for _, n := range s.nodes {
		if seen[n.side] || !n.table.HasCounted() {
			continue
		}
		seen[n.side] = true
		sum += n.roster.Update(s.now, n.table.Records()).Part()
	}
	return sum, len(seen)
}

// TestStartedNodesTakeNoMoreThanTheirPart guards against nodes that take the whole of a quota each,
// since all were killed and each one that starts has met nobody. Whatever nodes read in the store
// and whoever meet, in any order, the parts of all sides are at most the whole, and exactly that
// in the end.
func TestStartedNodesTakeNoMoreThanTheirPart(t *testing.T) {
	const tolerance = 1e-9
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "nodes")
		s := newStartedNodes(n)
		node := rapid.IntRange(0, n-1)
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			if rapid.Bool().Draw(t, "read") {
				s.read(node.Draw(t, "reader"))
			} else {
				s.meet(node.Draw(t, "one"), node.Draw(t, "other"))
			}
			if sum, sides := s.parts(); sum > 1+tolerance {
				t.Fatalf("%d sides of %d nodes take %.3f of a quota", sides, n, sum)
			}
			s.now = s.now.Add(100 * time.Millisecond)
		}
		for i := range n {
			s.read(i)
			s.meet(0, i)
		}
		if sum, _ := s.parts(); sum < 1-tolerance {
			t.Fatalf("all nodes have met and take %.3f of a quota", sum)
		}
	})
}
