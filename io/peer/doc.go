// Package peer is the transport of the control protocol between nodes: twirp
// over HTTP/2 without TLS, on a few long-lived connections.
//
// HTTP/2 pings detect connections that no longer respond. Such a connection is
// closed, and the next request opens a new one. Each request carries the
// identifier of its deployment, which includes the data centres or regions. A
// server rejects requests of another deployment.
//
// # Usage
//
//	c := peer.NewClient(peer.Config{Deployment: "nordurljos", Dial: dial})
//	reply, err := c.To("10.0.0.7:7000").Probe(ctx, req)
//
//	mux.Handle(wire.PeerPathPrefix, peer.Handler(server, "nordurljos", onDrop))
package peer
