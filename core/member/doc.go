// Package member implements group membership and failure detection for the
// nodes of one data centre or region, as a deterministic state machine.
//
// It follows SWIM with the Lifeguard extensions. A member that does not answer
// a direct probe is probed through relays, which are other members, and then
// suspected. It is declared dead if it does not refute the suspicion in time.
// Incarnation numbers order the records about a member, and only the member
// itself raises its incarnation. Unlike in SWIM, probe targets are not random: a
// layout (see package rank) assigns each member a few observers, which probe it.
// This bounds the time to detect a failure, and the observers of a member can
// confirm each other's suspicions.
//
// A Table also determines whether its node holds a quorum. Only then may the
// node be the home of idempotency keys, see package homes.
//
// A Table takes messages and the current time and returns the actions that the
// caller has to carry out, such as probing a member or sending records. It uses
// no goroutines, sockets or clocks. It is not safe for concurrent use.
//
// # Usage
//
//	cfg := member.DefaultConfig()
//	cfg.Self = self
//	t := member.NewTable(cfg)
//	actions := t.Tick(now)           // at a regular interval
//	actions := t.Merge(now, records) // for each message
//	actions := t.ProbeAnswered(now, id, records, digest)
//	actions := t.ProbeFailed(now, id, relaysAsked, relaysAnswered)
package member
