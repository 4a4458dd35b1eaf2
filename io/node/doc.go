// Package node assembles the components of a node process and runs them until
// the end of a planned stop.
//
// # Usage
//
//	n, err := node.New(node.Config{Settings: settings, Store: store, Log: log})
//	err = n.Run(ctx) // performs a planned stop when ctx ends, then returns
package node
