// Package rig runs nodes of the users' platform as separate processes on loopback addresses, with
// stand-ins of the store, of the upstreams and of the clients. The scripts of the review use it.
//
// The stand-ins follow the users' pages. Each upstream can be crashed, restarted and replaced, and
// may answer late, in part or not at all, as its script says.
//
// # Usage
//
//	r := rig.New(rig.Config{Binary: "target/tanagerchute"})
//	defer r.Close()
//	m := r.AddMachine("zone-a", "orders")
//	r.WriteConfig(rig.Document{…})
//	m.StartNode()
//	u := m.StartUpstream(rig.UpstreamConfig{ID: "i-1"})
package rig
