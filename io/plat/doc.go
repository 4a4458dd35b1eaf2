// Package plat is a stand-in of the platform's key-value service for tests,
// demonstrations and trials. It keeps everything in memory.
//
// It serves the parts of the etcd v3 JSON gateway that package etcd calls,
// with compare-and-swap, leases, watches with a start revision, compaction and
// rate limits, and has faults that can be switched while it runs.
//
// # Usage
//
//	s := plat.New(plat.Config{ReadRate: 2000, WriteRate: 300})
//	go http.Serve(l, s)
//	s.SetFaults(plat.Faults{Down: true})
package plat
