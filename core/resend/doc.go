// Package resend decides, after each attempt at a call, whether the call is sent
// to another upstream, and which reply the caller gets.
//
// A call is resent only if that is safe: it is idempotent, or it provably has
// not run. The number of its attempts, its deadline and the shared retry budget
// bound the resends. A refusal by a gatekeeper, the node that admits calls to a
// backend server, costs no budget, since no backend server has received the
// call. The caller is never told that a call has not run if any attempt may have
// run it.
//
// # Usage
//
//	t := resend.New(resend.Config{Idempotent: c.Idempotent(), MaxUpstreams: 2, Deadline: c.Deadline, Spend: b.Spend})
//	for t.Next(now, reply) { reply = attempt() }
//	reply = t.Final()
package resend
