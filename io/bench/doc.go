// Package bench measures the system on one machine, with stand-ins for the
// platform and the backend servers and with a bounded load. The results are
// printed as tables for docs/MEASURES.md.
//
// # Usage
//
//	rows, err := bench.Fleet(ctx, bench.FleetConfig{Nodes: []int{9, 30, 90}, Changes: 20})
//	for _, r := range rows { fmt.Println(r) }
package bench
