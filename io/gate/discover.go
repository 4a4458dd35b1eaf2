package gate

import (
	"context"
	"time"
)

// DiscoverBackend sends a health check to addr and uses the server that answers as
// the backend server until its first heartbeat. A node that restarts while its
// backend server keeps running would otherwise have to wait for that heartbeat.
func (g *Gate) DiscoverBackend(ctx context.Context, addr, healthPath string, slots int) {
	began := time.Now()
	id, statement, ok := g.client.healthCheck(ctx, addr, healthPath)
	ok = ok && !statement.Leaving
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.heartbeats.Last(); !ok || known || g.backendLeaving || g.backend.Address != "" {
		return
	}
	g.setBackend(Backend{Address: addr, Slots: slots, ID: id})
	if statement.Limited { // without a limit, the answer to a health check says nothing
		g.observeLimit(began, "a health check", statement)
	}
}
