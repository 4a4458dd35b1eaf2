package fleet

import (
	"context"
	"time"

	"tanagerchute/core/member"
	"tanagerchute/core/remote"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// act carries out what the table decided. It does not block.
func (f *Fleet) act(ctx context.Context, actions []member.Action) {
	for _, a := range actions {
		switch a.Kind {
		case member.Probe:
			f.goDo(func() { f.probe(ctx, a.Targets[0], a.Relays) })
		case member.Sync:
			f.goDo(func() { _ = f.syncWith(ctx, a.Targets[0].Addr) }) // repeated if it fails
		case member.Broadcast:
			req := &wire.GossipRequest{From: f.cfg.Self.ID, Members: peer.ToMembers(a.Records)}
			f.broadcast(ctx, a.Targets, req)
		}
	}
}

func (f *Fleet) goDo(fn func()) {
	f.wg.Add(1)
	f.underWay.Add(1)
	go func() {
		defer f.wg.Done()
		defer f.underWay.Add(-1)
		fn()
	}()
}

// broadcast sends a message to each target. A message that is lost is made up
// for by the digests that ride on probes.
func (f *Fleet) broadcast(ctx context.Context, targets []member.Record, req *wire.GossipRequest) {
	for _, t := range targets {
		f.goDo(func() {
			f.sends <- struct{}{}
			defer func() { <-f.sends }()
			ctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			_, _ = f.cfg.Client.To(t.Addr).Gossip(ctx, req)
		})
	}
}

func (f *Fleet) probe(ctx context.Context, target member.Record, relays []member.Record) {
	reply, err := f.ask(ctx, target)
	if err == nil {
		f.answered(ctx, target, reply)
		return
	}
	heard, alive := f.askRelays(ctx, target, relays)
	f.post(ctx, func(now time.Time) {
		if alive {
			f.act(ctx, f.table.ProbeAnswered(now, target.ID, nil, f.table.Digest()))
			return
		}
		f.act(ctx, f.table.ProbeFailed(now, target.ID, len(relays), heard))
	})
}

func (f *Fleet) ask(ctx context.Context, target member.Record) (*wire.ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return f.cfg.Client.To(target.Addr).Probe(ctx, &wire.ProbeRequest{
		From:    f.cfg.Self.ID,
		To:      target.ID,
		Version: peer.ToStamp(f.cfg.Stamp()),
	})
}

func (f *Fleet) answered(ctx context.Context, target member.Record, reply *wire.ProbeReply) {
	f.hear()
	f.cfg.OnPeerStamp(target.Addr, peer.FromStamp(reply.GetVersion()))
	records := peer.FromMembers(reply.GetMembers())
	f.post(ctx, func(now time.Time) {
		f.act(ctx, f.table.ProbeAnswered(now, target.ID, records, reply.GetDigest()))
	})
}

// askRelays asks other members to probe target. It returns how many of them
// answered at all, and whether one of them heard from target.
func (f *Fleet) askRelays(ctx context.Context, target member.Record, relays []member.Record) (heard int, alive bool) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	replies := make(chan *wire.RelayReply, len(relays))
	for _, r := range relays {
		f.goDo(func() {
			reply, err := f.cfg.Client.To(r.Addr).Relay(ctx, &wire.RelayRequest{Id: target.ID, Addr: target.Addr})
			if err != nil {
				reply = nil
			}
			replies <- reply
		})
	}
	for range relays {
		if reply := <-replies; reply != nil {
			heard++
			alive = alive || reply.GetHeard()
		}
	}
	return heard, alive
}

// syncWith exchanges whole tables with the node at addr.
func (f *Fleet) syncWith(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var records []member.Record
	if !f.do(ctx, func(time.Time) { records = f.table.Records() }) {
		return ctx.Err()
	}
	reply, err := f.cfg.Client.To(addr).Sync(ctx, &wire.SyncRequest{
		From:    f.cfg.Self.ID,
		Members: peer.ToMembers(records),
		Version: peer.ToStamp(f.cfg.Stamp()),
	})
	if err != nil {
		return err
	}
	f.hear()
	f.cfg.OnPeerStamp(addr, peer.FromStamp(reply.GetVersion()))
	f.do(ctx, func(now time.Time) {
		f.act(ctx, f.table.Merge(now, peer.FromMembers(reply.GetMembers())))
		f.mergeRemotes(ctx, now, peer.FromUpdates(reply.GetRemotes()))
	})
	return nil
}

// Join exchanges tables with the nodes at addrs and reports whether one of them
// answered. It does not wait for the others.
func (f *Fleet) Join(ctx context.Context, addrs []string) bool {
	results := make(chan error, len(addrs))
	n := 0
	for _, a := range addrs {
		if a == f.cfg.Self.Addr {
			continue
		}
		n++
		f.goDo(func() { results <- f.syncWith(ctx, a) })
	}
	for range n {
		if <-results == nil {
			return true
		}
	}
	return false
}

func (f *Fleet) mergeRemotes(ctx context.Context, now time.Time, us []remote.Update) {
	for _, u := range us {
		if f.remote.Merge(now, u) {
			f.passOn(ctx, u)
		}
	}
}

// passOn floods an update about another data centre to the neighbours.
func (f *Fleet) passOn(ctx context.Context, u remote.Update) {
	f.dirty = true
	f.broadcast(ctx, f.table.Neighbours(), &wire.GossipRequest{From: f.cfg.Self.ID, Remotes: peer.ToUpdates([]remote.Update{u})})
}
