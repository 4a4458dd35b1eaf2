// Package rank orders the members of a data centre by hash, so that nodes
// with the same view agree on roles without talking to each other.
//
// Two things are decided with it: who fills a role (Top, by rendezvous hash)
// and who observes whom (the layouts Ring, Rendezvous and Grouped, which
// implement tanagerchute.Layout). A wrong view costs a superfluous observer or
// reader, never a wrong answer.
//
// Grouped follows the group-based shifted declustering layout of J. Zhang,
// "Researches on Reverse Lookup Problem in Distributed File System", 2010. It
// is kept as a baseline: docs/design/membership.md has the comparison and the
// reason why nodes use Ring.
//
// # Usage
//
//	readers := rank.Top("reader", ids, 2)
//	layout := rank.NewRing(ids, 3)
//	subjects := layout.Subjects("hafnar-1")
package rank
