package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"tanagerchute/io/timer"
)

// Times for connections of callers.
const (
	firstRequestGrace = time.Second // wait for the first request of a new connection at a stop
	statePollInterval = 5 * time.Millisecond
	// http2IdleTimeout bounds idle HTTP/2 connections, to which the timeouts of
	// Node.callerTimeouts do not apply.
	http2IdleTimeout = time.Hour
)

// connTracker tracks the states of the connections of the server for callers.
//
// net/http drops a request that it reads after Shutdown was called, and closes idle
// connections without regard to what has arrived. So a stop first closes the listener and
// retires the connections, and calls Shutdown when none is left but those of HTTP/2.
type connTracker struct {
	onCount func(open int)
	mu      sync.Mutex
	byConn  map[net.Conn]connState
}

// connState is the state of a connection.
type connState struct {
	state   http.ConnState
	changes int // number of state changes so far
}

// newConnTracker returns a tracker that calls onCount, which must not block, with the number
// of open connections when that has changed.
func newConnTracker(onCount func(open int)) *connTracker {
	return &connTracker{onCount: onCount, byConn: map[net.Conn]connState{}}
}

// activityConn is a connection that is told whether a request is in progress.
type activityConn interface {
	SetActive()
	SetIdle()
}

// track is the ConnState hook of a server.
func (c *connTracker) track(conn net.Conn, state http.ConnState) {
	if rc, ok := conn.(activityConn); ok {
		switch state {
		case http.StateActive:
			rc.SetActive()
		case http.StateIdle:
			rc.SetIdle()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.byConn, conn)
		c.onCount(len(c.byConn))
		return
	}
	if _, known := c.byConn[conn]; !known {
		defer func() { c.onCount(len(c.byConn)) }()
	}
	c.byConn[conn] = connState{state, c.byConn[conn].changes + 1}
}

// anyInState reports whether a connection is in one of the given states.
func (c *connTracker) anyInState(states ...http.ConnState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.byConn {
		for _, want := range states {
			if s.state == want {
				return true
			}
		}
	}
	return false
}

// waitForCurrentRequests waits until each request that is in progress now has
// ended, or ctx ends. It does not wait for requests that begin later.
func (c *connTracker) waitForCurrentRequests(ctx context.Context) {
	c.mu.Lock()
	active := map[net.Conn]connState{}
	for conn, s := range c.byConn {
		if s.state == http.StateActive {
			active[conn] = s
		}
	}
	c.mu.Unlock()
	for c.anyUnchanged(active) && timer.Sleep(ctx, statePollInterval) {
	}
}

// anyUnchanged reports whether one of the connections in before still has the
// same state without a change in between.
func (c *connTracker) anyUnchanged(before map[net.Conn]connState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range before {
		if c.byConn[conn] == s {
			return true
		}
	}
	return false
}

// waitIdle waits until no connection has a request in progress, or ctx ends.
func (c *connTracker) waitIdle(ctx context.Context) {
	for c.anyInState(http.StateActive) && timer.Sleep(ctx, statePollInterval) {
	}
}

// retirableConn is a connection that can be ended before its next request. Retire returns
// false if it can't be ended so.
type retirableConn interface{ Retire() bool }

// retireAll ends the connections, each after its answers, and waits until they are closed, or
// ctx ends. It does not close those of HTTP/2, but waits until they have no request in
// progress. It waits at most firstRequestGrace for the requests of new connections.
//
// A connection on which a request arrives meanwhile either has read none of its bytes, or
// answers it.
func (c *connTracker) retireAll(ctx context.Context) {
	graceEnd := time.Now().Add(firstRequestGrace)
	for !c.tryRetire(time.Now().After(graceEnd)) && timer.Sleep(ctx, statePollInterval) {
	}
}

// tryRetire ends the connections without a request, new ones only if newToo is set. It reports
// whether none is left but idle ones that can't be ended so.
func (c *connTracker) tryRetire(newToo bool) (done bool) {
	done = true
	for conn, state := range c.states() {
		if state == http.StateActive || state == http.StateNew && !newToo {
			done = false
			continue
		}
		if rc, ok := conn.(retirableConn); ok && rc.Retire() {
			done = false // it is closed by its server
		}
	}
	return done
}

// states returns the state of each connection.
func (c *connTracker) states() map[net.Conn]http.ConnState {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[net.Conn]http.ConnState, len(c.byConn))
	for conn, s := range c.byConn {
		out[conn] = s.state
	}
	return out
}
