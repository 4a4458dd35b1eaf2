// Package admit decides which calls a gatekeeper lets through to its backend
// server, which wait and which are refused.
//
// A Gate owns the concurrency limit and the queue of one backend server. Calls
// start in the order of their priority and, inside of a priority, earliest
// target first. Calls that can't meet their target any more come after those
// that can, by their deadline: under a load beyond capacity the server spends
// its time on answers that are worth most. A call that can't start before its
// wait bound, or whose answer would be far too late, is refused at once, so that
// the caller can go elsewhere; a queued call whose turn will not come is refused
// as soon as that is clear. The limit is that of the announced slots; it shrinks
// while the server sheds load although no more than its slots are in use.
//
// A refused call has not started. The caller of the Gate may promise so.
//
// # Usage
//
//	g := admit.New(admit.Config{Slots: 12})
//	v := g.Offer(now, item)        // Start, Wait or Refuse
//	out := g.Done(now, run)        // calls to start and calls refused
//	out := g.Tick(now)             // at a steady pace
package admit
