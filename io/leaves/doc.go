// Package leaves keeps in the store which backend server has announced its leave to a node, so
// that it is known after any kill, see package leave.
//
// There is one record for each instance, which the next leave there replaces. It is removed
// when another server is in use. So a leave costs two writes, and the start of a node one
// read.
//
// # Usage
//
//	k := leaves.New(leaves.Config{Store: store, Key: key, OnFormer: gate.ObserveFormerLeave, …})
//	go k.Run(ctx)
//	if k.Hold(heartbeat) { … } // it is used when earlier leaves are known
//	k.Announced(ctx, id, startMs) // returns when the leave may be acknowledged
package leaves
