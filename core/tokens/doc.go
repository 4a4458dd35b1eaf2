// Package tokens keeps the requests of each client account within its quota, over
// all nodes together.
//
// Each account has a keeper, the member of the highest rank among those that are up.
// The Keeper has a token bucket for the account. The Holder of each node withdraws
// tokens from it, ahead of the demand of the node, and spends one for each request
// that is admitted. A request that finds no token waits for a withdrawal.
//
// Tokens lapse if the keeper has not answered for Lease. Messages may be lost,
// repeated and reordered: each says what the holder has and how much it has spent in
// all, and the keeper takes the rest back.
//
// A data centre that is cut off has a keeper of its own. Both sides then give out
// only their part of the quota, see Members.
//
// The note docs/design/quotas.md says why the sum over all nodes is bounded. Keeper
// and Holder are state machines without goroutines, sockets or clocks. They are not
// safe for concurrent use.
//
// # Usage
//
//	h := tokens.NewHolder(tokens.HolderConfig{Self: id})
//	h.SetMembers(now, members)
//	outcome, decided := h.Admit(now, account, waitUntil)
//	for _, m := range h.Due(now) { … send m to m.To … }
//	outcomes := h.Receive(now, to, seq, reply) // or h.Fail(now, to, seq)
//
//	k := tokens.NewKeeper(tokens.KeeperConfig{Self: id, Bounds: bounds, Quota: quotaOf})
//	k.SetMembers(now, members)
//	reply := k.Answer(now, message)
package tokens
