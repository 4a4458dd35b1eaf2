// Package fakekv implements a stand-in for the platform's key-value service,
// for tests, demonstrations and measurements. It keeps all data in memory.
//
// It serves the parts of the etcd v3 JSON gateway that package etcd calls:
// transactions with compare, leases, watches with a start revision, compaction
// and rate limits. Faults can be injected while it runs. It can also take a copy of
// its contents and restart from it later, which begins a new era: the header
// etcd.EraHeader of its answers rises by one, and revisions and ids of leases that it
// has given out since the copy are given out again.
//
// # Usage
//
//	s := fakekv.New(fakekv.Config{ReadRate: 2000, WriteRate: 300})
//	go http.Serve(l, s)
//	s.SetFaults(fakekv.Faults{Down: true})
//	s.TakeCopy()
//	s.RestoreCopy(time.Second)
package fakekv
