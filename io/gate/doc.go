// Package gate controls access to the backend server of a node. All calls to the
// server go through a Gate, which makes the node the gatekeeper of the server.
//
// A Gate applies health checks, admission control and at-most-once execution to
// a call, and then sends it to the backend server over HTTP. A draining gate
// refuses new calls and waits for those in flight.
//
// An attempt is one sending of a call to a gate. A Gate reports the outcome of
// attempts to senders that have lost the answer, see Gate.Inquire.
//
// A nested call is a call that the backend server makes while it handles another
// one.
//
// # Usage
//
//	g := gate.New(gate.Config{Node: "hafnar-1", Journal: journal, OnUpstreamChange: f})
//	go g.Run(ctx)
//	g.Announce(gate.Backend{Address: "127.0.0.1:9001", Slots: 12})
//	reply := g.Serve(ctx, call)
package gate
