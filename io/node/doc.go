// Package node assembles the components of a node process and runs them until
// the end of a planned stop.
//
// A node joins the other nodes of its data centre, or of its region if the
// deployment has regions. It finds them by the seeds, which are addresses of nodes
// in the settings and in the store. It gets the configuration version in force
// from the other nodes or from the store, and then accepts callers. In a planned
// stop it refuses new calls and waits for the calls in flight.
//
// # Usage
//
//	n, err := node.New(node.Config{Settings: settings, Store: store, Log: log})
//	err = n.Run(ctx) // performs a planned stop when ctx ends, then returns
package node
