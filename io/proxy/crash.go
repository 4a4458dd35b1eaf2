package proxy

import (
	"fmt"
	"slices"

	"tanagerchute/core/call"
	"tanagerchute/core/crash"
	"tanagerchute/core/event"
	"tanagerchute/core/pick"
)

// maxBrokenAttempts is the number of attempts without a complete answer of a backend server
// after which a call is not sent again, even though no end of a server under it is known: each of these
// servers may have ended because of it.
const maxBrokenAttempts = 2

// refuseHeld returns the refusal of a call that is held back because backend servers end
// when they run it, see package crash.
func (p *Proxy) refuseHeld(c call.Call, j crash.Judgement) call.Reply {
	p.recordEvent(event.RequestRefused, c, fmt.Sprintf("%s: %d backend servers ended while %v ran", call.CauseCrashesServers, j.Ends, c.Work))
	r := call.Refuse(call.NotRun, call.CauseCrashesServers, j.RetryAfter)
	r.Node = p.cfg.Node
	return r
}

// mayCrashServers reports whether the call is not to be sent to another server, because
// it may have ended those that it was sent to.
func (d *dispatchState) mayCrashServers() bool {
	return d.broken >= maxBrokenAttempts || d.p.cfg.Fleet.Crashes().Judge(d.call.Work, d.call.Service).Suspect
}

// onlyNode returns the candidate that is the node with the given id, if cs has it.
func onlyNode(cs []pick.Candidate, id string) []pick.Candidate {
	at := slices.IndexFunc(cs, func(c pick.Candidate) bool { return c.ID == id })
	if at < 0 {
		return nil
	}
	return cs[at : at+1]
}
