package fleet

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/core/remote"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// errBusy is returned if the duty could not take a message in time.
var errBusy = twirp.NewError(twirp.Unavailable, "membership is busy")

// Probe answers a probe. A prober that this node holds for suspect or dead is
// told so, and can refute it.
func (f *Fleet) Probe(ctx context.Context, req *wire.ProbeRequest) (*wire.ProbeReply, error) {
	if req.GetTo() != f.cfg.Self.ID {
		// The address has a new owner; its old one is not here to answer.
		return nil, twirp.NewError(twirp.NotFound, "another node has this address")
	}
	reply := &wire.ProbeReply{Version: peer.ToStamp(f.cfg.Stamp())}
	ok := f.do(ctx, func(time.Time) {
		reply.Digest = f.table.Digest()
		if m, known := f.table.Get(req.GetFrom()); known && m.State != member.Alive {
			reply.Members = peer.ToMembers([]member.Record{m})
		}
	})
	if !ok {
		return nil, errBusy
	}
	f.hear()
	if m, known := f.View().Get(req.GetFrom()); known {
		f.cfg.OnPeerStamp(m.Addr, peer.FromStamp(req.GetVersion()))
	}
	return reply, nil
}

// Relay probes another node for the caller.
func (f *Fleet) Relay(ctx context.Context, req *wire.RelayRequest) (*wire.RelayReply, error) {
	_, err := f.ask(ctx, member.Record{ID: req.GetId(), Addr: req.GetAddr()})
	return &wire.RelayReply{Heard: err == nil}, nil
}

// Gossip takes changed records.
func (f *Fleet) Gossip(ctx context.Context, req *wire.GossipRequest) (*wire.GossipReply, error) {
	records := f.validated(req.GetFrom(), req.GetMembers())
	updates := peer.FromUpdates(req.GetRemotes())
	background := context.WithoutCancel(ctx)
	ok := f.do(ctx, func(now time.Time) {
		f.act(background, f.table.Merge(now, records))
		f.mergeRemotes(background, now, updates)
	})
	if !ok {
		return nil, errBusy
	}
	return &wire.GossipReply{}, nil
}

// Sync takes a whole table and returns this node's.
func (f *Fleet) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	records := f.validated(req.GetFrom(), req.GetMembers())
	background := context.WithoutCancel(ctx)
	reply := &wire.SyncReply{Version: peer.ToStamp(f.cfg.Stamp())}
	ok := f.do(ctx, func(now time.Time) {
		f.act(background, f.table.Merge(now, records))
		reply.Members = peer.ToMembers(f.table.Records())
		reply.Remotes = peer.ToUpdates(f.remote.Updates())
	})
	if !ok {
		return nil, errBusy
	}
	f.hear()
	if m, known := f.View().Get(req.GetFrom()); known {
		f.cfg.OnPeerStamp(m.Addr, peer.FromStamp(req.GetVersion()))
	}
	return reply, nil
}

// validated drops records that can't be right and journals the first of them.
func (f *Fleet) validated(from string, ms []*wire.Member) []member.Record {
	var out []member.Record
	var bad error
	for _, r := range peer.FromMembers(ms) {
		if err := r.Validate(); err != nil {
			bad = err
			continue
		}
		out = append(out, r)
	}
	if bad != nil {
		f.journal(time.Now(), event.FrameDropped, from, bad.Error())
	}
	return out
}

// Summary returns the summary of this data centre.
func (f *Fleet) Summary() remote.Summary { return f.View().Summary() }

// HeardCentre takes a summary from another data centre, or notes an exchange
// with it that brought nothing new if s is nil.
func (f *Fleet) RecordExchange(ctx context.Context, name string, s *remote.Summary) {
	background := context.WithoutCancel(ctx)
	f.do(ctx, func(now time.Time) {
		var u remote.Update
		var news bool
		kind := event.DataCentreBack
		if f.remote.Reachable(name) {
			kind = event.DataCentreChanged
		}
		if s == nil {
			u, news = f.remote.ConfirmUnchanged(now, name)
		} else {
			u, news = f.remote.UpdateDirect(now, *s)
		}
		if !news {
			return
		}
		f.journal(now, kind, name, "exchange with its relay")
		f.passOn(background, u)
	})
}

// CentreDigest returns the digest of what is known of another data centre, or
// 0 if nothing is.
func (f *Fleet) SummaryDigest(ctx context.Context, name string) uint64 {
	var d uint64
	f.do(ctx, func(time.Time) { d = f.remote.Digest(name) })
	return d
}

// JudgeSilence marks the data centres that this node, as a relay, has not
// heard from. fresh says that it has only just become a relay.
func (f *Fleet) MarkLostDataCentres(ctx context.Context, fresh bool) {
	background := context.WithoutCancel(ctx)
	f.do(ctx, func(now time.Time) {
		if fresh {
			f.remote.ResetLastContact(now)
			return
		}
		for _, u := range f.remote.MarkLost(now) {
			f.journal(now, event.DataCentreLost, u.Summary.DataCentre, "no exchange for "+lostAfter.String())
			f.passOn(background, u)
		}
	})
}
