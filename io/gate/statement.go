package gate

import (
	"fmt"
	"time"

	"tanagerchute"
	"tanagerchute/core/admit"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/pick"
	"tanagerchute/core/quota"
)

// observeStatement acts on what the backend server said about itself in the answer to
// c, which was sent at sentAt. admission is the controller that admitted c. If another
// server has replaced the one that answered, its statement says nothing any more.
func (g *Gate) observeStatement(admission *admit.Controller, sentAt time.Time, c call.Call, s tanagerchute.ServerStatement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if admission != g.admission {
		return
	}
	source := "the answer to " + c.ID
	g.observeLimit(sentAt, source, s)
	if s.Leaving && g.leavingHeardAt.IsZero() {
		g.beginLeave(time.Now(), "named in "+source)
	}
}

// observeLimit acts on what the backend server said about its rate limit in an answer
// to a request sent at sentAt. source names the answer. The caller holds mu.
func (g *Gate) observeLimit(sentAt time.Time, source string, s tanagerchute.ServerStatement) {
	if s.Malformed != nil {
		g.recordStatement(topicMalformed, event.StatementMalformed, fmt.Sprintf("%v, in %s", s.Malformed, source))
		if !s.Limited {
			return // it may have named a limit that could not be read
		}
	}
	a := quota.Answer{SentAt: sentAt, ReceivedAt: time.Now(), Limited: s.Limited, Rate: s.RateLimit}
	changed, out := g.admission.ObserveLimit(a)
	if !changed {
		return
	}
	g.notifyWaiters(out)
	g.recordLimit("named in " + source)
}

// recordLimit records the present rate limit of the backend server. The caller holds
// mu.
func (g *Gate) recordLimit(cause string) {
	rate, limited := g.admission.Quota().Rate()
	if !limited {
		g.recordStatement(topicLimit, event.UpstreamUnlimited, "no limit is "+cause)
		return
	}
	g.recordStatement(topicLimit, event.UpstreamLimited, fmt.Sprintf("%.3g requests a second, %s", rate, cause))
}

// statementInterval is the shortest time between two events of one kind about what
// the backend server says. It may say something else in each answer.
const statementInterval = time.Second

// Topics of the events about what the backend server says. An event makes the earlier
// ones on its topic outdated.
const (
	topicLimit     = "limit"
	topicMalformed = "malformed"
)

// recordStatement records an event about what the backend server says of itself, at
// most one of a kind each statementInterval. If there was one already, tick records
// the last event on the topic later. The caller holds mu.
func (g *Gate) recordStatement(topic string, k event.Kind, cause string) {
	e := event.Event{At: time.Now(), Kind: k, Subject: g.backend.logName(), Cause: cause}
	if e, ok := g.statements.Offer(topic, e); ok {
		g.cfg.Journal.Add(e)
	}
}

// recordHeld records the events that recordStatement has held and that are due.
// The caller holds mu.
func (g *Gate) recordHeld(due []event.Event) {
	for _, e := range due {
		g.cfg.Journal.Add(e)
	}
}

// beginLeave ends new calls to the backend server, which said at heardAt that it
// leaves. The caller holds mu.
func (g *Gate) beginLeave(heardAt time.Time, cause string) {
	g.leavingHeardAt = heardAt
	g.heartbeats.ObserveDraining(heardAt, g.backend.ID)
	g.markLeaving(g.backend.logName(), cause)
}

// adoptNotice takes over what the sender of c has heard from the backend server
// before this process started. The caller holds mu.
func (g *Gate) adoptNotice(now time.Time, c call.Call) {
	n := c.Notice
	if !n.Restricts() || !n.IsAbout(g.backend.logName(), g.backend.StartMs) {
		return
	}
	cause := fmt.Sprintf("heard by %s %v ago", c.From, now.Sub(n.HeardAt).Round(time.Millisecond))
	if n.Leaving && !g.backendLeaving {
		g.beginLeave(n.HeardAt, cause)
	}
	if n.RateLimit > 0 && g.admission.AdoptLimit(now, n.RateLimit, n.HeardAt) {
		g.recordLimit(cause)
	}
}

// state returns the load of the backend server and, if the sender of c has heard from
// the server or it restricts what it gets, what it last said about itself.
func (g *Gate) state(c call.Call) (pick.Load, call.ServerNotice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.load()
	l.Acceptance = g.admission.Acceptance(time.Now(), c.Class)
	q := g.admission.Quota()
	n := call.ServerNotice{
		Server: g.backend.logName(), StartMs: g.backend.StartMs, RateLimit: l.RateLimit,
		Leaving: !g.leavingHeardAt.IsZero(), HeardAt: q.HeardAt(),
	}
	switch {
	case n.Leaving:
		n.HeardAt = g.leavingHeardAt
	case n.RateLimit > 0:
		n.HeardAt = q.NamedAt()
	case !c.Notice.Restricts():
		return l, call.ServerNotice{}
	}
	return l, n
}

// takeQuota reports whether another request may be sent to the server of admission,
// and counts it under the rate limit.
func (g *Gate) takeQuota(admission *admit.Controller) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.backendLeaving && admission.Quota().Take(time.Now())
}

// RateLimit returns the number of requests a second that the backend server takes, or
// 0 if it named no limit.
func (g *Gate) RateLimit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	rate, _ := g.admission.Quota().Rate()
	return rate
}
