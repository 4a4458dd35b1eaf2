// Package proof contains the integration tests. They run the nodes and the
// stand-ins as separate processes, with fault-injecting proxies between them.
//
// Peers reach each node through its own proxy, and each data centre reaches the
// platform through another one, so that a test can cut, delay and reset these
// connections. The tests compare the answers that callers got with the calls that
// the backend servers recorded in their ledgers.
//
// # Usage
//
//	go test ./internal/proof
package proof
