package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"tanagerchute/io/link"
	"tanagerchute/io/timer"
)

// Times of the end of the server for callers.
const (
	newGrace   = time.Second // for the first request of a connection
	stateCheck = 5 * time.Millisecond
	// spareIdle ends idle connections that are not bounded by node.patience,
	// which are those of HTTP/2.
	spareIdle = time.Hour
)

// conns follows the connections of the server for callers.
//
// net/http drops a request that it has read after Shutdown was called. So the
// listener is closed first, and Shutdown is called only when no connection has
// a request on its way.
type conns struct {
	mu      sync.Mutex
	states  map[net.Conn]http.ConnState
	changes map[net.Conn]int // of the state, counted
}

func newConns() *conns {
	return &conns{states: map[net.Conn]http.ConnState{}, changes: map[net.Conn]int{}}
}

// track is the ConnState hook of a server.
func (c *conns) track(conn net.Conn, s http.ConnState) {
	if p, ok := conn.(*link.PatientConn); ok {
		switch s {
		case http.StateActive:
			p.Work()
		case http.StateIdle:
			p.Rest()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.states, conn)
		delete(c.changes, conn)
		return
	}
	c.states[conn] = s
	c.changes[conn]++
}

// busy reports whether a connection is in one of the given states.
func (c *conns) busy(states ...http.ConnState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.states {
		for _, want := range states {
			if s == want {
				return true
			}
		}
	}
	return false
}

// settle waits until the requests that are on their way now have ended, or ctx
// has. Others may come meanwhile.
func (c *conns) settle(ctx context.Context) {
	c.mu.Lock()
	busy := map[net.Conn]int{}
	for conn, s := range c.states {
		if s == http.StateActive {
			busy[conn] = c.changes[conn]
		}
	}
	c.mu.Unlock()
	for c.still(busy) && timer.Sleep(ctx, stateCheck) {
	}
}

// still reports whether a connection has not changed its state since it was
// counted.
func (c *conns) still(counted map[net.Conn]int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, n := range counted {
		if c.changes[conn] == n {
			return true
		}
	}
	return false
}

// wait waits until no connection has a request on its way, or ctx ends. A
// connection that has not sent any is waited for no longer than newGrace.
func (c *conns) wait(ctx context.Context) {
	limit := time.Now().Add(newGrace)
	for c.busy(http.StateActive) || c.busy(http.StateNew) && time.Now().Before(limit) {
		if !timer.Sleep(ctx, stateCheck) {
			return
		}
	}
}
