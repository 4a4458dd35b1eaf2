// Package acct holds the client accounts of a configuration.
//
// A client account has keys, which its callers send with their requests, and may
// have a priority and a quota. A Directory is the immutable set of the accounts of
// one configuration version. It keeps no key, only the digest of each, so that no
// key can reach a log, a report or an error from here.
//
// A Compiler builds the directories of successive versions. It decodes only the
// accounts that a version changes and hashes only their keys, since a version can
// hold tens of thousands of keys and most versions change none.
//
// # Usage
//
//	var c acct.Compiler
//	d, findings := c.Compile([]acct.Source{{Content: text, Decode: decode}, …})
//	a, ok := d.Find(acct.DigestOf(key))
package acct
