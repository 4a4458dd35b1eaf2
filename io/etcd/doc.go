// Package etcd is the platform's key-value service, reached through the
// published JSON gateway of etcd v3 over net/http.
//
// A write whose answer is lost returns tanagerchute.ErrOutcomeUnknown, and
// never looks like a failure: the caller has to read again.
//
// # Usage
//
//	store := etcd.New(etcd.Config{Endpoints: []string{"http://127.0.0.1:2379"}})
//	kv, rev, err := store.Get(ctx, key)
package etcd
