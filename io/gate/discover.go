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
	id, statement, health := g.client.healthCheck(ctx, b.Address, healthPath)
	ok := health == HealthGood && !statement.Leaving
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.heartbeats.Last(); !ok || known || g.backendLeaving || g.backend.Address != "" {
		return
	}
	b.ID = id
	g.setBackend(b, "answered a health check at "+b.Address)
	if statement.Limited { // without a limit, the answer to a health check says nothing
		g.observeLimit(began, "a health check", statement)
	}
}

// Health is what a health check says about a backend server.
type Health int

// Results of a health check.
const (
	HealthUnknown  Health = iota // no answer, or none that the server can be known by
	HealthGood                   // the server takes requests
	HealthRefusing               // the server says that it does not: it fails or leaves
)

// CheckHealth sends a health check to the server at addr and returns the id of the server, and
// what it says.
func (g *Gate) CheckHealth(ctx context.Context, addr, path string) (id string, h Health) {
	id, statement, h := g.client.healthCheck(ctx, addr, path)
	if h == HealthGood && statement.Leaving {
		h = HealthRefusing
	}
	return id, h
}

// Uses reports whether the backend server with the given id is in use.
func (g *Gate) Uses(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backend.Address != "" && g.backend.ID == id && !g.backendLeaving
}
