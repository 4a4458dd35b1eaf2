package fleet

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/core/remote"
	"tanagerchute/core/vers"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// errBusy is returned if the context of a message ended before Run processed the
// message, or if Run has ended.
var errBusy = twirp.NewError(twirp.Unavailable, "membership did not process the message in time")

// Probe answers a probe. If the prober is not alive in this node's table, the
// reply contains its record, so that it can refute a suspicion.
func (f *Fleet) Probe(ctx context.Context, req *wire.ProbeRequest) (*wire.ProbeReply, error) {
	if req.GetTo() != f.cfg.Self.ID {
		// The process that the probe is meant for had this address before. An
		// answer would make it look alive.
		return nil, twirp.NewError(twirp.NotFound, "this address belongs to another node now")
	}
	stamp, proofAge := f.proof()
	reply := &wire.ProbeReply{Version: peer.ToStamp(stamp), ProofAge: int64(proofAge), CrashDigest: f.crashes.Digest()}
	ok := f.do(ctx, func(time.Time) {
		reply.Digest = f.table.Digest()
		if m, known := f.table.Get(req.GetFrom()); known && m.State != member.Alive {
			reply.Members = peer.ToMembers([]member.Record{m})
		}
	})
	if !ok {
		return nil, errBusy
	}
	f.recordContact()
	if m, known := f.View().Get(req.GetFrom()); known {
		f.cfg.OnPeerStamp(m.Addr, peer.FromStamp(req.GetVersion()))
	}
	return reply, nil
}

// proof returns the stamp of the version in force with the age of its proof.
func (f *Fleet) proof() (vers.Stamp, time.Duration) {
	if f.cfg.Proof == nil {
		return f.cfg.Stamp(), 0
	}
	return f.cfg.Proof()
}

// Relay probes another node for the node that sent the request, and reports whether
// it answered.
func (f *Fleet) Relay(ctx context.Context, req *wire.RelayRequest) (*wire.RelayReply, error) {
	_, err := f.sendProbe(ctx, member.Record{ID: req.GetId(), Addr: req.GetAddr()})
	return &wire.RelayReply{Heard: err == nil}, nil
}

// Gossip merges changed member records and updates about other data centres.
func (f *Fleet) Gossip(ctx context.Context, req *wire.GossipRequest) (*wire.GossipReply, error) {
	records := f.dropInvalid(req.GetFrom(), req.GetMembers())
	updates := peer.FromUpdates(req.GetRemotes())
	f.crashes.Merge(req.GetCrashes())
	if len(records) == 0 && len(updates) == 0 {
		return &wire.GossipReply{}, nil
	}
	detached := context.WithoutCancel(ctx)
	ok := f.do(ctx, func(now time.Time) {
		f.perform(detached, f.table.Merge(now, records))
		f.mergeUpdates(detached, now, updates)
	})
	if !ok {
		return nil, errBusy
	}
	return &wire.GossipReply{}, nil
}

// Sync merges the records of a request and returns those that may differ between
// the tables.
func (f *Fleet) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	request := member.SyncMessage{Records: f.dropInvalid(req.GetFrom(), req.GetMembers()), Digests: req.GetDigests()}
	detached := context.WithoutCancel(ctx)
	f.crashes.Merge(req.GetCrashes())
	reply := &wire.SyncReply{Version: peer.ToStamp(f.cfg.Stamp()), Crashes: f.crashes.Encode()}
	ok := f.do(ctx, func(now time.Time) {
		answer, acts := f.table.AnswerSync(now, request)
		f.perform(detached, acts)
		reply.Members, reply.Digests = peer.ToMembers(answer.Records), answer.Digests
		reply.Remotes = peer.ToUpdates(f.remotes.Updates())
	})
	if !ok {
		return nil, errBusy
	}
	f.recordContact()
	if m, known := f.View().Get(req.GetFrom()); known {
		f.cfg.OnPeerStamp(m.Addr, peer.FromStamp(req.GetVersion()))
	}
	return reply, nil
}

// dropInvalid returns the valid records. If there are invalid ones, it journals
// the error of the last.
func (f *Fleet) dropInvalid(from string, ms []*wire.Member) []member.Record {
	var valid []member.Record
	var lastErr error
	for _, r := range peer.FromMembers(ms) {
		if err := r.Validate(); err != nil {
			lastErr = err
			continue
		}
		valid = append(valid, r)
	}
	if lastErr != nil {
		f.recordEvent(time.Now(), event.FrameDropped, from, lastErr.Error())
	}
	return valid
}

// Summary returns the summary of this data centre for the others.
func (f *Fleet) Summary() remote.Summary { return f.View().Summary() }

// RecordExchange records an exchange with another data centre in which it sent the
// summary s. A nil s means that its summary has not changed.
func (f *Fleet) RecordExchange(ctx context.Context, name string, s *remote.Summary) {
	detached := context.WithoutCancel(ctx)
	f.do(ctx, func(now time.Time) {
		var u remote.Update
		var changed bool
		kind := event.DataCentreBack
		if f.remotes.Reachable(name) {
			kind = event.DataCentreChanged
		}
		if s == nil {
			u, changed = f.remotes.ConfirmUnchanged(now, name)
		} else {
			u, changed = f.remotes.UpdateDirect(now, *s)
		}
		if !changed {
			return
		}
		f.recordEvent(now, kind, name, "exchange with this data centre")
		f.forward(detached, u)
	})
}

// SummaryDigest returns the digest of the summary of another data centre, or 0 if
// that data centre is unknown or lost.
func (f *Fleet) SummaryDigest(ctx context.Context, name string) uint64 {
	var d uint64
	if !f.do(ctx, func(time.Time) { d = f.remotes.Digest(name) }) {
		return 0 // d may still be set
	}
	return d
}

// MarkLostDataCentres marks the data centres as lost with which this node has had
// no exchange for too long, see remote.Table.MarkLost. Only the relay of a data
// centre calls it, see package relay. If the node has only just become the relay,
// it sets the last contact with all of them to now instead.
func (f *Fleet) MarkLostDataCentres(ctx context.Context, becameRelay bool) {
	detached := context.WithoutCancel(ctx)
	f.do(ctx, func(now time.Time) {
		if becameRelay {
			f.remotes.ResetLastContact(now)
			return
		}
		for _, u := range f.remotes.MarkLost(now) {
			f.recordEvent(now, event.DataCentreLost, u.Summary.DataCentre, "no exchange for "+lostAfter.String())
			f.forward(detached, u)
		}
	})
}
