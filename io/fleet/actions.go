package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerchute/core/member"
	"tanagerchute/core/remote"
	"tanagerchute/io/clock"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// perform executes the actions that the member table returned. It does not block.
func (f *Fleet) perform(ctx context.Context, actions []member.Action) {
	for _, a := range actions {
		switch a.Kind {
		case member.Probe:
			f.spawn(func() { f.probe(ctx, a.Targets[0], a.Relays) })
		case member.Sync:
			// If it fails, the next probe reply with a different digest repeats it.
			f.spawn(func() { _ = f.syncWith(ctx, a.Targets[0].Addr) })
		case member.Broadcast:
			req := &wire.GossipRequest{From: f.cfg.Self.ID, Members: peer.ToMembers(a.Records)}
			f.broadcast(ctx, a.Targets, req, nil)
		}
	}
}

// spawn runs fn in a new goroutine that Run waits for.
func (f *Fleet) spawn(fn func()) {
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		fn()
	}()
}

// broadcast sends a message to each target. It does not retry: the table digests
// in probe replies reveal a lost message, and a sync repairs it. It calls onConfirm, if
// that is not nil, for each target that has confirmed the message.
func (f *Fleet) broadcast(ctx context.Context, targets []member.Record, req *wire.GossipRequest, onConfirm func()) {
	for _, t := range targets {
		f.spawn(func() {
			f.sendSlots <- struct{}{}
			defer func() { <-f.sendSlots }()
			ctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			_, err := f.cfg.Client.To(t.Addr).Gossip(ctx, req)
			if err == nil && onConfirm != nil {
				onConfirm()
			}
		})
	}
}

// probe probes target and records the result in the member table. If target does
// not answer a direct probe, the relays, which are other members, probe it too.
func (f *Fleet) probe(ctx context.Context, target member.Record, relays []member.Record) {
	reply, err := f.sendProbe(ctx, target)
	if err == nil {
		f.recordProbeReply(ctx, target, reply)
		return
	}
	answered, reached := f.probeIndirectly(ctx, target, relays)
	f.post(ctx, func(now time.Time) {
		if reached {
			f.perform(ctx, f.table.ProbeAnswered(now, target.ID, nil, f.table.Digest()))
			return
		}
		f.perform(ctx, f.table.ProbeFailed(now, target.ID, len(relays), answered))
	})
}

// sendProbe sends a direct probe to target.
func (f *Fleet) sendProbe(ctx context.Context, target member.Record) (*wire.ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sentAt := clock.Now()
	reply, err := f.cfg.Client.To(target.Addr).Probe(ctx, &wire.ProbeRequest{
		From:    f.cfg.Self.ID,
		To:      target.ID,
		Version: peer.ToStamp(f.cfg.Stamp()),
	})
	if age := reply.GetProofAge(); err == nil && age > 0 && f.cfg.OnPeerProof != nil {
		f.cfg.OnPeerProof(peer.FromStamp(reply.GetVersion()), time.Duration(age), sentAt)
	}
	return reply, err
}

// recordProbeReply passes the reply to a direct probe to the member table, and its
// version stamp to Config.OnPeerStamp.
func (f *Fleet) recordProbeReply(ctx context.Context, target member.Record, reply *wire.ProbeReply) {
	f.recordContact()
	f.cfg.OnPeerStamp(target.Addr, peer.FromStamp(reply.GetVersion()))
	records := peer.FromMembers(reply.GetMembers())
	f.post(ctx, func(now time.Time) {
		f.perform(ctx, f.table.ProbeAnswered(now, target.ID, records, reply.GetDigest()))
	})
	f.crashes.compareDigest(ctx, target.Addr, reply.GetCrashDigest())
}

// probeIndirectly asks the relays to probe target. It returns how many relays
// answered, and whether one of them reached target.
func (f *Fleet) probeIndirectly(ctx context.Context, target member.Record, relays []member.Record) (answered int, reached bool) {
	ctx, cancel := context.WithTimeout(ctx, indirectProbeTimeout)
	defer cancel()
	replies := make(chan *wire.RelayReply, len(relays))
	for _, r := range relays {
		f.spawn(func() {
			reply, err := f.cfg.Client.To(r.Addr).Relay(ctx, &wire.RelayRequest{Id: target.ID, Addr: target.Addr})
			if err != nil {
				reply = nil
			}
			replies <- reply
		})
	}
	for range relays {
		if reply := <-replies; reply != nil {
			answered++
			reached = reached || reply.GetHeard()
		}
	}
	return answered, reached
}

// syncWith exchanges tables with the node at addr.
func (f *Fleet) syncWith(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var req member.SyncMessage
	if !f.do(ctx, func(time.Time) { req = f.table.SyncRequest() }) {
		return ctx.Err()
	}
	reply, err := f.cfg.Client.To(addr).Sync(ctx, &wire.SyncRequest{
		From:    f.cfg.Self.ID,
		Members: peer.ToMembers(req.Records),
		Digests: req.Digests,
		Version: peer.ToStamp(f.cfg.Stamp()),
		Crashes: f.crashes.Encode(),
	})
	if err != nil {
		return err
	}
	f.crashes.Merge(reply.GetCrashes())
	f.recordContact()
	f.cfg.OnPeerStamp(addr, peer.FromStamp(reply.GetVersion()))
	var missing []member.Record
	done := f.do(ctx, func(now time.Time) {
		var acts []member.Action
		missing, acts = f.table.CompleteSync(now, member.SyncMessage{
			Records: peer.FromMembers(reply.GetMembers()),
			Digests: reply.GetDigests(),
		})
		f.perform(ctx, acts)
		f.mergeUpdates(ctx, now, peer.FromUpdates(reply.GetRemotes()))
	})
	if !done {
		return ctx.Err() // missing may be written at any time
	}
	if len(missing) == 0 {
		return nil
	}
	_, err = f.cfg.Client.To(addr).Gossip(ctx, &wire.GossipRequest{From: f.cfg.Self.ID, Members: peer.ToMembers(missing)})
	return err
}

// maxJoins is the number of nodes that Join contacts. With three, the nodes of a
// group that start together find each other, and no seed has to send its table to
// all of them.
const maxJoins = 3

// Join exchanges tables with up to maxJoins of the nodes at addrs, chosen at
// random. It returns true as soon as one of them has answered, and false if all
// exchanges failed.
func (f *Fleet) Join(ctx context.Context, addrs []string) bool {
	others := slices.DeleteFunc(slices.Clone(addrs), func(a string) bool { return a == f.cfg.Self.Addr })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), maxJoins)]
	errs := make(chan error, len(others))
	for _, a := range others {
		f.spawn(func() { errs <- f.syncWith(ctx, a) })
	}
	for range others {
		if <-errs == nil {
			return true
		}
	}
	return false
}

// mergeUpdates merges updates about other data centres and forwards the new ones.
func (f *Fleet) mergeUpdates(ctx context.Context, now time.Time, updates []remote.Update) {
	for _, u := range updates {
		if f.remotes.Merge(now, u) {
			f.forward(ctx, u)
		}
	}
}

// forward sends an update about another data centre to this node's neighbours,
// which flood it through the data centre.
func (f *Fleet) forward(ctx context.Context, u remote.Update) {
	f.viewOutdated = true
	f.broadcast(ctx, f.table.Neighbours(), &wire.GossipRequest{From: f.cfg.Self.ID, Remotes: peer.ToUpdates([]remote.Update{u})}, nil)
}
