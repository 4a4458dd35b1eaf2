package gate

import (
	"fmt"
	"strings"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/crash"
	"tanagerchute/core/event"
)

// CrashRegistry is what the nodes know together of the works under which backend servers
// ended, see package crash. Its methods must not block.
type CrashRegistry interface {
	// RecordEnd records the end of the backend server with the given name.
	RecordEnd(server string, end crash.End)
	// RecordCompleted records that a backend server has completed a work.
	RecordCompleted(w crash.Work)
	// Judge tells what may be done with a call to a service that asks for a work.
	Judge(w crash.Work, service string) crash.Judgement
	// BeginTrial reports whether a held work may run now at the own backend server.
	BeginTrial(w crash.Work) bool
}

// refuseHeld returns the refusal of c if it is held back because backend servers end when
// they run it, or if another node runs its trials. Otherwise it returns nil.
func (g *Gate) refuseHeld(c call.Call) *call.Reply {
	if g.cfg.Crashes == nil {
		return nil
	}
	j := g.cfg.Crashes.Judge(workOf(c), c.Service)
	if !j.Held && (!j.TrialDue || j.TrialNode == g.cfg.Node) {
		return nil
	}
	r := call.Refuse(call.NotRun, call.CauseCrashesServers, j.RetryAfter)
	return &r
}

// refuseUnlessTrial is like refuseHeld, for a call that is about to be sent to the backend
// server. Of the calls that are due as a trial, it lets one pass.
func (g *Gate) refuseUnlessTrial(c call.Call) *call.Reply {
	if r := g.refuseHeld(c); r != nil || g.cfg.Crashes == nil {
		return r
	}
	w := workOf(c)
	j := g.cfg.Crashes.Judge(w, c.Service)
	if !j.TrialDue || g.cfg.Crashes.BeginTrial(w) {
		return nil
	}
	r := call.Refuse(call.NotRun, call.CauseCrashesServers, j.RetryAfter)
	return &r
}

// workOf returns the identity of the work of c. Senders of earlier builds do not
// compute it.
func workOf(c call.Call) crash.Work {
	if c.Work != 0 {
		return c.Work
	}
	return crash.Identify(crash.Request{Method: c.Method, Host: c.Host, Path: c.Path, Body: c.Body})
}

// watchCallEnd records what the end of a call says about the end of the backend server.
// The caller holds mu.
func (g *Gate) watchCallEnd(now time.Time, c call.Call, r call.Reply) {
	switch {
	case r.Fate == call.Answered:
		g.watch.Answered(c.Attempt)
		if g.cfg.Crashes != nil {
			g.cfg.Crashes.RecordCompleted(workOf(c))
		}
	case r.Cause == call.CauseBrokenAnswer:
		if end, ended := g.watch.Broken(now, c.Attempt); ended {
			g.recordEnd(end, "refuses connections")
		}
	default:
		g.watch.Done(c.Attempt)
	}
}

// observeRefusedConn records that the backend server at addr refused a connection.
func (g *Gate) observeRefusedConn(addr string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if addr != g.backend.Address {
		return
	}
	if end, ended := g.watch.Refused(time.Now()); ended {
		g.recordEnd(end, "refuses connections")
	}
}

// watchReplacement records that another server has taken the place of the backend
// server. The caller holds mu.
func (g *Gate) watchReplacement(now time.Time, evidence string) {
	if end, ended := g.watch.Replaced(now); ended {
		g.recordEnd(end, evidence)
	}
}

// recordEnd records the end of the backend server while calls were running there. The
// caller holds mu.
func (g *Gate) recordEnd(end crash.End, evidence string) {
	if g.cfg.Crashes != nil {
		g.cfg.Crashes.RecordEnd(g.backend.logName(), end)
	}
	works := make([]string, len(end.Works))
	for i, w := range end.Works {
		works[i] = w.String()
	}
	g.recordEvent(event.UpstreamEnded, g.backend.logName(), fmt.Sprintf("%s, %d calls were running: %s", evidence, end.Calls, strings.Join(works, " ")))
}
