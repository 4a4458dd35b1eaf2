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
type homes struct {
	*keep.SyncTable
	leaving atomic.Bool
}

// leave lets no new key begin here. Those that have begun go on, and can be
// asked about until the node stops.
func (h *homes) leave() { h.leaving.Store(true) }

// Begin implements keep.Table.
func (h *homes) Begin(c call.Call) (once.Verdict, once.Answer) {
	if h.leaving.Load() && !h.Contains(c.ID) {
		return once.Fenced, once.Answer{}
	}
	return h.SyncTable.Begin(c)
}

// keyID is the key of the table for work of a service under a caller's key.
func keyID(service, key string) string { return service + "/" + key }

// keyed brings a call with an idempotency key to the home of the key. It may
// be sent there any number of times.
func (p *Proxy) keyed(ctx context.Context, c call.Call, key once.Key) call.Reply {
	c.ID, c.Issued, c.Key = keyID(c.Service, key.ID), key.Issued, key.ID
	centre := key.DataCentre
	if centre == "" {
		centre = rank.Best("centre/"+c.ID, p.cfg.DataCentres)
	}
	last := call.Refuse(call.Unknown, call.CauseHomeUnreachable, time.Second)
	for try := 0; ; try++ {
		if r, ok := p.homeOnce(ctx, c, centre, try); ok {
			return r
		} else if r.Replied {
			last = r
		}
		if p.lostCentre(centre) || !timer.Sleep(ctx, resolveEvery/2) || time.Now().After(c.Deadline) {
			return unsettled(last)
		}
	}
}

// lostCentre reports whether another data centre is known to be out of reach.
// A call that can't be settled then gets its answer at once.
func (p *Proxy) lostCentre(centre string) bool {
	reachable, known := p.cfg.Fleet.View().Remote.Reachable[centre]
	return centre != p.cfg.DataCentre && known && !reachable
}

// unsettled returns the refusal of a call whose home could not settle it. The
// key may have run by an earlier try, so nothing is promised.
func unsettled(r call.Reply) call.Reply {
	r.Fate = call.Unknown
	return r
}

// homeOnce tries the home of a key once. ok is false if it has to be tried
// again.
func (p *Proxy) homeOnce(ctx context.Context, c call.Call, centre string, try int) (r call.Reply, ok bool) {
	id, _ := newID()
	c = c.WithAttempt(id, call.Home)
	c.From = p.cfg.Node
	if centre == p.cfg.DataCentre {
		r = p.atHome(ctx, c)
	} else {
		relays := p.cfg.Fleet.View().Remote.Relays[centre]
		if len(relays) == 0 || p.lostCentre(centre) {
			return call.Refuse(call.Unknown, call.CauseHomeUnreachable, time.Second), false
		}
		r = p.send(ctx, relays[try%len(relays)], c)
	}
	settled := r.Replied && r.Cause != call.CauseMoved && r.Cause != call.CauseFenced
	return r, settled
}

// atHome brings a call to its home in this data centre, which may be this
// node.
func (p *Proxy) atHome(ctx context.Context, c call.Call) call.Reply {
	view := p.cfg.Fleet.View()
	home := tenure.Home(c.ID, view.Keys())
	if home == p.cfg.Node {
		return p.runHome(ctx, c)
	}
	m, ok := view.Get(home)
	if !ok {
		return call.Refuse(call.Unknown, call.CauseHomeUnreachable, time.Second)
	}
	return p.send(ctx, m.Addr, c)
}

