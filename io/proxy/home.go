package proxy

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/once"
	"tanagerchute/core/rank"
	"tanagerchute/core/tenure"
	"tanagerchute/io/keep"
	"tanagerchute/io/peer"
	"tanagerchute/io/timer"
	"tanagerchute/io/wire"
)

// homes records the work that this node is the home of, or brings into the
// data centre for another one.
type homeTable struct {
	*keep.SyncTable
	refuseNew atomic.Bool
}

// leave lets no new key begin here. Those that have begun go on, and can be
// asked about until the node stops.
func (h *homeTable) refuseNewKeys() { h.refuseNew.Store(true) }

// Begin implements keep.Table.
func (h *homeTable) Begin(c call.Call) (once.Verdict, once.Answer) {
	if h.refuseNew.Load() && !h.Contains(c.ID) {
		return once.Fenced, once.Answer{}
	}
	return h.SyncTable.Begin(c)
}

// keyID is the key of the table for work of a service under a caller's key.
func recordID(service, key string) string { return service + "/" + key }

// keyed brings a call with an idempotency key to the home of the key. It may
// be sent there any number of times.
func (p *Proxy) dispatchKeyed(ctx context.Context, c call.Call, key once.Key) call.Reply {
	c.ID, c.Issued, c.Key = recordID(c.Service, key.ID), key.Issued, key.ID
	centre := key.DataCentre
	if centre == "" {
		centre = rank.Best("centre/"+c.ID, p.cfg.DataCentres)
	}
	last := call.Refuse(call.Unknown, call.CauseHomeUnreachable, time.Second)
	for try := 0; ; try++ {
		if r, ok := p.tryHome(ctx, c, centre, try); ok {
			return r
		} else if r.Replied {
			last = r
		}
		if p.dataCentreUnreachable(centre) || !timer.Sleep(ctx, inquiryInterval/2) || time.Now().After(c.Deadline) {
			return withUnknownFate(last)
		}
	}
}

// lostCentre reports whether another data centre is known to be out of reach.
// A call that can't be settled then gets its answer at once.
func (p *Proxy) dataCentreUnreachable(centre string) bool {
	reachable, known := p.cfg.Fleet.View().Remote.Reachable[centre]
	return centre != p.cfg.DataCentre && known && !reachable
}

// unsettled returns the refusal of a call whose home could not settle it. The
// key may have run by an earlier try, so nothing is promised.
func withUnknownFate(r call.Reply) call.Reply {
	r.Fate = call.Unknown
	return r
}

// homeOnce tries the home of a key once. ok is false if it has to be tried
// again.
func (p *Proxy) tryHome(ctx context.Context, c call.Call, centre string, try int) (r call.Reply, ok bool) {
	id, _ := newID()
	c = c.WithAttempt(id, call.Home)
	c.From = p.cfg.Node
	if centre == p.cfg.DataCentre {
		r = p.sendToLocalHome(ctx, c)
	} else {
		relays := p.cfg.Fleet.View().Remote.Relays[centre]
		if len(relays) == 0 || p.dataCentreUnreachable(centre) {
			return call.Refuse(call.Unknown, call.CauseHomeUnreachable, time.Second), false
		}
		r = p.send(ctx, relays[try%len(relays)], c)
	}
	settled := r.Replied && r.Cause != call.CauseMoved && r.Cause != call.CauseFenced
	return r, settled
}

// atHome brings a call to its home in this data centre, which may be this
// node.
func (p *Proxy) sendToLocalHome(ctx context.Context, c call.Call) call.Reply {
	view := p.cfg.Fleet.View()
	home := tenure.Home(c.ID, view.Keys())
	if home == p.cfg.Node {
		return p.runAsHome(ctx, c)
	}
	m, ok := view.Get(home)
	if !ok {
		return call.Refuse(call.Unknown, call.CauseHomeUnreachable, time.Second)
	}
	return p.send(ctx, m.Addr, c)
}

// runHome runs a call whose key has its home here.
func (p *Proxy) runAsHome(ctx context.Context, c call.Call) call.Reply {
	if !p.cfg.Fleet.InStanding(time.Now()) {
		p.recordEvent(event.RequestUnknown, c, "this node can't tell that it is the only home of the key")
		return call.Refuse(call.Unknown, call.CauseHomeNotInStanding, time.Second)
	}
	if r, ok := p.checkEarlierHomes(ctx, c); !ok {
		return r
	}
	return keep.Run(ctx, p.homes, c, func() call.Reply {
		// The work is recorded under its key here, so it may be recorded at its
		// upstream under an id of its own.
		id, issued := newID()
		r, _ := p.dispatch(context.WithoutCancel(ctx), c.WithID(id, issued), false)
		return r
	})
}

