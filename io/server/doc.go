// Package server is a stand-in of a backend server for tests, demonstrations
// and trials.
//
// It works on each call for a while, keeps a ledger of what ran, can call
// other services through its node, announces itself, and has faults that can
// be switched while it runs. Below /standin/ it answers about itself:
//
//	GET  /standin/ledger
//	GET  /standin/faults
//	PUT  /standin/faults
//	GET  /standin/health
//
// A call's query can ask for more: work=20ms for another duration, bytes=1000
// for the size of the answer, call=budir/path for a call to another service.
//
// # Usage
//
//	s := server.New(server.Config{Service: "skraning", Slots: 12, Work: 5 * time.Millisecond})
//	go http.Serve(l, s)
//	go s.Announce(ctx, admin.Client{Addr: nodeAdmin}, l.Addr().String())
package server
