// Package bench measures the system on one machine, with small stand-ins and a
// bounded load, and prints tables for docs/MEASURES.md.
//
// # Usage
//
//	rows, err := bench.Fleet(ctx, bench.FleetConfig{Nodes: []int{9, 30, 90}, Changes: 20})
//	for _, r := range rows { fmt.Println(r) }
package bench
