package link

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ReadTimeouts bounds the time that a caller may take to send a request. A zero
// value means no timeout.
type ReadTimeouts struct {
	Idle   time.Duration // before the first byte of a request
	Header time.Duration // from that byte to the end of the request's headers
}

// CallerConfig configures the connections of callers.
type CallerConfig struct {
	// Timeouts is called whenever a timeout starts, so that changed settings apply to open
	// connections as well.
	Timeouts func() ReadTimeouts
	// Closer closes the connections. If it is nil, they are closed at once.
	Closer *Closer
}

// Callers returns a listener whose connections are CallerConns.
func Callers(ln net.Listener, cfg CallerConfig) net.Listener { return callerListener{ln, cfg} }

type callerListener struct {
	net.Listener
	cfg CallerConfig
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cc := &CallerConn{Conn: c, cfg: l.cfg}
	cc.SetIdle()
	return cc, nil
}

// CallerConn is a connection of a caller with read timeouts. Its server calls SetActive
// when it starts to handle a request, and SetIdle when it waits for the next one. Close lets
// answers arrive that are on their way, see Closer. Its methods are safe for concurrent use.
type CallerConn struct {
	net.Conn
	cfg       CallerConfig
	closeOnce sync.Once
	closeErr  error

	mu              sync.Mutex
	awaitingRequest bool          // no byte of the next request has been read yet
	retired         bool          // Read returns io.EOF while awaitingRequest is set
	hold            *hold         // if not nil, Read reads nothing more
	reading         chan struct{} // closed when the read of Conn in progress has ended, nil if there is none
	numRead         int64         // bytes that Read has returned
	http2           bool          // HTTP/2 connection, for which the HTTP/2 server has its own timeouts
	serverDeadline  time.Time     // set by the server with SetReadDeadline
	timeoutDeadline time.Time     // from the timeout that is running
}

// Close implements net.Conn.
func (c *CallerConn) Close() error {
	c.closeOnce.Do(func() {
		c.mu.Lock()
		c.endHold(false)
		c.mu.Unlock()
		if c.cfg.Closer == nil {
			c.closeErr = c.Conn.Close()
			return
		}
		c.closeErr = c.cfg.Closer.close(c.Conn)
	})
	return c.closeErr
}

// http2Preface is the start of the connection preface that HTTP/2 clients send.
var http2Preface = []byte("PRI * HTTP/2")

// SetIdle starts the idle timeout for the next request.
func (c *CallerConn) SetIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http2 {
		return
	}
	c.awaitingRequest = true
	c.setTimeout(c.cfg.Timeouts().Idle)
}

// SetActive stops the timeouts until SetIdle is called.
func (c *CallerConn) SetActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest, c.retired = false, false
	c.setTimeout(0)
}

// Retire makes Read return io.EOF, as if the caller had closed the connection, unless a byte of
// the next request has arrived. It returns false for an HTTP/2 connection, to which it does
// nothing.
func (c *CallerConn) Retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http2 {
		return false
	}
	if o, err := outstanding(c.Conn); err == nil && o.Unread > 0 {
		return true // Read gets it
	}
	if c.awaitingRequest && !c.retired {
		c.retired = true
		_ = c.applyDeadline() // interrupts Read; fails only if the connection is closed
	}
	return true
}

// isRetired reports whether Read returns io.EOF.
func (c *CallerConn) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired
}

// Read implements net.Conn. The first byte of a request starts the header timeout.
func (c *CallerConn) Read(b []byte) (int, error) {
	for {
		if !c.beginRead() {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := c.Conn.Read(b)
		switch again := c.endRead(n); {
		case again:
			continue
		case n > 0:
			c.observeInput(b[:n])
		case errors.Is(err, os.ErrDeadlineExceeded) && c.isRetired():
			err = io.EOF
		}
		return n, err
	}
}

// observeInput records what Read returns.
func (c *CallerConn) observeInput(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingRequest {
		c.awaitingRequest, c.retired = false, false
		c.http2 = bytes.HasPrefix(b, http2Preface)
		if c.http2 {
			c.setTimeout(0)
		} else {
			c.setTimeout(c.cfg.Timeouts().Header)
		}
	}
}

// SetReadDeadline implements net.Conn.
func (c *CallerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = t
	if !t.IsZero() && !t.After(time.Now()) {
		c.endHold(false)
	}
	return c.applyDeadline()
}

// SetDeadline implements net.Conn.
func (c *CallerConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// setTimeout starts a timeout of d, or stops the running one if d is 0. The caller
// holds mu.
func (c *CallerConn) setTimeout(d time.Duration) {
	c.timeoutDeadline = time.Time{}
	if d > 0 {
		c.timeoutDeadline = time.Now().Add(d)
	}
	_ = c.applyDeadline() // fails only if the connection is closed
}

// applyDeadline sets the earlier of serverDeadline and timeoutDeadline. The caller
// holds mu.
func (c *CallerConn) applyDeadline() error {
	if c.retired || c.hold != nil {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	t := c.serverDeadline
	if t.IsZero() || !c.timeoutDeadline.IsZero() && c.timeoutDeadline.Before(t) {
		t = c.timeoutDeadline
	}
	return c.Conn.SetReadDeadline(t)
}
