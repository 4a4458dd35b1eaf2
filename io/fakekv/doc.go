// Package fakekv implements a stand-in for the platform's key-value service,
// for tests, demonstrations and measurements. It keeps all data in memory.
//
// It serves the parts of the etcd v3 JSON gateway that package etcd calls:
// transactions with compare, leases, watches with a start revision, compaction
// and rate limits. Faults can be injected while it runs.
//
// # Usage
//
//	s := fakekv.New(fakekv.Config{ReadRate: 2000, WriteRate: 300})
//	go http.Serve(l, s)
//	s.SetFaults(fakekv.Faults{Down: true})
package fakekv
