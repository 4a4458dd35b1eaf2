// Package acct holds the client accounts of a configuration.
//
// A client account has keys, which its callers send with their requests, and may
// have a priority and a quota. A Directory is the immutable set of the accounts of
// one configuration version. It keeps no key, only the digest of each, so that no
// key can reach a log, a report or an error from here.
//
// # Usage
//
//	b := acct.NewBuilder()
//	err := b.Add(acct.Account{Name: "hafnar-ehf", Quota: acct.Quota{Rate: 40, Burst: 40}}, keys)
//	d := b.Build()
//	a, ok := d.Find(acct.DigestOf(key))
package acct
