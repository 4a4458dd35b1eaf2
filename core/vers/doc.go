// Package vers holds the versions of a configuration and the rules by which a
// node takes one.
//
// A Version is a whole document with a number, a digest and the digest of its
// parent. Numbers are dense and grow; the digest covers number, parent and
// content, so that equal digests mean equal history. A Tracker holds the
// version in force at one node: it moves forward only, takes a version whole
// or not at all, and never takes one that contradicts what it holds.
//
// # Usage
//
//	t := vers.NewTracker(vers.DocumentConfig("nordurljos"))
//	d := t.Offer(v)
//	if d.Kind == vers.Applied { … t.Current() … }
package vers
