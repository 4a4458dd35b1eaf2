package proxy

import (
	"context"
	"sync"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/once"
	"tanagerchute/core/rank"
	"tanagerchute/core/tenure"
	"tanagerchute/io/keep"
	"tanagerchute/io/wire"
)

// homes records the work that this node is the home of, or brings into the
// data centre for another one.
type homes struct {
	p       *Proxy
	mu      sync.Mutex
	table   *once.Table
	leaving bool
}

func newHomes(p *Proxy) *homes {
	return &homes{p: p, table: once.NewTable(once.DefaultConfig(time.Now()))}
}

// leave lets no new key begin here. Those that have begun go on, and can be
// asked about until the node stops.
func (h *homes) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
}

// Begin implements keep.Table.
func (h *homes) Begin(c call.Call) (once.Verdict, once.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, _, known := h.table.Look(c.ID); h.leaving && !known {
		return once.Fenced, once.Answer{}
	}
	return h.table.Begin(time.Now(), once.Key{ID: c.ID, Issued: c.Issued}, c.Attempt)
}

// Wait implements keep.Table.
func (h *homes) Wait(id string, f func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Wait(id, f)
}

// End implements keep.Table.
func (h *homes) End(c call.Call, r call.Reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	keep.Record(h.table, time.Now(), c, r)
}

// inquire answers another node about a key or an attempt.
func (h *homes) inquire(key once.Key, attempt, asker string) (once.Verdict, once.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v, a, ok := h.table.Look(key.ID); ok {
		return v, a
	}
	if attempt == key.ID {
		// A new home asks on behalf of all attempts. This node can speak for
		// the key only if no one before it had it.
		ids, ok := h.p.cfg.Fleet.Ask(key.ID, key.Issued, asker)
		if !ok || len(ids) > 0 {
			return once.TooOld, once.Answer{}
		}
	}
	return h.table.Inquire(time.Now(), key, attempt)
}

// keyID is the key of the table for work of a service under a caller's key.
func keyID(service, key string) string { return service + "/" + key }

// keyed brings a call with an idempotency key to the home of the key. It may
// be sent there any number of times.
func (p *Proxy) keyed(ctx context.Context, c call.Call, key once.Key) call.Reply {
	c.ID, c.Issued, c.Key = keyID(c.Service, key.ID), key.Issued, key.ID
	centre := key.DataCentre
	if centre == "" {
		centre = rank.Best("centre/"+c.ID, p.cfg.Centres)
	}
	last := call.Refuse(call.Unknown, call.CauseHome, time.Second)
	for try := 0; ; try++ {
		if r, ok := p.homeOnce(ctx, c, centre, try); ok {
			return r
		} else if r.Reached {
			last = r
		}
		if !pause(ctx, resolveEvery/2) || time.Now().After(c.Deadline) {
			return unsettled(last)
		}
	}
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
		if len(relays) == 0 {
			return call.Refuse(call.Unknown, call.CauseHome, time.Second), false
		}
		r = p.send(ctx, relays[try%len(relays)], c)
	}
	settled := r.Reached && r.Cause != call.CauseMoved && r.Cause != call.CauseFenced
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
		return call.Refuse(call.Unknown, call.CauseHome, time.Second)
	}
	return p.send(ctx, m.Addr, c)
}

// runHome runs a call whose key has its home here.
func (p *Proxy) runHome(ctx context.Context, c call.Call) call.Reply {
	if !p.cfg.Fleet.InStanding(time.Now()) {
		p.event(event.RequestUnknown, c, "this node can't tell that it is the only home of the key")
		return call.Refuse(call.Unknown, call.CauseStanding, time.Second)
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
	p.homes.mu.Lock()
	_, _, known := p.homes.table.Look(c.ID)
	p.homes.mu.Unlock()
	if known {
		return r, true
	}
	ids, told := p.cfg.Fleet.Ask(c.ID, c.Issued, "")
	if !told {
		p.event(event.RequestUnknown, c, "the key is older than what this node knows of its homes")
		return call.Refuse(call.Unknown, call.CauseTooOld, 0), false
	}
	for _, id := range ids {
		if r, ok := p.askHome(ctx, c, id); !ok {
			return r, false
		}
	}
	return r, true
}

// askHome asks one earlier home, and fences the key there.
func (p *Proxy) askHome(ctx context.Context, c call.Call, id string) (call.Reply, bool) {
	m, ok := p.cfg.Fleet.View().Get(id)
	if !ok {
		return call.Refuse(call.Unknown, call.CauseTooOld, 0), false
	}
	question := c.WithAttempt(c.ID, call.Home)
	for {
		v, a, err := p.inquire(ctx, m.Addr, question)
		switch {
		case err != nil:
			p.event(event.RequestUnknown, c, "earlier home "+id+" can't be asked")
			return call.Refuse(call.Unknown, call.CauseTooOld, 0), false
		case v == once.Fenced:
			return call.Reply{}, true
		case v == once.Replay:
			p.event(event.RequestReplayed, c, "answer kept by the earlier home "+id)
			return keep.Reply(v, a), false
		case v != once.Join:
			p.event(event.RequestUnknown, c, "earlier home "+id+" says "+v.String())
			return keep.Reply(v, a), false
		}
		if !pause(ctx, resolveEvery) || time.Now().After(c.Deadline) {
			return call.Refuse(call.Unknown, call.CauseDeadline, 0), false
		}
	}
}

// Inquire answers what became of an attempt that this node was sent.
func (p *Proxy) Inquire(req *wire.InquireRequest) (once.Verdict, once.Answer) {
	key := once.Key{ID: req.GetKey(), Issued: time.Unix(0, req.GetIssued())}
	if call.Mode(req.GetMode()) == call.Upstream {
		return p.cfg.Gate.Inquire(key, req.GetAttempt())
	}
	return p.homes.inquire(key, req.GetAttempt(), req.GetFrom())
}
