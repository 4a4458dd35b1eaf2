// Package census keeps the census of the nodes in the store, one record for each data centre, see
// package core/census.
//
// The node that ranks first in its data centre writes the record when it has changed, at most
// each few seconds. A node that starts reads it, to learn which server an earlier process has heard
// at the address of its backend server. That read may be out of date: a claim about a server that
// has ended does no harm. A node that must know how many others there may be reads the records of
// all data centres, and that read is linearizable.
//
// # Usage
//
//	k := census.New(census.Config{Store: store, Prefix: prefix, Self: record, Members: f, IsWriter: g, OnLearned: h, …})
//	go k.Run(ctx)
//	members, err := k.Read(ctx)
package census
