// Package fleet runs the membership protocol of a node. It owns the table of the
// members of its data centre, or of its region, and the table of the other data
// centres. It drives their timers and executes their actions over the peer
// protocol.
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
