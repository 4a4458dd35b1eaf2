// Package remote holds what the nodes of one data centre know about the other
// data centres. For each service it holds the number of slots, which is the
// number of calls that its upstreams can run at once, and the addresses of a few
// entry nodes, but no records of individual members. An entry node accepts calls
// from other data centres and chooses an upstream in its own.
//
// A Summary is derived from the member table of its data centre, so any
// node there can compute it. Its size grows with the number of services, not
// with the number of nodes. It carries no load figures, which are piggybacked
// on the responses to calls between data centres.
//
// The relays of a data centre are the few nodes that rank first there, see package
// rank. The other data centres contact them to exchange summaries (see package
// relay), to query the state of the data centre, and to reach the home of an
// idempotency key (see package homes). They have nothing to do with the relays of
// probes in package member.
//
// # Usage
//
//	s := remote.Summarize("hafnar", records)
//	update, changed := table.UpdateDirect(now, s)
//	targets := table.View().Entries("skraning")
package remote
