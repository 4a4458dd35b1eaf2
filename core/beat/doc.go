// Package beat filters stale and duplicate heartbeats of a backend server.
//
// Heartbeats can arrive late, duplicated and out of order. They can also come
// from a process that has ended, after another one has taken its address. A
// Tracker accepts a heartbeat only if it comes from a later incarnation (start
// of the server process), or has a higher sequence number or a later state from
// the same one. The clock that gives the start times may be set back, so that an
// incarnation with an earlier start is accepted as well when several of its
// heartbeats have arrived in a row. An incarnation that announced its stop does
// not become ready again.
//
// # Usage
//
//	var t beat.Tracker
//	if t.Observe(now, h) == beat.Fresh { … }
package beat
