// Package fleet is the duty of membership at a node: it owns the member table
// and the table of other data centres, runs their clocks, and carries out what
// they decide over the peer protocol.
//
// One goroutine owns both tables. What others read is a View, an immutable
// value that is replaced at each change.
//
// # Usage
//
//	f := fleet.New(fleet.Config{Self: record, Client: client, Journal: journal, …})
//	go f.Run(ctx)
//	f.Join(ctx, seeds)
//	view := f.View()
package fleet
