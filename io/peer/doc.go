// Package peer carries the control protocol between nodes: twirp over HTTP/2
// without TLS, on few, long-lived connections.
//
// A connection that goes silent is found by HTTP/2 pings and replaced. Each
// request names its deployment and its set of data centres; a server drops
// what comes from another one.
//
// # Usage
//
//	c := peer.NewClient(peer.Config{Deployment: "nordurljos", Dial: dial})
//	reply, err := c.To("10.0.0.7:7000").Probe(ctx, req)
//
//	mux.Handle(wire.PeerPathPrefix, peer.Handler(server, "nordurljos", onDrop))
package peer
