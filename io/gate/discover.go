package gate

import (
	"context"
	"time"
)

// DiscoverBackend sends a health check to the address of b and uses the server that
// answers as the backend server until its first heartbeat. Until then b is assumed to
// describe it, with the id that the server has given. A node that restarts while its
// backend server keeps running would otherwise have to wait for that heartbeat.
func (g *Gate) DiscoverBackend(ctx context.Context, healthPath string, b Backend) {
	began := time.Now()
	id, statement, ok := g.client.healthCheck(ctx, b.Address, healthPath)
	ok = ok && !statement.Leaving
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.heartbeats.Last(); !ok || known || g.backendLeaving || g.backend.Address != "" {
		return
	}
	b.ID = id
	g.setBackend(b)
	if statement.Limited { // without a limit, the answer to a health check says nothing
		g.observeLimit(began, "a health check", statement)
	}
}