// askBefore asks the nodes that may have been the home of the key before. ok
// is true if none of them has run it, nor ever will.
func (p *Proxy) checkEarlierHomes(ctx context.Context, c call.Call) (r call.Reply, ok bool) {
	if p.homes.Contains(c.ID) {
		return r, true
	}
	former, complete := p.cfg.Fleet.Former(c.ID, c.Issued, "")
	if !complete {
		return p.refuseUnverified(c, "more members have been removed since the key was issued than this node remembers"), false
	}
	removed, anchored := former.Removed, former.Anchor
	for _, id := range tenure.RankOthers(c.ID, p.cfg.Fleet.View().Keys(), p.cfg.Node) {
		if anchored {
			break
		}
		former, r, ok := p.askEarlierHome(ctx, c, id)
		if !ok {
			return r, false
		}
		removed, anchored = append(removed, former.Removed...), former.Anchor
	}
	if !anchored {
		return p.refuseUnverified(c, "no member has been a home since the key was issued"), false
	}
	slices.Sort(removed)
	for _, id := range slices.Compact(removed) {
		if _, r, ok := p.askEarlierHome(ctx, c, id); !ok {
			return r, false
		}
	}
	return r, true
}

// cantTell refuses a call whose key may have run at an earlier home.
func (p *Proxy) refuseUnverified(c call.Call, cause string) call.Reply {
	p.recordEvent(event.RequestUnknown, c, cause)
	return call.Refuse(call.Unknown, call.CauseKeyTooOld, 0)
}

// askHome asks one earlier home, and fences the key there. It returns what that
// one knows of homes before it.
func (p *Proxy) askEarlierHome(ctx context.Context, c call.Call, id string) (tenure.FormerHomes, call.Reply, bool) {
	var none tenure.FormerHomes
	m, known := p.cfg.Fleet.View().Get(id)
	if !known || !m.IsUp() {
		return none, p.refuseUnverified(c, "earlier home "+id+" has gone"), false
	}
	inquiry := c.WithAttempt(c.ID, call.Home)
	for {
		res, err := p.inquire(ctx, m.Addr, id, inquiry)
		switch {
		case err != nil:
			return none, p.refuseUnverified(c, "earlier home "+id+" can't be asked"), false
		case res.verdict == once.Fenced:
			return res.former, call.Reply{}, true
		case res.verdict == once.Replay:
			p.recordEvent(event.RequestReplayed, c, "answer kept by the earlier home "+id)
			return none, keep.ReplyFor(res.verdict, res.answer), false
		case res.verdict != once.Join:
			return none, p.refuseUnverified(c, "earlier home "+id+" says "+res.verdict.String()), false
		}
		if !timer.Sleep(ctx, inquiryInterval) || time.Now().After(c.Deadline) {
			return none, call.Refuse(call.Unknown, call.CauseDeadline, 0), false
		}
	}
}

// Inquire answers what became of an attempt that this node was sent.
func (p *Proxy) Inquire(req *wire.InquireRequest) *wire.InquireReply {
	key := once.Key{ID: req.GetKey(), Issued: time.Unix(0, req.GetIssued())}
	if req.GetTo() == p.cfg.Node {
		// The attempt was sent to this very process, so that the clock of the
		// asker does not matter.
		key.Issued = time.Now()
	}
	var res inquiryResult
	switch {
	case req.GetTo() != "" && req.GetTo() != p.cfg.Node:
		res.verdict = once.TooOld // the process that was asked has gone
	case call.Mode(req.GetMode()) == call.Upstream:
		res.verdict, res.answer = p.cfg.Gate.Inquire(key, req.GetAttempt())
	default:
		res = p.inquireHome(key, req.GetAttempt(), req.GetFrom())
	}
	return &wire.InquireReply{
		Verdict: int32(res.verdict), Answer: peer.ToAnswer(res.answer),
		Removed: res.former.Removed, Anchor: res.former.Anchor,
	}
}

// inquired answers another node about a key or an attempt. A new home asks on
// behalf of all attempts, with the key as the attempt, and is told what this
// node knows of the homes before it.
func (p *Proxy) inquireHome(key once.Key, attempt, sender string) inquiryResult {
	var res inquiryResult
	if attempt != key.ID {
		res.verdict, res.answer = p.homes.Inquire(key, attempt)
		return res
	}
	former, ok := p.cfg.Fleet.Former(key.ID, key.Issued, sender)
	if !ok && !p.homes.Contains(key.ID) {
		res.verdict = once.TooOld
		return res
	}
	res.former = former
	res.verdict, res.answer = p.homes.InquireKey(key)
	return res
}
