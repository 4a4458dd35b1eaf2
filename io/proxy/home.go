package proxy

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/dedup"
	"tanagerchute/core/event"
	"tanagerchute/core/homes"
	"tanagerchute/core/rank"
	"tanagerchute/io/peer"
	"tanagerchute/io/runner"
	"tanagerchute/io/timer"
	"tanagerchute/io/wire"
)

// homeTable records the calls that this node runs as the home of their keys, and
// those that it accepts as an entry node of its data centre.
type homeTable struct {
	*runner.SyncTable
	refuseNew atomic.Bool
}

// refuseNewKeys makes the table refuse keys that it has no record of. Calls that
// have started continue, and inquiries about them are answered until the node
// stops.
func (h *homeTable) refuseNewKeys() { h.refuseNew.Store(true) }

// Begin implements runner.Table.
func (h *homeTable) Begin(c call.Call) (dedup.Verdict, dedup.Answer) {
	if h.refuseNew.Load() && !h.Contains(c.ID) {
		return dedup.Fenced, dedup.Answer{}
	}
	return h.SyncTable.Begin(c)
}

// recordID returns the id under which a call to a service with a caller's idempotency
// key is recorded. Each client account has idempotency keys of its own, so that none
// gets an answer recorded for another one. No header can contain the separator.
func recordID(c call.Call, key string) string {
	if c.Account == "" {
		return c.Service + "/" + key
	}
	return c.Service + "/" + c.Account + "\x1f" + key
}

// dispatchKeyed sends a call with an idempotency key to the home of the key, and
// repeats that until the home settles the call. The home runs it at most once.
func (p *Proxy) dispatchKeyed(ctx context.Context, c call.Call, key dedup.Key) call.Reply {
	c.ID, c.Issued, c.Key = recordID(c, key.ID), key.Issued, key.ID
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

// dataCentreUnreachable reports whether another data centre is known to be
// unreachable. A call whose home is there is then refused at once.
func (p *Proxy) dataCentreUnreachable(centre string) bool {
	reachable, known := p.cfg.Fleet.View().Remote.Reachable[centre]
	return centre != p.cfg.DataCentre && known && !reachable
}

// withUnknownFate returns r with an unknown fate. It is for a call that its home
// did not settle: an earlier try may have run it, even if the last one did not.
func withUnknownFate(r call.Reply) call.Reply {
	r.Fate = call.Unknown
	return r
}

// tryHome sends a call to the home of its key once. ok is false if that must be
// repeated.
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
		r = p.sendUntilSilent(ctx, relays[try%len(relays)], c)
	}
	settled := r.Replied && r.Cause != call.CauseMoved && r.Cause != call.CauseFenced
	return r, settled
}

// sendToLocalHome sends a call to the home of its key in this data centre, which
// may be this node.
func (p *Proxy) sendToLocalHome(ctx context.Context, c call.Call) call.Reply {
	view := p.cfg.Fleet.View()
	home := homes.Current(c.ID, view.HomeCandidates())
	if home == p.cfg.Node {
		return p.runAsHome(ctx, c)
	}
	m, ok := view.Get(home)
	if !ok {
		return call.Refuse(call.Unknown, call.CauseHomeUnreachable, time.Second)
	}
	return p.sendUntilSilent(ctx, m.Addr, c)
}

// runAsHome runs a call of whose key this node is the home.
func (p *Proxy) runAsHome(ctx context.Context, c call.Call) call.Reply {
	if !p.cfg.Fleet.HasQuorum(time.Now()) {
		p.recordEvent(event.RequestUnknown, c, "this node has no quorum, so another node may be the home of the key")
		return call.Refuse(call.Unknown, call.CauseHomeNotInStanding, time.Second)
	}
	if r, ok := p.checkEarlierHomes(ctx, c); !ok {
		return r
	}
	return runner.Run(ctx, p.homeTable, c, func() call.Reply {
		// The call is recorded under its key here, so its upstream may record it
		// under a new id.
		id, issued := newID()
		r, _ := p.dispatch(context.WithoutCancel(ctx), c.WithID(id, issued), false)
		return r
	})
}

