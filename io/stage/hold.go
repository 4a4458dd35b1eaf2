package stage

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/canary"
	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/io/peer"
	"tanagerchute/io/timer"
	"tanagerchute/io/wire"
)

// Times of a claim.
const (
	claimTTL       = 3 * time.Second         // of its lease
	claimMargin    = 300 * time.Millisecond  // before the end of the lease, in which the holder decides nothing
	renewInterval  = time.Second             // of the lease
	claimInterval  = 200 * time.Millisecond  // of checks whether to claim
	claimRankDelay = 400 * time.Millisecond  // for each rank among the readers, so that they don't claim at once
	holderSilence  = 1500 * time.Millisecond // without a confirmation, another reader may claim
	storeTimeout   = 800 * time.Millisecond  // of one or more calls to the store that belong together
)

// Times of the decisions of a holder.
const (
	decideInterval  = 100 * time.Millisecond
	reannounceAfter = 300 * time.Millisecond  // between two announcements to a silent node
	silentAfter     = 1500 * time.Millisecond // without a report, a node gets the stage again; also between two announcements to a relay
)

// maxStep bounds the steps of an order, so that a faulty node can't exhaust them.
const maxStep = 1 << 20

// hold is this node's part in deciding about one order.
type hold struct {
	m      *Manager
	order  canary.Order
	cancel context.CancelFunc
	done   chan struct{} // closed when run has ended

	// The following fields are guarded by Manager.mu.
	rollout      *canary.Rollout // nil while this node is not the holder
	claimedUntil time.Time
	withdrawn    bool                 // the order was withdrawn, which next tells rollout
	handOver     bool                 // the claim is to be given up, so that others need not wait for the end of its lease
	announcedAt  map[string]time.Time // by node
}

// startHold begins to decide about an order, unless that goes on already. The caller holds
// mu.
func (m *Manager) startHold(ctx context.Context, o canary.Order) {
	before := m.holds[o.Service]
	if before != nil {
		if before.order.ID == o.ID {
			return
		}
		before.handOver = true
	}
	ctx, cancel := context.WithCancel(ctx)
	h := &hold{m: m, order: o, cancel: cancel, done: make(chan struct{}), announcedAt: map[string]time.Time{}}
	m.holds[o.Service] = h
	m.spawn(func() {
		defer close(h.done)
		defer cancel()
		if before != nil {
			before.cancel()
			<-before.done
		}
		h.run(ctx)
	})
}

// Close gives up the claims of this node, so that others go on at once.
func (m *Manager) Close(ctx context.Context) {
	m.mu.Lock()
	holds := make([]*hold, 0, len(m.holds))
	for _, h := range m.holds {
		h.handOver = true
		holds = append(holds, h)
	}
	m.mu.Unlock()
	for _, h := range holds {
		h.cancel()
		select {
		case <-h.done:
		case <-ctx.Done():
		}
	}
}

// run claims the roll-out when nobody else holds it, and decides about it, until it has
// ended or ctx does.
func (h *hold) run(ctx context.Context) {
	since := time.Now()
	if h.isStored(ctx) {
		return
	}
	for timer.Sleep(ctx, claimInterval) {
		if !h.claimDue(time.Now(), since) {
			continue
		}
		if h.m.hasEnded(h.order) && h.isStored(ctx) {
			return
		}
		c, ok := h.claim(ctx)
		if !ok {
			since = time.Now() // somebody else may have claimed it
			continue
		}
		if h.lead(ctx, c) {
			return
		}
	}
}

// hasEnded reports whether this node knows that the roll-out of an order has ended.
func (m *Manager) hasEnded(o canary.Order) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.table.Stage(o.Service)
	return ok && (s.Order == o.ID && s.Phase.Ended() || s.Order.Compare(o.ID) > 0)
}

// isStored reports whether the store has the end of the roll-out. This node then knows it
// as well.
func (h *hold) isStored(ctx context.Context) bool {
	rec, ok, err := h.readRecord(ctx)
	if err != nil || !ok || !rec.Stage.Phase.Ended() {
		return false
	}
	h.m.learn(time.Now(), []canary.Stage{rec.Stage}, false)
	return true
}

// lead decides about the roll-out under a claim. It returns true if the roll-out has ended,
// and false if the claim is lost or ctx has ended.
func (h *hold) lead(ctx context.Context, c claim) bool {
	rec, stored, err := h.readRecord(ctx)
	if err != nil {
		h.release(c)
		return false
	}
	h.begin(c, rec, stored)
	defer h.end(ctx, c)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		h.renew(ctx, c, cancel)
	}()
	defer func() { cancel(); <-renewed }()
	if h.stage().Phase.Ended() {
		return h.write(ctx, c, h.stage()) == nil
	}
	return h.decide(ctx, c)
}

