package link

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dial opens a connection to an address of the form host:port.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// dialTimeout bounds the wait for a new connection.
const dialTimeout = time.Second

// Times of the keep-alive probes on an idle connection.
const (
	keepAliveIdle     = time.Second // before the first probe
	keepAliveInterval = time.Second // between two probes
)

// directTimeout is the UnansweredTimeout of Direct.
const directTimeout = 2 * time.Second

// Direct opens a plain TCP connection for messages that are sent again if they are
// lost: it fails soon, with all that is under way on it. See Dialer.
func Direct(ctx context.Context, network, addr string) (net.Conn, error) {
	return Dialer{UnansweredTimeout: directTimeout}.Dial(ctx, network, addr)
}

// Dialer opens plain TCP connections. A connection fails if the peer does not
// acknowledge data or does not answer keep-alive probes, for example because a
// firewall in between has lost the state of the connection.
//
// It also fails if the peer acknowledges but has no room for more data, since its
// process is busy and does not read (TCP_USER_TIMEOUT does not tell the two apart).
// So UnansweredTimeout is long where work is under way that can't be sent again.
type Dialer struct {
	UnansweredTimeout time.Duration // after which a connection fails
}

// Dial opens a connection. It is a Dial.
func (d Dialer) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	nd := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: int(d.UnansweredTimeout / keepAliveInterval),
		},
		Control: d.setUserTimeout,
	}
	return nd.DialContext(ctx, network, addr)
}

// setUserTimeout sets the TCP_USER_TIMEOUT option of a socket.
func (d Dialer) setUserTimeout(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.UnansweredTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// Meter counts the bytes of connections inside the data centre and to other data
// centres. It is safe for concurrent use.
type Meter struct {
	inside atomic.Int64
	across atomic.Int64
}

// Inside returns the bytes sent and received inside the data centre.
func (m *Meter) Inside() int64 { return m.inside.Load() }

// Across returns the bytes sent to and received from other data centres.
func (m *Meter) Across() int64 { return m.across.Load() }

// Dial returns a Dial whose connections are counted. isAcross reports whether an
// address is in another data centre.
func (m *Meter) Dial(next Dial, isAcross func(addr string) bool) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		counter := &m.inside
		if isAcross(addr) {
			counter = &m.across
		}
		return &countedConn{Conn: c, counter: counter}, nil
	}
}

// countedConn is a connection that adds its bytes to a counter.
type countedConn struct {
	net.Conn
	counter *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Add(int64(n))
	return n, err
}
