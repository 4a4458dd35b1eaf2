package gate

import (
	"fmt"

	"tanagerchute"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
)

// observeStatement records what server said about itself in the answer to c.
func (g *Gate) observeStatement(server Backend, c call.Call, s tanagerchute.ServerStatement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.Malformed != nil {
		g.recordEvent(event.StatementMalformed, server.logName(), fmt.Sprintf("%v, in the answer to %s", s.Malformed, c.ID))
		return
	}
	switch {
	case s.Limited && s.RateLimit != g.rateLimit:
		g.recordEvent(event.UpstreamLimited, server.logName(), fmt.Sprintf("%.3g requests a second, named in the answer to %s", s.RateLimit, c.ID))
	case !s.Limited && g.rateLimit > 0:
		g.recordEvent(event.UpstreamUnlimited, server.logName(), fmt.Sprintf("no limit in the answer to %s", c.ID))
	}
	g.rateLimit = s.RateLimit
}

// RateLimit returns the number of requests a second that the backend server named in
// its last answer, or 0 if it named none.
func (g *Gate) RateLimit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rateLimit
}
