// Package admit decides which calls a gatekeeper lets through to its backend
// server, which wait and which are refused.
//
// A Gate owns the concurrency limit and the queue of one backend server. Calls
// start in the order of their priority and, inside of a priority, earliest
// deadline first. A call that can't start before its wait bound is refused at
// once, so that the caller can go elsewhere; a queued call whose turn will not
// come is refused as soon as that is clear. The limit is learned: it grows by
// success up to the announced slots and shrinks when the server sheds load or
// answers too late.
//
// A refused call has not started. The caller of the Gate may promise so.
//
// # Usage
//
//	g := admit.New(admit.Config{Slots: 12})
//	v := g.Offer(now, item)        // Start, Wait or Refuse
//	out := g.Done(now, result)     // calls to start and calls refused
//	out := g.Tick(now)             // at a steady pace
package admit
