// Package census decides what the store holds about the nodes of a data centre: at which
// addresses they run, and which server was heard at the address of each one's backend server,
// see package owner.
//
// A Snapshot is for nodes that are all started again, and for one that starts where it meets
// nobody who knows. One node of each data centre writes it, from what all nodes tell each other,
// so that the writes do not grow with the number of nodes. A node that is not met is kept: it may
// run where the writer does not reach it, and it may have been killed like all others. Only one that
// has stopped as planned, beside a backend server that has left, is gone for good.
//
// # Usage
//
//	next := stored.WithMembers(records)
//	if !next.Equal(stored) { write(next) }
//	claim := stored.Owner(addr, service)
package census
