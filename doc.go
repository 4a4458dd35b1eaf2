// Package tanagerchute holds the interfaces behind which behaviour varies. The
// implementations live below core and io.
//
// core/ has the decisions: state machines that take messages and the time and
// return messages and decisions. io/ has the edges: sockets, goroutines,
// clocks. A command is put together in cmd/tanagerchute.
//
// # Usage
//
//	var s tanagerchute.Store = etcd.New(etcd.Config{Endpoints: urls})
//	kv, err := s.Get(ctx, "/tanagerchute/nordurljos/head")
package tanagerchute