// begin makes this node the holder. rec is the stored state, if there is one.
func (h *hold) begin(c claim, rec record, stored bool) {
	m := h.m
	versions := m.versions(h.order.Service)
	m.mu.Lock()
	defer m.mu.Unlock()
	last := canary.Stage{}
	if stored {
		last = rec.Stage
		h.order = h.order.WithDeadline(time.UnixMilli(rec.DeadlineMs))
	}
	if s, ok := m.table.Stage(h.order.Service); ok && s.Order == h.order.ID && (!stored || s.NewerThan(last)) {
		last = s
	}
	baseline := m.table.InUse(h.order.Service, versions)
	cfg := canary.Config{Share: m.cfg.Settings.CanaryShare, Slack: m.cfg.Settings.CanarySlack}
	h.rollout = canary.New(cfg, time.Now(), h.order, baseline, last)
	h.claimedUntil = c.until
	clear(h.announcedAt)
}

// end makes this node no longer the holder. It lets others claim the roll-out at once, unless
// the process is about to end without a planned stop.
func (h *hold) end(ctx context.Context, c claim) {
	h.m.mu.Lock()
	s := h.rollout.Stage()
	h.rollout = nil
	abandoned := ctx.Err() != nil && !h.handOver && !s.Phase.Ended()
	h.m.mu.Unlock()
	if abandoned {
		return
	}
	h.release(c)
	if s.Phase.Ended() {
		return
	}
	s = s.WithHolder("")
	h.m.learn(time.Now(), []canary.Stage{s}, false)
	h.m.announce(context.Background(), h.m.others(), &wire.AnnounceStagesRequest{Stages: []*wire.RolloutStage{peer.ToStage(s)}})
}

// stage returns the present stage of the roll-out. This node must be the holder.
func (h *hold) stage() canary.Stage {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	return h.rollout.Stage()
}

// pendingWrite is a stage that is being stored before it takes effect.
type pendingWrite struct {
	stage canary.Stage
	done  chan error // receives the outcome and is closed
}

// decide takes the roll-out from stage to stage. It returns as lead does.
func (h *hold) decide(ctx context.Context, c claim) bool {
	ctx, cancel := context.WithCancel(ctx)
	self := h.m.cfg.Fleet.View().Self.Addr
	pending := h.startWrite(ctx, c, h.stage().WithHolder(self))
	defer func() { // the next holder changes the order that the write reads
		cancel()
		if pending != nil {
			<-pending.done
		}
	}()
	unwritten := canary.Stage{} // a stage that took effect before it is stored, see Stage.StoredFirst
	for timer.Sleep(ctx, decideInterval) {
		now := time.Now()
		if pending != nil {
			select {
			case err := <-pending.done:
				ended, lost := h.finishWrite(ctx, now, pending.stage, err)
				if ended || lost {
					return ended
				}
				pending = nil
			default:
			}
		}
		next, claimed, changed := h.next(now)
		if !claimed {
			h.m.recordEvent(now, event.RolloutClaimLost, h.order.Service, "the lease could not be renewed in time")
			return false
		}
		if changed && !next.StoredFirst() {
			h.takeEffect(ctx, now, next)
			unwritten = next
		}
		if unwritten.Service != "" && pending == nil {
			pending = h.startWrite(ctx, c, unwritten)
			continue
		}
		switch {
		case pending != nil:
		case changed:
			pending = h.startWrite(ctx, c, next)
		case h.stage().Holder != self: // the first write has failed, so no node reports here
			pending = h.startWrite(ctx, c, h.stage().WithHolder(self))
		}
		h.announceAgain(ctx, now)
	}
	return false
}

// startWrite stores a stage in the background.
func (h *hold) startWrite(ctx context.Context, c claim, s canary.Stage) *pendingWrite {
	p := &pendingWrite{stage: s, done: make(chan error, 1)}
	go func() {
		defer close(p.done)
		p.done <- h.write(ctx, c, s)
	}()
	return p
}

