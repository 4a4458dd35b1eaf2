// Package leave decides when a node may acknowledge that its backend server leaves, and when a
// node that has started may believe a heartbeat that says that the server is ready.
//
// An acknowledged leave has to be known after any kill, also of all nodes at once, while a
// heartbeat from before it may arrive seconds late. So it is acknowledged when it is in the
// store, and a node that starts uses its server only when it has read what is there. Where
// the store does not answer, neither waits for long: the other nodes hold the leave as well,
// and the node, or its next process, goes on to save it. What only killed processes knew is
// told by the server itself: the first heartbeat after a start has to be confirmed by it.
//
// # Usage
//
//	t := leave.New(leave.Config{Start: now})
//	if t.Hold(heartbeat) { … } // not used yet
//	t.Learned(stored) // the store has answered
//	t.Ready()         // a version is in force; returns the heartbeat that was held
//	if t.MustConfirm(now) { … } // ask the server whether it is ready
//	t.InUse(id, start)
//	t.Inherit(record) // the other nodes hold a leave
//	t.Leave(now, leave.Record{Server: id, StartMs: start, At: now})
//	if t.MayAcknowledge(now) { … }
//	t.Saved(record)
package leave
