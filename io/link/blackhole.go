package link

import (
	"context"
	"net"
	"sync"
	"time"
)

// Blackhole injects network faults for tests: it drops the data of connections
// without closing them, as after the loss of a route or of a firewall's connection
// state. It is safe for concurrent use.
type Blackhole struct {
	mu    sync.Mutex
	match func(addr string) bool
	conns map[*blackholeConn]bool
}

// NewBlackhole returns a Blackhole that drops nothing.
func NewBlackhole() *Blackhole { return &Blackhole{conns: map[*blackholeConn]bool{}} }

// Set makes dials to the addresses for which match is true time out until the next
// Set, and drops all data of open connections to them until they are closed. With
// a nil match new connections work again.
func (b *Blackhole) Set(match func(addr string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.match = match
	if match != nil {
		b.dropOpen(match)
	}
}

// DropOpen drops all data of the open connections to the addresses for which match
// is true until they are closed. New connections are not affected.
func (b *Blackhole) DropOpen(match func(addr string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropOpen(match)
}

// dropOpen implements DropOpen. The caller holds mu.
func (b *Blackhole) dropOpen(match func(addr string) bool) {
	for conn := range b.conns {
		if match(conn.addr) {
			conn.startDropping()
			delete(b.conns, conn)
		}
	}
}

func (b *Blackhole) matches(addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.match != nil && b.match(addr)
}

// Dial returns a Dial whose connections are subject to the faults of b.
func (b *Blackhole) Dial(next Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if b.matches(addr) {
			return nil, awaitDialTimeout(ctx, addr)
		}
		conn, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		bc := &blackholeConn{Conn: conn, addr: addr, dropped: make(chan struct{}), closed: make(chan struct{})}
		bc.blackhole = b
		b.mu.Lock()
		b.conns[bc] = true
		b.mu.Unlock()
		return bc, nil
	}
}

// awaitDialTimeout waits like a dial to an address that does not answer, and
// returns its error.
func awaitDialTimeout(ctx context.Context, addr string) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(dialTimeout):
		return &net.OpError{Op: "dial", Net: "tcp", Err: &net.AddrError{Err: "dial timed out (blackhole)", Addr: addr}}
	}
}

// blackholeConn is a connection whose data can be dropped.
type blackholeConn struct {
	net.Conn
	blackhole *Blackhole
	addr      string
	dropped   chan struct{} // closed when data is dropped from then on
	closed    chan struct{} // closed by Close
	dropOnce  sync.Once
	closeOnce sync.Once
}

func (c *blackholeConn) startDropping() { c.dropOnce.Do(func() { close(c.dropped) }) }

func (c *blackholeConn) isDropping() bool {
	select {
	case <-c.dropped:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. While data is dropped, it blocks until Close.
func (c *blackholeConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isDropping() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. While data is dropped, it reports success and sends
// nothing.
func (c *blackholeConn) Write(b []byte) (int, error) {
	if c.isDropping() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *blackholeConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.blackhole.mu.Lock()
		delete(c.blackhole.conns, c)
		c.blackhole.mu.Unlock()
	})
	return c.Conn.Close()
}
