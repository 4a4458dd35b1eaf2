// Package member is the membership of one data centre as a state machine.
//
// It follows SWIM with the refinements of Lifeguard: members are probed, a
// member that does not answer is probed through others, then suspected, and
// declared dead only if it does not refute the suspicion in time. Incarnations
// order the claims about a member, and only the member itself raises its own.
// Unlike in SWIM the prober is not random: each member has a few observers,
// given by a layout, so that the time to detect a death has a bound, and the
// observers confirm each other's suspicions.
//
// Table takes messages and the time and returns actions (probe this one, send
// these records to those). It has no goroutine, socket or clock. It is not
// safe for concurrent use: one goroutine owns it.
//
// # Usage
//
//	t := member.NewTable(member.Config{Self: self, Layout: layout})
//	actions := t.Tick(now)              // at a steady pace
//	reply, actions := t.Merge(now, records) // for each message
//	actions := t.Answered(now, target, records)
//	actions := t.Failed(now, target, relaysHeard)
package member
