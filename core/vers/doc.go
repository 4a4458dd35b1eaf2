// Package vers defines the versions of a configuration and the rules by which a
// node accepts one.
//
// A Version is a whole document with a number, a digest and the digest of its
// parent. Each version's number is one more than its parent's. The digest covers
// number, parent and content, so two versions with equal digests have the same
// history. A Tracker holds the version in force at one node, which is the one
// that the node routes calls by. It never returns to an older version and applies
// a version whole or not at all. It rejects a fork, a version that contradicts the
// history of the version in force, if it detects it, see Tracker.Offer.
//
// # Usage
//
//	t := vers.NewTracker(vers.DocumentConfig("nordurljos"))
//	d := t.Offer(v)
//	if d.Kind == vers.Applied { … t.Current() … }
package vers
