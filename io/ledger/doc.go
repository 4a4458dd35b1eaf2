// Package ledger is the history of configuration versions in the platform's
// store.
//
// The key head holds the newest version as a delta to its parent, so that one
// event of a watch carries a change in a few hundred bytes. The keys below
// version/ hold each version whole. Both are written in one transaction under
// the condition that head has not changed since it was read, which makes the
// numbers dense and lets one of two racing writers through.
//
// A write whose answer is lost is settled by reading: each version carries the
// id of the operation that wrote it.
//
// # Usage
//
//	l := ledger.New(ledger.Config{Store: store, Deployment: "nordurljos"})
//	head, err := l.Head(ctx)
//	v, err := l.Publish(ctx, ledger.Draft{Parent: head, Content: data, …})
package ledger
