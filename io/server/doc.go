// Package server implements a stand-in backend server for tests,
// demonstrations and measurements.
//
// It simulates the work of each call by waiting, keeps a ledger of the calls
// that it ran, can call other services through its node, and announces itself
// to its node. Faults can be injected while it runs. The paths below /standin/
// control and inspect the server:
//
//	GET  /standin/ledger
//	GET  /standin/faults
//	PUT  /standin/faults
//	GET  /standin/health
//
// The query parameters of a call change how it runs: work=20ms sets the duration
// of the work, bytes=1000 sets the size of the response body, and call=budir/path
// makes a nested call to another service.
//
// # Usage
//
//	s := server.New(server.Config{Service: "skraning", Slots: 12, Work: 5 * time.Millisecond})
//	go http.Serve(l, s)
//	go s.Announce(ctx, admin.Client{Addr: nodeAdmin}, l.Addr().String())
package server
