// Package remote is what a data centre knows of the others: for each service
// the slots that take work and a few entry nodes, and nothing for each member.
//
// A Summary is derived from the membership of its data centre, so that any
// node there can produce it. Its size grows with the number of services and
// not with the fleet. It carries no load: load rides on the answers of the
// calls that cross.
//
// # Usage
//
//	s := remote.Summarize("hafnar", records)
//	changed := table.Put(now, s)
//	targets := table.View().Entries("skraning")
package remote
