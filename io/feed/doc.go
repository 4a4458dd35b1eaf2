// Package feed distributes configuration versions. It holds the version in force
// at a node, gets new versions from the store and from other nodes, and forwards
// them.
//
// The nodes with the first ranks of a data centre are its readers, which watch the
// store. A reader pushes a new version along a tree of nodes, see package fanout.
// A node that learns from a version stamp that another node has a later version
// fetches it from there.
//
// # Usage
//
//	f := feed.New(feed.Config{TrackerConfig: vers.DocumentConfig("nordurljos"), Source: l, Fleet: fleet, …})
//	err := f.Boot(ctx, seeds)
//	go f.Run(ctx)
//	snapshot := f.Snapshot()
package feed
