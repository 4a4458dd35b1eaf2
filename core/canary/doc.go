// Package canary decides how the calls to a service are moved to servers of another
// version, and when they are moved back.
//
// An Order names the version and the time by which it must be in use. One node, the
// holder, runs a Rollout for it. That gives a few calls to the ordered version, the
// canary, then all calls, and then commits to the version or goes back to the old one.
// The present step is a Stage, which all nodes learn. Each of them keeps the stages in a
// Table and asks it for the Split of the calls to a service.
//
// The gatekeepers count the answers of their backend servers in a Tally. From the tallies
// of all nodes, a Judge compares the ordered version with the old one, route by route and
// at the same time, by a sequential test. The Rollout also keeps the calls that the
// version gets within a share of all calls until the deadline, even if the version turns
// bad at the worst moment: it moves all calls only when the calls that it would then get
// until it is found bad fit into that bound.
//
// A verdict, which is to commit or to go back, is final for its order.
//
// # Usage
//
//	r := canary.New(canary.Config{Share: 0.1, Slack: 50}, now, order, "v1", canary.Stage{})
//	r.Report(now, node, tally)
//	if next, ok := r.Next(now, servers); ok {
//		r.Enter(now, next) // once it is stored, see Stage.StoredFirst
//	}
//	changed := table.Merge(now, next)
//	split := table.Split(now, "skraning", versions)
package canary
