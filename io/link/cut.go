package link

import (
	"context"
	"net"
	"sync"
	"time"
)

// Cut is a fault of a link for trials: connections that are cut stay open and
// say nothing more, as after the loss of a route or of a firewall's state.
type Cut struct {
	mu   sync.Mutex
	down func(addr string) bool
	open map[*cutConn]bool
}

// NewCut returns a link without a fault.
func NewCut() *Cut { return &Cut{open: map[*cutConn]bool{}} }

// Set makes all connections to the addresses for which down is true go silent
// for good, and new ones to them fail, until it is set again. nil heals the
// link for new connections.
func (c *Cut) Set(down func(addr string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
	if down != nil {
		c.silence(down)
	}
}

// Silence makes the connections that are open to some addresses go silent for
// good, while new ones work.
func (c *Cut) Silence(which func(addr string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silence(which)
}

func (c *Cut) silence(which func(addr string) bool) {
	for conn := range c.open {
		if which(conn.addr) {
			conn.mute()
			delete(c.open, conn)
		}
	}
}

func (c *Cut) isDown(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down != nil && c.down(addr)
}

// Dial returns a Dial whose connections can be cut.
func (c *Cut) Dial(next Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if c.isDown(addr) {
			return nil, hang(ctx, addr)
		}
		conn, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		x := &cutConn{Conn: conn, addr: addr, muted: make(chan struct{}), closed: make(chan struct{})}
		x.cut = c
		c.mu.Lock()
		c.open[x] = true
		c.mu.Unlock()
		return x, nil
	}
}

// hang waits as a dial into nowhere does.
func hang(ctx context.Context, addr string) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(dialTimeout):
		return &net.OpError{Op: "dial", Net: "tcp", Err: &net.AddrError{Err: "cut off", Addr: addr}}
	}
}

// cutConn is a connection that can go silent.
type cutConn struct {
	net.Conn
	cut    *Cut
	addr   string
	muted  chan struct{}
	closed chan struct{}
	once   sync.Once
	end    sync.Once
}

func (x *cutConn) mute() { x.once.Do(func() { close(x.muted) }) }

func (x *cutConn) silent() bool {
	select {
	case <-x.muted:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. What arrives at a silent connection is dropped.
func (x *cutConn) Read(b []byte) (int, error) {
	n, err := x.Conn.Read(b)
	if x.silent() {
		<-x.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. A silent connection takes all and sends nothing.
func (x *cutConn) Write(b []byte) (int, error) {
	if x.silent() {
		return len(b), nil
	}
	return x.Conn.Write(b)
}

// Close implements net.Conn.
func (x *cutConn) Close() error {
	x.end.Do(func() {
		close(x.closed)
		x.cut.mu.Lock()
		delete(x.cut.open, x)
		x.cut.mu.Unlock()
	})
	return x.Conn.Close()
}
