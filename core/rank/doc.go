// Package rank orders the members of a data centre by hash, so that nodes with
// the same membership view agree on roles without exchanging messages.
//
// It assigns members to roles by rendezvous hashing (Top, Best), and it assigns
// to each member its observers, which probe it (the layouts Ring, Rendezvous and Grouped, which
// implement tanagerchute.Layout). While membership views differ, a role can
// have a superfluous member, but no result is wrong.
//
// Grouped follows the group-based shifted declustering layout of J. Zhang,
// "Researches on Reverse Lookup Problem in Distributed File System", 2010. It
// is kept as a baseline for comparison. Nodes use Ring for the reasons given in
// docs/design/membership.md.
//
// # Usage
//
//	readers := rank.Top("reader", ids, 2)
//	layout := rank.NewRing(ids, 3)
//	subjects := layout.Subjects("hafnar-1")
package rank
