// Package dedup makes sure that work runs at most once per idempotency key.
//
// A key identifies a piece of work, for which a node can receive several
// attempts. A Table records for each key whether the work is running, has ended
// with an answer, or has an unknown outcome. A repeat of work that has ended gets
// the recorded answer.
//
// A fenced attempt can't begin any more. Asking about an attempt that has not
// begun fences it, so that the asker may safely run the work elsewhere.
//
// A key carries the time at which it was issued. The floor of a table is the
// issue time up to which its records may be incomplete. For a key issued at or
// before the floor, the work is not run, and it is not reported as not run
// either. The floor starts at Config.Floor, and rises when old records are
// dropped to bound the size of the table.
//
// # Usage
//
//	switch v, ans := t.Begin(now, key, attempt); v {
//	case dedup.Run: … t.Finish(now, key.ID, answer) or t.MarkLost(now, key.ID, cause) …
//	case dedup.Replay: … answer with ans …
//	}
package dedup
