package node

import (
	"context"

	"tanagerchute/core/beat"
	"tanagerchute/core/leave"
	"tanagerchute/core/member"
	"tanagerchute/io/leaves"
	"tanagerchute/io/ledger"
)

// newLeaves returns the keeper of the leaves that are announced to this node.
func (n *Node) newLeaves() *leaves.Keeper {
	s := n.cfg.Settings
	return leaves.New(leaves.Config{
		Store: n.cfg.Store, Key: ledger.Prefix(s.Deployment) + "leaves/" + s.Name, FirstStart: s.FirstStart, Journal: n.journal,
		OnFormer: func(r leave.Record) {
			n.gate.ObserveFormerLeave(r.At, member.ServerID{ID: r.Server, StartMs: r.StartMs})
		},
		OnHeld: func(h beat.Heartbeat) { n.useHeartbeat(h) },
	})
}

// ObserveHeartbeat handles a heartbeat of the backend server, see
// gate.Gate.ObserveHeartbeat. It returns when the heartbeat may be acknowledged.
func (n *Node) ObserveHeartbeat(ctx context.Context, h beat.Heartbeat) beat.Verdict {
	if h.State == beat.Ready {
		if n.leaves.Hold(h) {
			return beat.Fresh
		}
		return n.useHeartbeat(h)
	}
	v := n.gate.ObserveHeartbeat(h)
	n.awaitSavedLeave(ctx, v)
	return v
}

// useHeartbeat handles a heartbeat that says that the backend server is ready.
func (n *Node) useHeartbeat(h beat.Heartbeat) beat.Verdict {
	v := n.gate.ObserveHeartbeat(h)
	if v == beat.Fresh {
		n.leaves.InUse(h.ID, h.StartMs)
	}
	return v
}

// ObserveLeave handles a leave request of the backend server, see
// gate.Gate.ObserveLeave. It returns when the request may be acknowledged.
func (n *Node) ObserveLeave(ctx context.Context, id string, startMs int64) beat.Verdict {
	v := n.gate.ObserveLeave(id, startMs)
	n.awaitSavedLeave(ctx, v)
	return v
}

// awaitSavedLeave returns when the leave of the backend server may be acknowledged, unless
// what announced it was stale.
func (n *Node) awaitSavedLeave(ctx context.Context, v beat.Verdict) {
	if v == beat.Stale {
		return
	}
	s := n.gate.LeftServer()
	n.leaves.Announced(ctx, s.ID, s.StartMs)
}
