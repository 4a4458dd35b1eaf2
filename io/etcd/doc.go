// Package etcd implements tanagerchute.Store with the JSON gateway of etcd v3,
// over net/http.
//
// A write that was sent and got no answer returns tanagerchute.ErrOutcomeUnknown
// and not an error that means failure. The write may have taken effect, so the
// caller has to read the keys to find out.
//
// # Usage
//
//	store := etcd.New(etcd.Config{Endpoints: []string{"http://127.0.0.1:2379"}})
//	kv, rev, err := store.Get(ctx, key)
package etcd
