// Package gate is the gatekeeper of one backend server: every call to the
// server goes through it.
//
// It brings the state machines of admission, health and at-most-once together
// and makes the HTTP call to the backend server. It answers what became of an
// attempt, and stops gracefully: a drained gate refuses new calls and waits for
// those in flight.
//
// # Usage
//
//	g := gate.New(gate.Config{Node: "hafnar-1", Journal: journal, Changed: f})
//	go g.Run(ctx)
//	g.Announce(gate.Backend{Address: "127.0.0.1:9001", Slots: 12})
//	reply := g.Serve(ctx, call)
package gate
