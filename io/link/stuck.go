package link

import (
	"context"
	"net"
	"sync"
)

// Stuck is a link whose other end reads nothing any more once Stick is called, while what it sends
// goes on arriving. It is safe for concurrent use.
type Stuck struct {
	once  sync.Once
	stuck chan struct{} // closed by Stick
}

// NewStuck returns a link that works.
func NewStuck() *Stuck { return &Stuck{stuck: make(chan struct{})} }

// Stick makes the other end of all connections stop reading.
func (l *Stuck) Stick() { l.once.Do(func() { close(l.stuck) }) }

// Dial returns a Dial whose connections use the link.
func (l *Stuck) Dial(next Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &stuckConn{Conn: c, link: l, closed: make(chan struct{})}, nil
	}
}

// stuckConn is a connection over a Stuck.
type stuckConn struct {
	net.Conn
	link   *Stuck
	once   sync.Once
	closed chan struct{}
}

// Write implements net.Conn. It blocks until Close once the link is stuck.
func (c *stuckConn) Write(b []byte) (int, error) {
	select {
	case <-c.link.stuck:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return c.Conn.Write(b)
	}
}

// Close implements net.Conn.
func (c *stuckConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
