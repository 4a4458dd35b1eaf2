package gate

import (
	"context"
	"fmt"
	"time"

	"tanagerchute"
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
