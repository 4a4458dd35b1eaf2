// Package ahead runs pipelined requests side by side.
//
// A caller may send further requests on an HTTP/1.1 connection before the first one
// is answered. net/http reads and runs them one after the other, so that a slow first
// request delays all others. A connection of this package looks ahead: it starts the
// requests that wait behind the one in progress, up to a bound, and keeps their
// responses. net/http still reads each request in its turn, and the handler of this
// package then hands out the response that is already there, or waits for it. So the
// responses leave in the order of the requests, whatever their order of completion.
//
// Only requests without a body for which Config.Eligible returns true are started
// early, and none behind one that is not. They have to be idempotent: if a response
// closes the connection, the caller sends the requests behind it again, although some
// of them may have run. A connection whose requests can't be told apart with certainty
// is passed through unchanged for the rest of its life.
//
// While the server is stopping, a response closes its connection unless bytes of a further
// request have been read: what was read is answered.
//
// A request that waits for its turn has arrived before it. ArrivedAt returns when it was read, from
// which its deadline counts.
//
// A caller that shuts down its sending side is still answered as long as it reads. One that has
// closed its connection looks the same, so that an informational response is sent as a probe:
// only the latter answers it with a reset.
//
// The head of a request is read up to a bound, and large heads share a bounded room until their
// requests are answered. A request whose head is not read whole is handed on in its turn as a
// substitute that closes the connection: RefusalOf tells the handler why.
//
// A caller that does none of this is served as without this package.
//
// # Usage
//
//	a := ahead.New(ahead.Config{Handler: handler, Depth: 8, Eligible: isIdempotent})
//	server := &http.Server{Handler: a.Handler(), ConnContext: ahead.ConnContext}
//	err := server.Serve(a.Listener(listener))
package ahead
