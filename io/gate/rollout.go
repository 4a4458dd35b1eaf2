package gate

import (
	"net/http"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/canary"
)

// Rollouts is what the node knows of the roll-outs of versions of its service, see package
// canary. Its methods must not block.
type Rollouts interface {
	// CountCall counts the end of a call at a backend server of the given version.
	CountCall(version string, o canary.Outcome)
	// Refuses reports whether servers of the given version get no calls any more.
	Refuses(version string) bool
}

// refuseVersion returns the refusal of a call if the version of the backend server was left
// by a roll-out, nil otherwise. The caller holds mu.
func (g *Gate) refuseVersion() *call.Reply {
	if g.cfg.Rollouts == nil || !g.cfg.Rollouts.Refuses(g.backend.Version) {
		return nil
	}
	r := call.Refuse(call.NotRun, call.CauseDraining, 0)
	return &r
}

// countForRollout counts a call that was sent to a backend server.
func (g *Gate) countForRollout(server Backend, c call.Call, r call.Reply, took time.Duration) {
	if g.cfg.Rollouts == nil {
		return
	}
	o := canary.Outcome{Route: c.Class, Took: took}
	switch {
	case r.Fate == call.NotRun, r.Cause == call.CauseCanceled, r.NestedFailure:
		o.Unjudged = true
	case r.Fate == call.Unknown, r.Status >= http.StatusInternalServerError:
		o.Failed = true
	default:
		o.Unjudged = time.Now().Before(server.WarmupEnd)
	}
	g.cfg.Rollouts.CountCall(server.Version, o)
}
