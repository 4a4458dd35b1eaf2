// Package owner decides which backend server is at the address of a node.
//
// An address outlives the server that listens there: when a server has ended, one of
// another service may get its address. A health check tells the id of whoever answers, and
// not its service. Only the heartbeats of a server name its service, and a node that has
// just started has not received any. So a started node uses the server that answers its
// health check only if a process that had received heartbeats at the address names that
// server. Such a process hands on what it heard as a Claim, through the other nodes and
// through the store. A claim that is out of date does no harm: it names a server that does
// not answer any more.
//
// A claim ends when another server is heard at the address, also one of another service.
// A heartbeat may arrive seconds late, and the clock may have been set between the starts
// of two servers. Where heartbeats contradict each other, the server itself is asked for its
// id, and the order of the starts counts only if it does not answer.
//
// # Usage
//
//	var t owner.Tracker
//	t.Learn(now, claim, owner.FromStore)       // of an earlier process
//	if t.Identify(answer) == owner.Confirmed { … } // the server may be used
//	t.Heard(now, id, startMs)                  // a heartbeat of the own service was accepted
//	if t.Contradicts(id, startMs) {            // a heartbeat of another service
//		replaced := t.HeardForeign(now, id, startMs, answer)
//	}
//	publish(t.Claim())
package owner
