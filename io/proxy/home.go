package proxy

import (
	"context"
	"slices"
	"sync"
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

	// mu guards the fields below. Begin holds it, so that no key is accepted after
	// refuseNewKeys has returned.
	mu         sync.Mutex
	refuseKeys bool // the node can't be the home of a new key
	leaving    bool // the node takes no new call at all
	// latest is the issue time of the latest key that was accepted, at least the start
	// of the process.
	latest time.Time
}

// newHomeTable returns the table of a node that accepts no keys yet.
func newHomeTable() *homeTable {
	return &homeTable{SyncTable: runner.NewSyncTable(), refuseKeys: true, latest: time.Now()}
}

// acceptNewKeys ends the effect of refuseNewKeys.
func (h *homeTable) acceptNewKeys() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refuseKeys = false
}

// refuseNewKeys makes the table refuse keys that it has no record of. Calls that
// have started continue, and inquiries about them are answered until the node
// stops. It returns the issue time of the latest key that was accepted.
func (h *homeTable) refuseNewKeys() (latest time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refuseKeys = true
	return h.latest
}

// leave makes the table refuse all calls that it has no record of.
func (h *homeTable) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
}

// Begin implements runner.Table.
func (h *homeTable) Begin(c call.Call) (dedup.Verdict, dedup.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hasKey := c.Mode == call.Home
	if (h.leaving || hasKey && h.refuseKeys) && !h.Contains(c.ID) {
		return dedup.Fenced, dedup.Answer{}
	}
	v, a := h.SyncTable.Begin(c)
	if v == dedup.Run && hasKey && c.Issued.After(h.latest) {
		h.latest = c.Issued
	}
	return v, a
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
	mayStillRun := false // an earlier try
	for try := 0; ; try++ {
		r, ok := p.tryHome(ctx, c, centre, try)
		if ok && mayStillRun && r.Fate == call.NotRun {
			p.recordEvent(event.RequestUnknown, c, "refused by the home of the key ("+r.Cause+"), but an earlier try may still run")
			return withUnknownFate(r)
		}
		if ok {
			return r
		}
		if r.Replied {
			last = r
		}
		mayStillRun = mayStillRun || r.Fate == call.Unknown && r.Cause != call.CauseHomeUnreachable
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
	return r, settledByHome(r)
}

// settledByHome reports whether a reply to a call with a key is the last one, and not that
// of a node that is not the home, or that has got no reply from the home.
func settledByHome(r call.Reply) bool {
	switch r.Cause {
	case call.CauseMoved, call.CauseFenced, call.CauseHomeSilent:
		return false
	}
	return r.Replied
}

// sendToLocalHome sends a call to the home of its key in this data centre, which
// may be this node.
func (p *Proxy) sendToLocalHome(ctx context.Context, c call.Call) call.Reply {
	view := p.cfg.Fleet.View()
	home := homes.Current(c.ID, view.HomeCandidates())
	if home == p.cfg.Node {
		return p.runAsHome(ctx, c, p.workOfKey(ctx, c))
	}
	m, ok := view.Get(home)
	if !ok {
		return call.Refuse(call.Unknown, call.CauseHomeUnreachable, time.Second)
	}
	return p.sendUntilSilent(ctx, m.Addr, c)
}

// workOfKey returns the work of a call of whose key this node is the home.
func (p *Proxy) workOfKey(ctx context.Context, c call.Call) func() call.Reply {
	return func() call.Reply {
		// The call is recorded under its key here, so its upstream may record it
		// under a new id.
		id, issued := newID()
		r, _ := p.dispatch(context.WithoutCancel(ctx), c.WithID(id, issued), false)
		r.Replied = true
		return r
	}
}

// runAsHome does the work of a call of whose key this node is the home, unless that has
// run before.
func (p *Proxy) runAsHome(ctx context.Context, c call.Call, work func() call.Reply) call.Reply {
	if !p.cfg.Fleet.HasQuorum(time.Now()) {
		p.recordEvent(event.RequestUnknown, c, "this node has no quorum, so another node may be the home of the key")
		return call.Refuse(call.Unknown, call.CauseHomeNotInStanding, time.Second)
	}
	if r, ok := p.checkEarlierHomes(ctx, c); !ok {
		return r
	}
	r := runner.Run(ctx, p.homeTable, c, work)
	if r.Cause == call.CauseFenced {
		p.recordEvent(event.RequestFenced, c, "this node can't be the home of new keys, or a later home has asked about the key")
	}
	return r
}

// checkEarlierHomes asks the nodes that may have been the home of the key since it
// was issued, and fences the key there. ok is true if none of them has run the
// call or can still run it, or if this node has a record of the key. It asks the
// other members in descending rank down to the first anchor, all that outrank this node
// among them, and then the removed members that they name, see package homes.
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
		if anchorFound && !homes.Outranks(c.ID, id, p.cfg.Node) {
			break
		}
		former, r, ok := p.askEarlierHome(ctx, c, id)
		if !ok {
			return r, false
		}
		removed, anchorFound = append(removed, former.Removed...), anchorFound || former.Anchor
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
func (p *Proxy) Inquire(ctx context.Context, req *wire.InquireRequest) *wire.InquireReply {
	key := dedup.Key{ID: req.GetKey(), Issued: time.Unix(0, req.GetIssued())}
	q := dedup.Inquiry{Key: key, Attempt: req.GetAttempt(), Own: req.GetTo() == p.cfg.Node}
	if age, ok := peer.AgeOf(ctx); ok {
		q.SentAt = time.Now().Add(-age)
	}
	var res inquiryResult
	switch {
	case req.GetTo() != "" && req.GetTo() != p.cfg.Node:
		res.verdict = dedup.TooOld // the process that was asked has ended
	case call.Mode(req.GetMode()) == call.Upstream:
		res.verdict, res.answer = p.cfg.Gate.Inquire(q)
	default:
		res = p.inquireHome(q, req.GetFrom())
	}
	return &wire.InquireReply{
		Verdict: int32(res.verdict), Answer: peer.ToAnswer(res.answer),
		Removed: res.former.Removed, Anchor: res.former.Anchor,
	}
}

// inquireHome looks up an attempt or a key in the records of this node as a home.
// A new home asks about the key as a whole, with the key as the attempt. It is
// also told what this node knows of the homes before it.
func (p *Proxy) inquireHome(q dedup.Inquiry, sender string) inquiryResult {
	key := q.Key
	var res inquiryResult
	if q.Attempt != key.ID {
		res.verdict, res.answer = p.homeTable.Inquire(q)
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
