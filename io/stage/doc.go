// Package stage performs roll-outs: it moves the calls to a service to servers of the
// version that an operator has ordered, or back, as package canary decides.
//
// The readers of the store watch the orders. One of them is the holder of a roll-out: it
// owns a claim in the store under a lease, decides the stages, writes them to the store and
// sends them to all nodes. If it ends, another reader takes the claim and goes on. All
// nodes report to the holder what their gatekeepers have counted, and use a stage only
// while the holder confirms it.
//
// Without an order, only the watch of the orders runs. Without a canary share in the
// settings, not even that.
//
// # Usage
//
//	m := stage.New(stage.Config{Settings: settings.Rollout, Store: store, …})
//	go m.Run(ctx)
//	split := m.Split("skraning", versions) // how the proxy divides the calls
package stage
