// Package node puts a node process together from its duties and runs it from
// start to planned stop.
//
// # Usage
//
//	n, err := node.New(node.Config{Settings: settings, Store: store, Log: log})
//	err = n.Run(ctx) // ctx ends: planned stop, returns when it is complete
package node
