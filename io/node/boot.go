package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/io/timer"
)

const (
	// joinInterval is the pause between attempts to join other nodes at the start.
	joinInterval = 200 * time.Millisecond
	// maxJoinRounds is the number of failed attempts to join after which a node
	// assumes that it is the first of its data centre.
	maxJoinRounds = 8
	// rejoinInterval is the pause between attempts to join seeds that are not up.
	rejoinInterval = 5 * time.Second
	// seedReadTimeout bounds a read of the seeds from the store at the start.
	seedReadTimeout = 2 * time.Second
)

// boot joins the other nodes, gets the version in force from them or from the
// store, and then looks for a running backend server.
func (n *Node) boot(ctx context.Context) {
	addrs := n.join(ctx)
	if ctx.Err() != nil {
		return
	}
	n.fleet.PublishView(ctx) // the first request needs the upstreams that it has learned of
	n.feed.SetJoined()
	n.rollouts.Boot(ctx)
	n.observeFormerLeave(ctx)
	go n.watchFormerLeave(ctx)
	if err := n.feed.Boot(ctx, addrs); err != nil {
		return // the node is stopping
	}
	n.recordEvent(event.NodeReady, "version in force")
	go n.joinQuotas(ctx)
	n.booted.Store(true)
	n.discoverBackend(ctx)
	n.leaves.Ready()
}

// defaultBackendSlots is the assumed number of slots of a backend server that was
// found by a health check, until it announces its own.
const defaultBackendSlots = 8

// join exchanges member tables with the seeds from the settings, and with those
// from the store if none of them answers. If the store has none either, it
// registers this node there. It stops searching when another node is known, which
// may be because that node has found this one, and exchanges tables with it. It
// returns the addresses of the seeds of all data centres.
func (n *Node) join(ctx context.Context) []string {
	searchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.cancelWhenPeerKnown(searchCtx, cancel)
	seeds, joined := n.joinSeeds(searchCtx)
	if !joined {
		n.fleet.Join(ctx, slices.Collect(maps.Values(n.peerAddrs())))
	}
	return slices.DeleteFunc(seeds, func(a string) bool { return a == n.cfg.Settings.Listen.PeerAddr() })
}

// joinSeeds searches for seeds and exchanges tables with them, until that has
// succeeded, ctx has ended, or maxJoinRounds have failed. It returns the addresses
// of all seeds that it has found, and whether it has succeeded.
func (n *Node) joinSeeds(ctx context.Context) (all []string, joined bool) {
	s := n.cfg.Settings
	own := slices.Clone(s.Seeds[s.Group()])
	for _, addrs := range s.Seeds {
		all = append(all, addrs...)
	}
	for range maxJoinRounds {
		if n.fleet.Join(ctx, own) {
			return all, true
		}
		found := n.seedsFromStore(ctx)
		known := len(own)
		for centre, addrs := range found {
			all = appendMissing(all, addrs)
			if centre == s.Group() {
				own = appendMissing(own, addrs)
			}
		}
		if len(own) > known && n.fleet.Join(ctx, own) {
			return all, true
		}
		if n.seeds != nil && len(found[s.Group()]) == 0 && ctx.Err() == nil {
			n.registerIfFirst(ctx)
		}
		if !timer.Sleep(ctx, joinInterval) {
			break
		}
	}
	return all, false
}

// maxRegisterDelay bounds the random delay before a node that has found no seeds
// registers itself. Of many nodes that start together, only a few then do.
const maxRegisterDelay = 300 * time.Millisecond

// registerIfFirst registers this node as a seed after a random delay, unless
// another node has registered by then.
func (n *Node) registerIfFirst(ctx context.Context) {
	if !timer.Sleep(ctx, rand.N(maxRegisterDelay)) {
		return
	}
	if found := n.seedsFromStore(ctx); len(found[n.cfg.Settings.Group()]) == 0 && ctx.Err() == nil {
		n.seeds.Register(ctx)
	}
}

// appendMissing appends those of addrs to list that it does not contain.
func appendMissing(list, addrs []string) []string {
	for _, a := range addrs {
		if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}

// cancelWhenPeerKnown calls cancel once another running node is known. It returns
// without calling it if ctx ends first.
func (n *Node) cancelWhenPeerKnown(ctx context.Context, cancel context.CancelFunc) {
	for timer.Sleep(ctx, pollInterval) {
		if len(n.fleet.View().ActiveIDs()) > 1 {
			cancel()
			return
		}
	}
}

// rejoin periodically joins those seeds in the settings that are in the node's own
// data centre or region and not known to be up. A node that was partitioned from
// the others when it started finds them this way even while the store is down.
func (n *Node) rejoin(ctx context.Context) {
	for timer.Sleep(ctx, rejoinInterval) {
		var missing []string
		view := n.fleet.View()
		for _, addr := range n.cfg.Settings.Seeds[n.cfg.Settings.Group()] {
			up := slices.ContainsFunc(view.Members, func(m member.Record) bool { return m.Addr == addr && m.IsUp() })
			if !up {
				missing = append(missing, addr)
			}
		}
		n.fleet.Join(ctx, missing)
	}
}

// seedsFromStore reads the seeds from the store. It returns nil if there is no
// store or the read fails.
func (n *Node) seedsFromStore(ctx context.Context) map[string][]string {
	if n.seeds == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, seedReadTimeout)
	defer cancel()
	found, err := n.seeds.List(ctx)
	if err != nil {
		return nil
	}
	n.setSeeds(found)
	return found
}
