// Package drift compares the settings of the nodes of a fleet.
//
// Settings are a set of values by key. Their digest covers the keys that should be
// the same everywhere. Keys that identify an instance, such as its name and its
// addresses, are left out. So two nodes with the same digest behave alike, and a
// node whose digest differs from that of the others has missed a change or got
// another one.
//
// # Usage
//
//	s := drift.NewSettings(values)
//	changes := drift.Diff(a, b)
//	groups := drift.GroupNodes(nodes)
package drift
