// Package proof holds the integration tests: real processes of the system and
// of its stand-ins, with a fault-injecting proxy between them.
//
// Every node is reached by its peers through a proxy of its own, and each data
// centre reaches the platform through another, so that a test can cut, delay
// and reset what it likes. The tests read the ledgers of the backend servers
// and hold them against what callers were told.
//
// # Usage
//
//	go test ./internal/proof
package proof
