// Package crash decides which requests end the backend servers that run them.
//
// A request may end each backend server that begins to run it, for example because of
// a fault in the server's code. Its caller repeats it under new request ids. The same
// work is recognized by its Work, a digest of caller, method, host, path and body.
//
// A Watch at a gatekeeper finds the ends of its backend server, and the works of the
// calls that were running there. A lost or garbled answer is not an end: the server must
// also refuse a connection, or another one must take its place without the first having
// announced that it leaves.
//
// A Table holds the works under which servers ended, as all nodes know them together. A
// work that some server completes since then has not ended the others. One under which
// three servers have ended, not all at the same moment, is held back: it is refused
// everywhere, before it runs. After a minute it may run once as a trial, at one node of all.
// If that ends a server as well, the next hold is four times as long, and after an hour
// without an end the work is forgotten.
//
// # Usage
//
//	w := crash.Identify(crash.Request{Caller: "bokun", Method: "GET", Host: "skraning", Path: "/places"})
//	watch.Start(now, attempt, w)
//	if end, ok := watch.Refused(now); ok {
//		changed := table.AddEnd(now, crash.NewEndID(now, hash), end.Works) // to be sent to other nodes
//	}
//	j := table.Judge(now, w)
package crash
