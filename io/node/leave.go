package node

import (
	"context"
	"time"

	"tanagerchute/core/beat"
	"tanagerchute/core/leave"
	"tanagerchute/core/member"
	"tanagerchute/io/leaves"
	"tanagerchute/io/ledger"
	"tanagerchute/io/timer"
)

// newLeaves returns the keeper of the leaves that are announced to this node.
func (n *Node) newLeaves() *leaves.Keeper {
	s := n.cfg.Settings
	return leaves.New(leaves.Config{
		Store: n.cfg.Store, Key: ledger.Prefix(s.Deployment) + "leaves/" + s.Name, FirstStart: s.FirstStart, Journal: n.journal,
		OnFormer: func(r leave.Record) {
			n.gate.ObserveFormerLeave(r.At, member.ServerID{ID: r.Server, StartMs: r.StartMs})
		},
		OnHeld: func(h beat.Heartbeat) { n.useHeartbeat(context.Background(), h) },
	})
}

// ObserveHeartbeat handles a heartbeat of the backend server, see
// gate.Gate.ObserveHeartbeat. It returns when the heartbeat may be acknowledged.
func (n *Node) ObserveHeartbeat(ctx context.Context, h beat.Heartbeat) beat.Verdict {
	if h.Service != n.cfg.Settings.Service {
		n.observeForeignHeartbeat(ctx, h)
		return beat.Foreign
	}
	if h.State == beat.Ready {
		if n.leaves.Hold(h) {
			return beat.Fresh
		}
		return n.useHeartbeat(ctx, h)
	}
	v := n.gate.ObserveHeartbeat(h)
	n.awaitSavedLeave(ctx, h.ID)
	return v
}

// useHeartbeat handles a heartbeat that says that the backend server is ready.
func (n *Node) useHeartbeat(ctx context.Context, h beat.Heartbeat) beat.Verdict {
	if !n.isBelieved(ctx, h) {
		return beat.Stale
	}
	v := n.gate.ObserveHeartbeat(h)
	if v == beat.Fresh {
		n.leaves.InUse(h.ID, h.StartMs)
	}
	return v
}

// isBelieved reports whether a heartbeat which says that the backend server is ready may be used.
// The first one since the start may be from before a leave, and any may be from before another
// server took the address. Then the server there says who it is, and whether it takes requests.
func (n *Node) isBelieved(ctx context.Context, h beat.Heartbeat) bool {
	first := n.leaves.MustConfirm() && !n.gate.Uses(h.ID)
	if !first && !n.gate.MustAskServer(h) {
		return true
	}
	return n.gate.Believes(h, n.askServer(ctx))
}

// ObserveLeave handles a leave request of the backend server, see
// gate.Gate.ObserveLeave. It returns when the request may be acknowledged.
func (n *Node) ObserveLeave(ctx context.Context, id string, startMs int64) beat.Verdict {
	v := n.gate.ObserveLeave(id, startMs)
	n.awaitSavedLeave(ctx, id)
	return v
}

// awaitSavedLeave returns when the leave of the backend server with the given id may be
// acknowledged. That is at once if another server has taken its place. What announces the
// leave may be stale, since the node already knows of it from the other nodes; it has to be
// saved all the same.
func (n *Node) awaitSavedLeave(ctx context.Context, id string) {
	if s := n.gate.LeftServer(); s.ID == id {
		n.leaves.Announced(ctx, s.ID, s.StartMs)
	}
}

// formerLeaveChecks and formerLeaveInterval are how often, and at which interval, a started
// node looks for a leave among what it has heard from the others. It may have found few of
// them at first.
const (
	formerLeaveChecks   = 30
	formerLeaveInterval = time.Second
)

// watchFormerLeave looks for a leave of an earlier process for some time after the start, until
// ctx ends.
func (n *Node) watchFormerLeave(ctx context.Context) {
	for range formerLeaveChecks {
		if !timer.Sleep(ctx, formerLeaveInterval) {
			return
		}
		// A server without a known start can't be told from its next incarnation.
		if s := n.fleet.FormerLeave(ctx); s.StartMs != 0 {
			n.applyFormerLeave(s)
		}
	}
}

// observeFormerLeave tells the gate if the backend server announced its stop to an earlier
// process, as the other nodes remember it, and saves that. A late heartbeat could say
// otherwise.
func (n *Node) observeFormerLeave(ctx context.Context) {
	if s := n.fleet.FormerLeave(ctx); s.ID != "" {
		n.applyFormerLeave(s)
	}
}

// applyFormerLeave is observeFormerLeave for the leave of the given server.
func (n *Node) applyFormerLeave(s member.ServerID) {
	n.gate.ObserveFormerLeave(time.Now(), s)
	if n.gate.LeftServer() == s {
		n.leaves.Inherited(s.ID, s.StartMs)
	}
}
