package link

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// Patience says how long a caller may take. Zero values are no bound.
type Patience struct {
	Idle   time.Duration // before the first byte of a request
	Header time.Duration // from that byte to the end of the request's headers
}

// Patient returns a listener whose connections bound the time of their callers.
// now is asked for the bounds each time that one begins, so that they follow
// what is in force.
func Patient(ln net.Listener, now func() Patience) net.Listener {
	return patientListener{ln, now}
}

type patientListener struct {
	net.Listener
	now func() Patience
}

// Accept implements net.Listener.
func (l patientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	p := &PatientConn{Conn: c, now: l.now}
	p.Rest()
	return p, nil
}

// PatientConn is a connection of a caller. Who serves it says when a request
// begins to be worked on and when the next one is waited for. It is safe for
// concurrent use.
type PatientConn struct {
	net.Conn
	now func() Patience

	mu      sync.Mutex
	resting bool      // no byte of the next request has been read
	free    bool      // speaks HTTP/2, whose server has bounds of its own
	asked   time.Time // the deadline that the server has set
	own     time.Time // the deadline of the caller's part
}

// preface is how a connection of HTTP/2 begins.
var preface = []byte("PRI * HTTP/2")

// Rest begins the wait for the next request.
func (c *PatientConn) Rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.free {
		return
	}
	c.resting = true
	c.bound(c.now().Idle)
}

// Work ends the bounds until Rest.
func (c *PatientConn) Work() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resting = false
	c.bound(0)
}

// Read implements net.Conn.
func (c *PatientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resting {
		c.resting = false
		c.free = bytes.HasPrefix(b[:n], preface)
		if c.free {
			c.bound(0)
		} else {
			c.bound(c.now().Header)
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *PatientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = t
	return c.apply()
}

// SetDeadline implements net.Conn.
func (c *PatientConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// bound sets the deadline of the caller's part. Its caller holds mu.
func (c *PatientConn) bound(d time.Duration) {
	c.own = time.Time{}
	if d > 0 {
		c.own = time.Now().Add(d)
	}
	_ = c.apply() // fails on a closed connection only
}

// apply sets the earlier one of both deadlines. Its caller holds mu.
func (c *PatientConn) apply() error {
	t := c.asked
	if t.IsZero() || !c.own.IsZero() && c.own.Before(t) {
		t = c.own
	}
	return c.Conn.SetReadDeadline(t)
}
