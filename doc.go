// Package tanagerchute defines the interfaces that have more than one
// implementation: the key-value store, the source of the configuration, the
// headers towards callers and backend servers, and the log output. The
// implementations are in core/, io/ and platform/.
//
// core/ holds the decisions as state machines, which take messages and the time
// and return messages and decisions. io/ holds the sockets, goroutines and
// clocks around them. cmd/tanagerchute assembles the command.
//
// # Usage
//
//	var s tanagerchute.Store = etcd.New(etcd.Config{Endpoints: urls})
//	kv, err := s.Get(ctx, "/tanagerchute/nordurljos/head")
package tanagerchute
