// Package gate controls access to the backend server of a node. All calls to the
// server go through a Gate.
//
// A Gate applies health checks, admission control and at-most-once execution to
// a call, and then sends it to the backend server over HTTP. It also reports the
// outcome of earlier attempts. A draining gate refuses new calls and waits for
// those in flight.
//
// # Usage
//
//	g := gate.New(gate.Config{Node: "hafnar-1", Journal: journal, OnUpstreamChange: f})
//	go g.Run(ctx)
//	g.Announce(gate.Backend{Address: "127.0.0.1:9001", Slots: 12})
//	reply := g.Serve(ctx, call)
package gate
