// Package feed is the duty of versions at a node: it holds the version in
// force, takes new ones from the store and from peers, and passes them on.
//
// The nodes of the first ranks of a data centre are its readers: they watch the
// store. A reader pushes a new version down a tree (see package spread);
// whoever learns from any message that another node is ahead fetches from it.
//
// # Usage
//
//	f := feed.New(feed.Config{Track: vers.DocumentConfig("nordurljos"), Source: l, Fleet: fleet, …})
//	err := f.Boot(ctx, seeds)
//	go f.Run(ctx)
//	snapshot := f.Snapshot()
package feed