// checkEarlierHomes asks the nodes that may have been the home of the key since it
// was issued, and fences the key there. ok is true if none of them has run the
// call or can still run it, or if this node has a record of the key. It asks the
// other members in descending rank down to the first anchor, and then the removed
// members that they name, see package homes.
func (p *Proxy) checkEarlierHomes(ctx context.Context, c call.Call) (r call.Reply, ok bool) {
	if p.homeTable.Contains(c.ID) {
		return r, true
	}
	former, complete := p.cfg.Fleet.FormerHomes(c.ID, c.Issued, "")
	if !complete {
		return p.refuseUnverified(c, "more members have been removed since the key was issued than this node remembers"), false
	}
	removed, anchorFound := former.Removed, former.Anchor
	for _, id := range homes.RankOthers(c.ID, p.cfg.Fleet.View().HomeCandidates(), p.cfg.Node) {
		if anchorFound {
			break
		}
		former, r, ok := p.askEarlierHome(ctx, c, id)
		if !ok {
			return r, false
		}
		removed, anchorFound = append(removed, former.Removed...), former.Anchor
	}
	if !anchorFound {
		return p.refuseUnverified(c, "no member has been eligible as a home ever since the key was issued"), false
	}
	slices.Sort(removed)
	for _, id := range slices.Compact(removed) {
		if _, r, ok := p.askEarlierHome(ctx, c, id); !ok {
			return r, false
		}
	}
	return r, true
}

// refuseUnverified refuses a call that an earlier home may have run.
func (p *Proxy) refuseUnverified(c call.Call, cause string) call.Reply {
	p.recordEvent(event.RequestUnknown, c, cause)
	return call.Refuse(call.Unknown, call.CauseKeyTooOld, 0)
}

// askEarlierHome asks one earlier home about the key of c, and fences the key
// there. It returns what that node knows of the homes before it. If the call must
// not run, the last result is false and the reply is the one for the caller.
func (p *Proxy) askEarlierHome(ctx context.Context, c call.Call, id string) (homes.History, call.Reply, bool) {
	var none homes.History
	m, known := p.cfg.Fleet.View().Get(id)
	if !known || !m.IsUp() {
		return none, p.refuseUnverified(c, "earlier home "+id+" is not up"), false
	}
	inquiry := c.WithAttempt(c.ID, call.Home)
	for pace := newInquiryPace(); ; {
		res, err := p.inquire(ctx, m.Addr, id, inquiry, pace.timeout)
		switch {
		case err != nil:
			// A busy node may answer the next inquiry.
		case res.verdict == dedup.Fenced:
			return res.former, call.Reply{}, true
		case res.verdict == dedup.Replay:
			p.recordEvent(event.RequestReplayed, c, "answer recorded by the earlier home "+id)
			return none, runner.ReplyFor(res.verdict, res.answer), false
		case res.verdict != dedup.Join:
			return none, p.refuseUnverified(c, "earlier home "+id+" says "+res.verdict.String()), false
		}
		if m, known := p.cfg.Fleet.View().Get(id); err != nil && (!known || !m.IsUp()) {
			return none, p.refuseUnverified(c, "earlier home "+id+" can't be asked"), false
		}
		if !pace.wait(ctx, err) || time.Now().After(c.Deadline) {
			return none, call.Refuse(call.Unknown, call.CauseDeadline, 0), false
		}
	}
}

// Inquire answers another node's inquiry about an attempt that was sent here, or
// about a key.
func (p *Proxy) Inquire(req *wire.InquireRequest) *wire.InquireReply {
	key := dedup.Key{ID: req.GetKey(), Issued: time.Unix(0, req.GetIssued())}
	if req.GetTo() == p.cfg.Node {
		// The issue time tells whether an earlier process at this address may
		// know more than this one. This attempt was sent to this process, so the
		// clock of the sender must not matter.
		key.Issued = time.Now()
	}
	var res inquiryResult
	switch {
	case req.GetTo() != "" && req.GetTo() != p.cfg.Node:
		res.verdict = dedup.TooOld // the process that was asked has ended
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

// inquireHome looks up an attempt or a key in the records of this node as a home.
// A new home asks about the key as a whole, with the key as the attempt. It is
// also told what this node knows of the homes before it.
func (p *Proxy) inquireHome(key dedup.Key, attempt, sender string) inquiryResult {
	var res inquiryResult
	if attempt != key.ID {
		res.verdict, res.answer = p.homeTable.Inquire(key, attempt)
		return res
	}
	former, ok := p.cfg.Fleet.FormerHomes(key.ID, key.Issued, sender)
	if !ok && !p.homeTable.Contains(key.ID) {
		res.verdict = dedup.TooOld
		return res
	}
	res.former = former
	res.verdict, res.answer = p.homeTable.InquireKey(key)
	return res
}
