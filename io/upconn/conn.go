package upconn

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"tanagerchute/io/memory"
)

// Limits on idle connections.
const (
	// defaultMaxIdle is the longest idle time of a connection if the server sends
	// no Keep-Alive timeout.
	defaultMaxIdle = 4 * time.Second
	// keepAliveMargin is the last share of the server's Keep-Alive timeout, in
	// which a connection is not reused, so that no request is sent while the server
	// closes the connection.
	keepAliveMargin = 0.25
)

// conn is a pooled connection.
type conn struct {
	net.Conn
	br        *bufio.Reader
	heads     headReader
	addr      string
	idleSince time.Time     // start of the idle time, zero for a new connection
	maxIdle   time.Duration // longest idle time after which the connection is reused
}

func newConn(nc net.Conn, addr string, room *memory.Room) *conn {
	c := &conn{Conn: nc, br: bufio.NewReader(nc), addr: addr, maxIdle: defaultMaxIdle}
	c.heads = headReader{br: c.br, room: room}
	return c
}

// applyKeepAlive sets maxIdle from the Keep-Alive header of an answer, whose
// timeout parameter is the server's idle timeout in whole seconds.
func (c *conn) applyKeepAlive(header string) {
	for _, param := range strings.Split(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(param), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			c.maxIdle = time.Duration((1 - keepAliveMargin) * float64(seconds) * float64(time.Second))
		}
	}
}

// idleTime returns how long the connection has been idle, 0 for a new one.
func (c *conn) idleTime(now time.Time) time.Duration {
	if c.idleSince.IsZero() {
		return 0
	}
	return max(now.Sub(c.idleSince), 1)
}

// canReuse reports whether the connection can carry another request. It must not
// have been idle for longer than its own limit or maxIdle, which is 0 for no limit,
// and the server must have neither closed it nor sent any data.
func (c *conn) canReuse(now time.Time, maxIdle time.Duration) bool {
	limit := c.maxIdle
	if maxIdle > 0 {
		limit = min(limit, maxIdle)
	}
	if now.Sub(c.idleSince) > limit {
		return false
	}
	return c.readWouldBlock()
}

// readWouldBlock reports whether the connection has no unread data and has not
// been closed by the server.
func (c *conn) readWouldBlock() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && wouldBlock
}
