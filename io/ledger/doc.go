// Package ledger keeps the history of configuration versions in the store.
//
// The key head holds the newest version as a delta to its parent, so that one watch
// event transfers a change in a few hundred bytes. The keys with the prefix
// version/ hold each version with its full content. Both are written in one
// transaction, on the condition that head has not changed since it was read. So
// numbers have no gaps, and of two concurrent writers only one succeeds.
//
// Each version contains the id of the operation that wrote it. If the answer to a
// write is lost, reading the versions back shows whether it took effect.
//
// The package also keeps the claims that record when an idempotency key was first
// seen.
//
// # Usage
//
//	l := ledger.New(ledger.Config{Store: store, Deployment: "nordurljos"})
//	head, err := l.Head(ctx, lookup)
//	v, err := l.Publish(ctx, ledger.Draft{Parent: head, Content: data, …})
package ledger
