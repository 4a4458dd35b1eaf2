package link

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Dial opens a connection to a host:port.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// dialTimeout bounds the wait for a new connection.
const dialTimeout = time.Second

// Direct dials without any addition.
func Direct(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, network, addr)
}

// Meter counts bytes by kind of link. It is safe for concurrent use.
type Meter struct {
	inside atomic.Int64
	across atomic.Int64
}

// Inside returns the bytes sent and received inside of the data centre.
func (m *Meter) Inside() int64 { return m.inside.Load() }

// Across returns the bytes sent to and received from other data centres.
func (m *Meter) Across() int64 { return m.across.Load() }

// Dial returns a Dial that counts. across tells by the address whether a
// connection leaves the data centre.
func (m *Meter) Dial(next Dial, across func(addr string) bool) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		n := &m.inside
		if across(addr) {
			n = &m.across
		}
		return &counted{Conn: c, n: n}, nil
	}
}

type counted struct {
	net.Conn
	n *atomic.Int64
}

// Read implements net.Conn.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}
