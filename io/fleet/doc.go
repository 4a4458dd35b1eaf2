// Package fleet runs the membership protocol of a node. It owns the table of the
// members of the node's data centre, see package member, and the table of the
// other data centres, of which only summaries are known, see package remote. It
// drives their timers and executes their actions over the peer protocol.
//
// In a deployment with regions, the members of all data centres of a region share
// one table. Except for ReaderRank, "data centre" then stands for "region" in this
// package.
//
// The package also tracks what a node needs to be the home of idempotency keys,
// that is, to record a key so that its work runs at most once. The node needs a
// quorum, which at most one side of a network partition has. And it must know
// which nodes may have been the home of a key earlier, see package homes.
//
// A single goroutine, Fleet.Run, accesses the tables. Other goroutines read a
// View, an immutable snapshot that is replaced at each change.
//
// # Usage
//
//	f := fleet.New(fleet.Config{Self: record, Client: client, Journal: journal, …})
//	go f.Run(ctx)
//	f.Join(ctx, seeds)
//	view := f.View()
package fleet
