// Package bench measures the system on one machine, with stand-ins for the
// platform and the backend servers and with a bounded load. The results are
// printed as tables for docs/MEASURES.md.
//
// A version of the configuration document is in force at a node once the node
// applies it to calls. The readers of a data centre are the nodes that read new
// versions from the platform's store and distribute them. Control traffic is all
// traffic between nodes other than calls.
//
// # Usage
//
//	rows, err := bench.Fleet(ctx, bench.FleetConfig{Nodes: []int{9, 30, 90}, Changes: 20})
//	for _, r := range rows { fmt.Println(r) }
package bench
