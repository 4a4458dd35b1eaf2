// Package census keeps in the store where nodes of the deployment run, so that nodes that are
// all started again know how many others there may be before they have met them.
//
// There is one record for each address. It has no lease: it is written when a node runs there
// for the first time, and removed when the node stops for good. A started node that has met
// nobody who knows reads them all.
//
// # Usage
//
//	r := census.New(census.Config{Store: store, Prefix: prefix, Self: record})
//	go r.Run(ctx)
//	members, err := r.Read(ctx)
//	r.Remove(ctx)
package census
