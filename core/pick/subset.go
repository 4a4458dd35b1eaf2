package pick

import (
	"cmp"
	"slices"

	"tanagerchute/core/rank"
)

// Sizes of a subset.
const (
	localSubset  = 16 // candidates in the data centre of the node
	remoteSubset = 8  // candidates elsewhere; more if there are fewer local ones
)

// Subset returns those of cs that the node with the given id uses. A node keeps a
// connection to each upstream that it uses and compares them for each call. With a
// subset, neither grows with the number of upstreams, and the connections are used
// often enough to stay open.
//
// The subsets of different nodes differ. By rendezvous hashing, each candidate is
// in about as many subsets as any other, and a candidate that joins or leaves
// changes only the subsets that it enters or was in.
func Subset(node string, cs []Candidate) []Candidate {
	if len(cs) <= localSubset+remoteSubset {
		return cs
	}
	type scored struct {
		candidate Candidate
		score     uint64
	}
	var local, remote []scored
	for _, c := range cs {
		s := scored{c, rank.Score(node, c.ID)}
		if c.Remote {
			remote = append(remote, s)
		} else {
			local = append(local, s)
		}
	}
	numLocal := min(localSubset, len(local))
	numRemote := min(localSubset+remoteSubset-numLocal, len(remote))
	numLocal = min(localSubset+remoteSubset-numRemote, len(local))
	out := make([]Candidate, 0, numLocal+numRemote)
	for _, group := range []struct {
		all  []scored
		size int
	}{{local, numLocal}, {remote, numRemote}} {
		slices.SortFunc(group.all, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.candidate.ID, b.candidate.ID))
		})
		for _, s := range group.all[:group.size] {
			out = append(out, s.candidate)
		}
	}
	return out
}
