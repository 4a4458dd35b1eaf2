// Package proxy accepts calls from callers and from the node's own backend
// server, and forwards each to an upstream that is expected to answer it in
// time.
//
// Ingress reads the whole call, classifies it by the configuration version in
// force and sets its deadline. Dispatch picks an upstream and sends the call to
// it. A call is resent only if it is known not to have run, or if it is
// idempotent. A call with an idempotency key is sent to the home of the key
// first. The home is the node that ranks first for the key by rendezvous
// hashing, and it lets the call run at most once. Peer serves the calls that
// other nodes send.
//
// # Usage
//
//	p := proxy.New(proxy.Config{Node: id, Fleet: fleet, Feed: feed, Gate: gate, …})
//	callers := p.Ingress(proxy.Origin{})
//	egress := p.Ingress(proxy.Origin{Service: "skraning", Backend: true})
//	peers := p.Peer(controlHandler)      // calls from other nodes
package proxy