// runHome runs a call whose key has its home here.
func (p *Proxy) runHome(ctx context.Context, c call.Call) call.Reply {
	if !p.cfg.Fleet.InStanding(time.Now()) {
		p.event(event.RequestUnknown, c, "this node can't tell that it is the only home of the key")
		return call.Refuse(call.Unknown, call.CauseHomeNotInStanding, time.Second)
	}
	if r, ok := p.askBefore(ctx, c); !ok {
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
func (p *Proxy) askBefore(ctx context.Context, c call.Call) (r call.Reply, ok bool) {
	if p.homes.Contains(c.ID) {
		return r, true
	}
	f, told := p.cfg.Fleet.Former(c.ID, c.Issued, "")
	if !told {
		return p.cantTell(c, "more members have been removed since the key was issued than this node remembers"), false
	}
	removed, anchored := f.Removed, f.Anchor
	for _, id := range tenure.RankOthers(c.ID, p.cfg.Fleet.View().Keys(), p.cfg.Node) {
		if anchored {
			break
		}
		f, r, ok := p.askHome(ctx, c, id)
		if !ok {
			return r, false
		}
		removed, anchored = append(removed, f.Removed...), f.Anchor
	}
	if !anchored {
		return p.cantTell(c, "no member has been a home since the key was issued"), false
	}
	slices.Sort(removed)
	for _, id := range slices.Compact(removed) {
		if _, r, ok := p.askHome(ctx, c, id); !ok {
			return r, false
		}
	}
	return r, true
}

// cantTell refuses a call whose key may have run at an earlier home.
func (p *Proxy) cantTell(c call.Call, cause string) call.Reply {
	p.event(event.RequestUnknown, c, cause)
	return call.Refuse(call.Unknown, call.CauseKeyTooOld, 0)
}

// askHome asks one earlier home, and fences the key there. It returns what that
// one knows of homes before it.
func (p *Proxy) askHome(ctx context.Context, c call.Call, id string) (tenure.FormerHomes, call.Reply, bool) {
	var none tenure.FormerHomes
	m, known := p.cfg.Fleet.View().Get(id)
	if !known || !m.IsUp() {
		return none, p.cantTell(c, "earlier home "+id+" has gone"), false
	}
	question := c.WithAttempt(c.ID, call.Home)
	for {
		f, err := p.inquire(ctx, m.Addr, id, question)
		switch {
		case err != nil:
			return none, p.cantTell(c, "earlier home "+id+" can't be asked"), false
		case f.verdict == once.Fenced:
			return f.former, call.Reply{}, true
		case f.verdict == once.Replay:
			p.event(event.RequestReplayed, c, "answer kept by the earlier home "+id)
			return none, keep.ReplyFor(f.verdict, f.answer), false
		case f.verdict != once.Join:
			return none, p.cantTell(c, "earlier home "+id+" says "+f.verdict.String()), false
		}
		if !timer.Sleep(ctx, resolveEvery) || time.Now().After(c.Deadline) {
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
	var f finding
	switch {
	case req.GetTo() != "" && req.GetTo() != p.cfg.Node:
		f.verdict = once.TooOld // the process that was asked has gone
	case call.Mode(req.GetMode()) == call.Upstream:
		f.verdict, f.answer = p.cfg.Gate.Inquire(key, req.GetAttempt())
	default:
		f = p.inquired(key, req.GetAttempt(), req.GetFrom())
	}
	return &wire.InquireReply{
		Verdict: int32(f.verdict), Answer: peer.ToAnswer(f.answer),
		Removed: f.former.Removed, Anchor: f.former.Anchor,
	}
}

// inquired answers another node about a key or an attempt. A new home asks on
// behalf of all attempts, with the key as the attempt, and is told what this
// node knows of the homes before it.
func (p *Proxy) inquired(key once.Key, attempt, asker string) finding {
	var f finding
	if attempt != key.ID {
		f.verdict, f.answer = p.homes.Inquire(key, attempt)
		return f
	}
	former, ok := p.cfg.Fleet.Former(key.ID, key.Issued, asker)
	if !ok && !p.homes.Contains(key.ID) {
		f.verdict = once.TooOld
		return f
	}
	f.former = former
	f.verdict, f.answer = p.homes.InquireKey(key)
	return f
}
