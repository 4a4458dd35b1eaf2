package gate

import (
	"fmt"
	"strings"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/crash"
	"tanagerchute/core/event"
)

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
	works := make([]string, len(end.Works))
	for i, w := range end.Works {
		works[i] = w.String()
	}
	g.recordEvent(event.UpstreamEnded, g.backend.logName(), fmt.Sprintf("%s, %d calls were running: %s", evidence, end.Calls, strings.Join(works, " ")))
}