// finishWrite handles the outcome of the write of s, which takes effect if it was stored. It
// returns whether the roll-out has ended, and whether the claim is lost. After another error
// decide writes the stage again.
func (h *hold) finishWrite(ctx context.Context, now time.Time, s canary.Stage, err error) (ended, lost bool) {
	if errors.Is(err, errClaimLost) || errors.Is(err, tanagerchute.ErrEraChanged) {
		h.m.recordEvent(now, event.RolloutClaimLost, h.order.Service, err.Error())
		return false, true
	}
	if err != nil {
		return false, false
	}
	return h.takeEffect(ctx, now, s) && s.Phase.Ended(), false
}

// next returns the stage that follows the present one. claimed is false if the claim may
// have ended.
func (h *hold) next(now time.Time) (s canary.Stage, claimed, changed bool) {
	servers := h.servers()
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if !now.Before(h.claimedUntil) {
		return canary.Stage{}, false, false
	}
	if h.withdrawn {
		h.rollout.Withdraw()
	}
	s, changed = h.rollout.Next(now, servers)
	s.Holder = h.m.cfg.Fleet.View().Self.Addr
	return s, true, changed
}

// servers returns what this node knows of the servers of the order's service.
func (h *hold) servers() canary.Servers {
	view := h.m.cfg.Fleet.View()
	s := canary.Servers{Nodes: view.UpIDs(), ReportInterval: h.m.reportInterval(canary.Full), ServiceExists: h.m.cfg.HasService(h.order.Service)}
	for _, r := range view.Upstreams(h.order.Service) {
		s.ServiceExists = true
		if r.ServerVersion == h.order.Target {
			s.TargetServers++
			s.TargetSlots += r.Slots
			continue
		}
		s.OldServers++
		s.OldSlots += r.Slots
	}
	return s
}

// takeEffect makes s the stage of the roll-out, unless that has gone back meanwhile, and
// sends it to all nodes.
func (h *hold) takeEffect(ctx context.Context, now time.Time, s canary.Stage) bool {
	h.m.mu.Lock()
	cur := h.rollout.Stage()
	ok := cur == s || s.NewerThan(cur)
	if ok {
		h.rollout.Enter(now, s)
		clear(h.announcedAt)
	}
	h.m.mu.Unlock()
	if !ok || cur == s {
		return ok
	}
	h.m.learn(now, []canary.Stage{s}, true)
	h.announceAgain(ctx, now)
	return true
}

// announceAgain sends the stage to the nodes that have not reported in it, and to a relay
// of each other group.
func (h *hold) announceAgain(ctx context.Context, now time.Time) {
	view := h.m.cfg.Fleet.View()
	h.m.mu.Lock()
	s := h.rollout.Stage()
	if s.Holder == "" {
		h.m.mu.Unlock()
		return // it has not taken effect yet
	}
	var to []member.Record
	for _, r := range h.m.others() {
		last := h.announcedAt[r.ID]
		if last.IsZero() || now.Sub(h.rollout.Heard(r.ID)) > silentAfter && now.Sub(last) > reannounceAfter {
			h.announcedAt[r.ID] = now
			to = append(to, r)
		}
	}
	var relays []member.Record
	for group, addrs := range view.Remote.Relays {
		if len(addrs) > 0 && now.Sub(h.announcedAt[group]) > silentAfter {
			h.announcedAt[group] = now
			relays = append(relays, member.Record{Addr: addrs[0]})
		}
	}
	h.m.mu.Unlock()
	stages := []*wire.RolloutStage{peer.ToStage(s)}
	h.m.spawn(func() {
		h.m.announce(ctx, to, &wire.AnnounceStagesRequest{Stages: stages})
		h.m.announce(ctx, relays, &wire.AnnounceStagesRequest{Stages: stages, Forward: true})
	})
}

// takeReport takes the report of a node in stage theirs. A stage that this holder has not
// heard of was decided by the one before. The caller holds Manager.mu.
func (h *hold) takeReport(now time.Time, theirs canary.Stage, req *wire.ReportTallyRequest) {
	mine := h.rollout.Stage()
	if theirs.Order != mine.Order {
		return
	}
	if theirs.NewerThan(mine) && theirs.Step < maxStep {
		adopted := mine
		if theirs.Phase.IsVerdict() {
			adopted = theirs
		}
		adopted.Step, adopted.Holder = theirs.Step+1, mine.Holder
		h.rollout.Enter(now, adopted)
		clear(h.announcedAt)
	}
	h.rollout.Report(now, canary.Report{
		Node: req.GetFrom(), Since: time.Unix(0, req.GetSinceNs()), Order: theirs.Order, Phase: theirs.Phase, Quiet: req.GetQuiet(), Tallies: peer.FromTallies(req.GetTallies()),
	})
}
