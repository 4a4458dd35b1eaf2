// Package eras tracks the eras of a store that may restart from an older copy of its
// contents.
//
// Each such restart begins an era, whose number is one more than that of the era
// before. The store has then lost the changes after the copy, and gives out the
// revisions and the ids of leases of these changes again. So a revision or a lease is
// only meaningful together with its era, and nothing but the era that the store names
// in its answers says whether it has restarted.
//
// A Tracker is a state machine that is fed the era of each answer. Answers arrive in
// any order, on several connections, and may be damaged on the way:
//
//   - A lower era than the current one belongs to an answer that was delayed, and is
//     outdated. If the store names only lower eras for resetAfter, it counts anew, and
//     the lower era becomes the current one.
//   - An era that is more than maxStep above the current one is only believed if a
//     second answer confirms it.
//   - An answer without an era, or with a malformed one, changes nothing.
//
// # Usage
//
//	var t eras.Tracker
//	v := t.Observe(eras.Answer{Values: header.Values(name), SentAt: sentAt, ReceivedAt: time.Now()})
//	if v.Changed() {
//		// read everything again, and write again what this process owns
//	}
package eras
