package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"tanagerchute/core/acks"
	"tanagerchute/io/link"
)

// linkWatch watches the connections of one client, and tells the attempts in flight on
// them when the node has fallen silent. It is safe for concurrent use.
type linkWatch struct {
	mu       sync.Mutex
	state    acks.Link
	attempts map[*ackWatch]bool // in flight, the value is set once an attempt was told
	timer    *time.Timer        // for the next check, nil while no connection is open

	addr     string // of the node
	onSilent func(linkSilence)
}

// linkSilence describes a link that has fallen silent.
type linkSilence struct {
	addr     string    // of the node
	heardAt  time.Time // when something was last received
	inFlight int       // attempts that wait for an answer
}

func newLinkWatch(addr string, onSilent func(linkSilence)) *linkWatch {
	return &linkWatch{attempts: map[*ackWatch]bool{}, addr: addr, onSilent: onSilent}
}

// dial returns a Dial whose connections are watched.
func (w *linkWatch) dial(next link.Dial) link.Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		w.opened(time.Now())
		return &watchedConn{Conn: c, watch: w}, nil
	}
}

// opened records a new connection. It is checked also while no attempt is in flight, so
// that the next one does not use a dead connection.
func (w *linkWatch) opened(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.Opened(now)
	if w.timer == nil {
		_, next := w.state.Check(now)
		w.timer = time.AfterFunc(next.Sub(now), w.check)
	}
}

// watchedConn is a connection that reports to a linkWatch.
type watchedConn struct {
	net.Conn
	watch     *linkWatch
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.watch.mu.Lock()
		c.watch.state.Heard(time.Now())
		c.watch.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.closeOnce.Do(func() {
		c.watch.closed()
	})
	return c.Conn.Close()
}

// closed records the end of a connection.
func (w *linkWatch) closed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state.Closed() == 0 && w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// add adds an attempt in flight.
func (w *linkWatch) add(a *ackWatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts[a] = false
}

// remove removes an attempt that has ended.
func (w *linkWatch) remove(a *ackWatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.attempts, a)
}

// check tells the attempts in flight if the link is silent.
func (w *linkWatch) check() {
	now := time.Now()
	w.mu.Lock()
	if w.timer == nil {
		w.mu.Unlock()
		return
	}
	silent, next := w.state.Check(now)
	w.timer.Reset(next.Sub(now))
	var told []*ackWatch
	for a, before := range w.attempts {
		if silent && !before {
			w.attempts[a] = true
			told = append(told, a)
		}
	}
	link := linkSilence{addr: w.addr, heardAt: w.state.LastHeard(), inFlight: len(w.attempts)}
	w.mu.Unlock()
	if len(told) > 0 {
		w.onSilent(link)
	}
	for _, a := range told {
		a.expire(silence{heardAt: link.heardAt})
	}
}

// silent reports whether nothing has been received for so long that a new call should
// not be sent on these connections.
func (w *linkWatch) silent(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	silent, _ := w.state.Check(now)
	return silent
}
