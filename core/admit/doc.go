// Package admit implements admission control for one backend server: it decides
// which calls start, which wait in a queue and which are refused.
//
// A backend server announces its slots, the number of calls that it can run at
// once. A call has a target, the time by which it should be answered, and a
// deadline, after which an answer is worth nothing.
//
// A Controller owns the concurrency limit and the queue of one backend server.
// The limit is the number of slots. It is reduced while the server sheds calls
// even though no more than its slots are in use.
//
// Queued calls start by priority, and within a priority by the latest start that
// meets their target: the target less the time that calls of their class take. A
// call that can no longer meet its target starts after those that can, by
// earliest deadline. An overloaded server thus spends its time on the answers
// that are worth most.
//
// Acceptance tells callers which share of the calls of a class was not refused, so
// that they need not ask where they would be refused.
//
// A call is refused on arrival if it can't start before the end of its maximum
// wait, or if its answer would come far too late, so that the caller can try
// another upstream. A queued call is refused as soon as the estimate shows that
// it will not start in time.
//
// A refused call has not started, so the user of a Controller may report it as
// not run.
//
// # Usage
//
//	c := admit.New(admit.Config{Slots: 12})
//	v, refusal, displaced := c.Offer(now, item) // Start, Wait or Refuse
//	out := c.Done(now, completion)              // queued calls started and refused
//	out := c.Tick(now)                          // to be called periodically
package admit
