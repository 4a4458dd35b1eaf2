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
	mu sync.Mutex
	by map[net.Conn]progress
}

// progress is how far a connection has come.
type progress struct {
	state   http.ConnState
	changes int // of the state so far
}

func newConns() *conns { return &conns{by: map[net.Conn]progress{}} }

// track is the ConnState hook of a server.
func (c *conns) track(conn net.Conn, s http.ConnState) {
	if p, ok := conn.(*link.ReadTimeoutConn); ok {
		switch s {
		case http.StateActive:
			p.SetActive()
		case http.StateIdle:
			p.SetIdle()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.by, conn)
		return
	}
	c.by[conn] = progress{s, c.by[conn].changes + 1}
}

// busy reports whether a connection is in one of the given states.
func (c *conns) busy(states ...http.ConnState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.by {
		for _, want := range states {
			if p.state == want {
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
	busy := map[net.Conn]progress{}
	for conn, p := range c.by {
		if p.state == http.StateActive {
			busy[conn] = p
		}
	}
	c.mu.Unlock()
	for c.still(busy) && timer.Sleep(ctx, stateCheck) {
	}
}

// still reports whether one of some connections has come no further.
func (c *conns) still(before map[net.Conn]progress) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, p := range before {
		if c.by[conn] == p {
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
