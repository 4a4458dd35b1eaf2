// Package integ contains the integration tests. They run the nodes and the
// stand-ins as separate processes, with fault-injecting proxies between them.
//
// Peers reach each node through its own proxy, and each data centre reaches the
// platform through another one, so that a test can cut, delay and reset these
// connections. The tests compare the answers that callers got with the calls that
// the backend servers recorded in their ledgers.
//
// A booking is a call whose work must run at most once. Its idempotency key lets the
// caller repeat it through any node. The answer to a call that was not completed
// states its outcome: not_run, or unknown if the work may have run.
//
// # Usage
//
//	go test ./internal/integ
package integ
