package pick_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"

	"tanagerchute/core/pick"
)

const subsetSize = 24

func upstreams(local, remote int) []pick.Candidate {
	var out []pick.Candidate
	for i := range local + remote {
		out = append(out, pick.Candidate{ID: fmt.Sprintf("up-%d", i), Remote: i >= local})
	}
	return out
}

// TestSubsetIsBounded guards against a number of connections that grows with the
// number of upstreams.
func TestSubsetIsBounded(t *testing.T) {
	for _, c := range []struct{ local, remote, wantLocal int }{
		{3, 6, 3}, {12, 12, 12}, {46, 185, 16}, {5, 600, 5}, {600, 3, 21}, {0, 100, 0},
	} {
		is := is.New(t)
		got := pick.Subset("node", upstreams(c.local, c.remote))
		is.Equal(len(got), min(c.local+c.remote, subsetSize))
		local := 0
		for _, u := range got {
			if !u.Remote {
				local++
			}
		}
		is.Equal(local, c.wantLocal)
	}
}

// TestSubsetsCoverAllUpstreams guards against upstreams that few or no nodes use:
// of 60 nodes, each of 46 local upstreams is used by about as many.
func TestSubsetsCoverAllUpstreams(t *testing.T) {
	is := is.New(t)
	const nodes, local = 60, 46
	users := map[string]int{}
	for n := range nodes {
		for _, u := range pick.Subset(fmt.Sprintf("node-%d", n), upstreams(local, 185)) {
			users[u.ID]++
		}
	}
	mean := float64(nodes*16) / local
	for i := range local {
		got := float64(users[fmt.Sprintf("up-%d", i)])
		is.True(math.Abs(got-mean) < 0.7*mean) // nodes that use a local upstream
	}
}

// TestSubsetIsStable guards against connections that are all replaced when an
// upstream joins or leaves.
func TestSubsetIsStable(t *testing.T) {
	is := is.New(t)
	all := upstreams(46, 185)
	before := pick.Subset("node", all)
	for i := range all {
		after := pick.Subset("node", slices.Delete(slices.Clone(all), i, i+1))
		kept := 0
		for _, u := range after {
			if slices.Contains(before, u) {
				kept++
			}
		}
		is.True(kept >= subsetSize-1)
	}
}
