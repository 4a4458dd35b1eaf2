// Package tanagerchute defines the interfaces that have more than one
// implementation: the key-value store, the source of the configuration, the
// headers of callers and backend servers, and the log output. The
// implementations are in core/, io/ and platform/.
//
// tanagerchute distributes the configuration of a service mesh and forwards its
// calls. One process, the node, runs beside each backend server. It takes calls
// from callers and sends each to an upstream, which is a backend server of the
// called service. All calls to a backend server pass through the node beside it.
// The configuration has numbered versions. The version in force at a node is the
// one that it routes calls by.
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
