// Package feed distributes configuration versions. It holds the version in force
// at a node, which is the version that the node applies to calls. It gets new
// versions from the store and from other nodes, and forwards them.
//
// The readers of a data centre are the nodes that watch the store: those that rank
// first in the data centre, see package rank. What a watch does not tell is found by checks, which
// the readers and a few other nodes make if nobody has proved for too long that the version in force
// is the newest, see package proof. A reader offers a new version to the
// other nodes along a tree, see package fanout. In a deployment with regions, the
// tree spans the region. Nodes also attach the stamp of the version in force, its
// number and digest, to other messages such as probes. A node that learns from a
// stamp that another node has a later version fetches it from there.
//
// # Usage
//
//	f := feed.New(feed.Config{TrackerConfig: vers.DocumentConfig("nordurljos"), Source: l, Fleet: fleet, …})
//	err := f.Boot(ctx, seeds)
//	go f.Run(ctx)
//	snapshot := f.Snapshot()
package feed
