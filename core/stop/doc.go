// Package stop decides which calls a node takes and starts while it performs a planned stop.
//
// A call that is still in progress at the end of the stop is given up, although a backend server
// works on it, and its caller can't tell whether it has run. So a call that may last beyond the
// end is refused while that is true: it has not run, and the caller or the node that sent it goes
// elsewhere at once. How long a call may last is told by the longest of its class of late.
//
// A call of another node that must not be repeated is only started if its deadline comes before
// the end: a longer one than any before can come at any time, and its sender has other servers.
//
// Load that this answers: calls that come in the course of a stop, some of a class whose work
// takes seconds, from callers of the node and from other nodes.
//
// # Usage
//
//	p := stop.Plan{LastArrival: …, LastStart: …, End: …}
//	d.Observe(now, class, took) // of each call that has ended
//	if !p.Takes(now, deadline, d.Longest(now, class)) { … } // refuse it as not run
package stop
