package back

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Times of an idle connection.
const (
	// idleLimit is how long a connection is kept whose server does not say how
	// long it keeps it.
	idleLimit = 4 * time.Second
	// idleMargin is the part of a server's limit that is left unused, so that a
	// request and the end of the connection don't cross.
	idleMargin = 0.25
)

// conn is a connection of a pool.
type conn struct {
	net.Conn
	br    *bufio.Reader
	addr  string
	since time.Time     // when it became idle
	keep  time.Duration // how long it may be idle
}

func newConn(c net.Conn, addr string) *conn {
	return &conn{Conn: c, br: bufio.NewReader(c), addr: addr, keep: idleLimit}
}

// limit takes the Keep-Alive header of an answer, which names the idle time
// that the server allows in whole seconds.
func (c *conn) limit(keepAlive string) {
	for _, f := range strings.Split(keepAlive, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			c.keep = time.Duration((1 - idleMargin) * float64(s) * float64(time.Second))
		}
	}
}

// rested returns how long the connection has been idle, 0 for a new one.
func (c *conn) rested(now time.Time) time.Duration {
	if c.since.IsZero() {
		return 0
	}
	return max(now.Sub(c.since), 1)
}

// usable reports whether the connection may carry another request: it has not
// been idle for too long, and the server has neither closed it nor sent
// anything on it.
func (c *conn) usable(now time.Time, idle time.Duration) bool {
	limit := c.keep
	if idle > 0 {
		limit = min(limit, idle)
	}
	if now.Sub(c.since) > limit {
		return false
	}
	return c.quiet()
}

// quiet reports whether nothing is to be read, the end of the connection
// included.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
