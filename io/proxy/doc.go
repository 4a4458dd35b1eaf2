// Package proxy accepts calls from callers and from the node's own backend
// server, and forwards each to an upstream that is expected to answer it in
// time.
//
// Ingress reads the whole call, classifies it by the configuration version in
// force and sets its deadline. Dispatch picks an upstream and sends the call to
// it. A call is resent only if it is known not to have run, or if it is
// idempotent. A call with an idempotency key is sent to the home of the key
// first, which lets the call run at most once. Peer serves the calls that other
// nodes send.
//
// An attempt is one sending of a call to a node. If its answer is lost, the
// sender inquires about its outcome at that node. The inquiry fences an attempt
// that has not started: it can't start later, so the call can safely be sent to
// another upstream.
//
// Nodes take these roles in a call:
//
//   - The gatekeeper is the node beside the upstream. It is the only node that
//     sends calls to that backend server, see package gate.
//   - The home of an idempotency key is the node that ranks first for the key
//     in its data centre by rendezvous hashing. It records the calls under the
//     key.
//   - An entry node takes calls from other data centres and picks an upstream
//     in its own.
//   - A relay node forwards keyed calls from other data centres to the home of
//     the key. It is one of the relays of its data centre, see package remote.
//
// In a deployment with regions, a region takes the place of a data centre here.
//
// # Usage
//
//	p := proxy.New(proxy.Config{Node: id, Fleet: fleet, Feed: feed, Gate: gate, …})
//	callers := p.Ingress(proxy.Origin{})
//	egress := p.Ingress(proxy.Origin{Service: "skraning", Backend: true})
//	peers := p.Peer(controlHandler)      // calls from other nodes
package proxy
