// Package remote holds what the nodes of one data centre know about the other
// data centres. For each service it holds the number of request slots and the
// addresses of a few entry nodes, but no records of individual members.
//
// A Summary is derived from the membership table of its data centre, so any
// node there can compute it. Its size grows with the number of services, not
// with the number of nodes. It carries no load figures, which are piggybacked
// on the responses to calls between data centres.
//
// # Usage
//
//	s := remote.Summarize("hafnar", records)
//	update, changed := table.UpdateDirect(now, s)
//	targets := table.View().Entries("skraning")
package remote
