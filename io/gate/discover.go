package gate

import (
	"context"
	"fmt"
	"time"

	"tanagerchute"
	"tanagerchute/core/beat"
	"tanagerchute/core/event"
	"tanagerchute/core/owner"
)

// LearnOwner records which server an earlier process of this node has heard at the address of
// the backend server.
func (g *Gate) LearnOwner(c owner.Claim, from owner.Source) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owner.Learn(time.Now(), c, from)
}

// KnowsOwner reports whether a server is known to have been heard at the address of the backend
// server.
func (g *Gate) KnowsOwner() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owner.Claim().Known()
}

// DiscoverBackend sends a health check to the address of b. If the server that answers is the
// one that was heard there, see LearnOwner, it is the backend server until its first heartbeat.
// Until then b is assumed to describe it. A node that restarts while its backend server keeps
// running would otherwise have to wait for that heartbeat.
func (g *Gate) DiscoverBackend(ctx context.Context, healthPath string, b Backend) {
	began := time.Now()
	answer, statement := g.askServer(ctx, b.Address, healthPath)
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.heartbeats.Last(); known || g.backendLeaving || g.backend.Address != "" {
		return
	}
	verdict := g.owner.Identify(answer)
	evidence := fmt.Sprintf("%q answered a health check: %v%s", answer.ID, verdict, g.describeOwner(began))
	if verdict != owner.Confirmed {
		g.recordEvent(event.UpstreamUnproved, b.Address, evidence)
		return
	}
	b.ID = answer.ID
	g.setBackend(b, evidence)
	if statement.Limited { // without a limit, the answer to a health check says nothing
		g.observeLimit(began, "a health check", statement)
	}
}

// describeOwner returns what is known of the server at the address, for logs: who it is, from
// where that is known, and how long ago the server was first heard. The caller holds mu.
func (g *Gate) describeOwner(now time.Time) string {
	c := g.owner.Claim()
	if !c.Known() {
		return ""
	}
	age := now.Sub(time.UnixMilli(c.HeardMs)).Round(time.Millisecond)
	return fmt.Sprintf("; %s with start time %d was first heard %v ago, known from %s", c.ID, c.StartMs, age, g.owner.Source())
}

// AskServer sends a health check to the server at addr.
func (g *Gate) AskServer(ctx context.Context, addr, path string) owner.Answer {
	a, _ := g.askServer(ctx, addr, path)
	return a
}

// askServer is AskServer, and returns what the server says about itself besides.
func (g *Gate) askServer(ctx context.Context, addr, path string) (owner.Answer, tanagerchute.ServerStatement) {
	a, statement := g.client.healthCheck(ctx, addr, path)
	a.Ready = a.Ready && !statement.Leaving
	return a, statement
}

// Contradicts reports whether a heartbeat of another service names a server that is not known
// to be at the address of the backend server.
func (g *Gate) Contradicts(h beat.Heartbeat) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owner.Contradicts(h.ID, h.StartMs)
}

// ObserveForeign handles a heartbeat of another service that names the address of the backend
// server, where the server has answered a. If the sender is at the address, the backend server
// gets no more calls.
func (g *Gate) ObserveForeign(h beat.Heartbeat, a owner.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	before := g.describeOwner(now)
	if !g.owner.HeardForeign(now, h.ID, h.StartMs, a) || g.backend.Address == "" {
		return
	}
	cause := fmt.Sprintf("%s of service %s has its address, %q answered a health check%s", h.ID, h.Service, a.ID, before)
	g.recordEvent(event.UpstreamReplaced, g.backend.logName(), cause)
	g.watchReplacement(now, cause)
	g.notifyWaiters(g.admission.Drain())
	g.client.closeIdle()
	g.backend = Backend{}
	g.requestTick()
}

// MustAskServer reports whether a heartbeat that says that the backend server is ready may be
// from before another server took its address.
func (g *Gate) MustAskServer(h beat.Heartbeat) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owner.MustAsk(time.Now(), h.ID, h.StartMs)
}

// Believes reports whether a heartbeat that says that the backend server is ready agrees with
// what the server at its address has answered.
func (g *Gate) Believes(h beat.Heartbeat, a owner.Answer) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.owner.Believes(now, h.ID, h.StartMs, a) {
		return true
	}
	g.recordEvent(event.HeartbeatDoubted, h.ID, fmt.Sprintf("sequence %d with start time %d says ready, %q answered a health check, ready %v%s",
		h.Sequence, h.StartMs, a.ID, a.Ready, g.describeOwner(now)))
	return false
}

// Uses reports whether the backend server with the given id is in use.
func (g *Gate) Uses(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backend.Address != "" && g.backend.ID == id && !g.backendLeaving
}

// InUse reports whether any backend server is in use.
func (g *Gate) InUse() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backend.Address != ""
}
