// Package once is the record of work that must not run twice.
//
// A Table holds, for each key, whether the work is running, is done (with its
// answer, so that a repeat gets the same one), or has been lost track of. An
// attempt that is asked about before it has begun is fenced: it never begins
// afterwards, so that the asker may safely run the work elsewhere.
//
// Keys carry the time at which they were issued. The table has a floor: about
// a key issued before it nothing is known, and work under such a key is
// neither run nor said not to have run. The floor is the start of the node's
// tenure, and rises when old records are dropped to keep the table bounded.
//
// # Usage
//
//	switch v, ans := t.Begin(now, key, attempt); v {
//	case once.Run: … t.Finish(now, key.ID, answer) or t.Lose(now, key.ID, cause) …
//	case once.Replay: … answer with ans …
//	}
package once
