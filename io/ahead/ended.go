package ahead

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/io/timer"
)

// The probes that tell whether a caller that has ended its side still reads. The first one is
// sent at once, each further one after probeGrowth times the pause before.
const (
	firstProbePause = 2 * time.Millisecond
	probeGrowth     = 5
	maxProbes       = 5 // within 0.3 s; some clients accept no more informational responses
)

// probeMessage is the informational response that is a probe. A client has to pass over it, also
// if it does not expect it. If the caller has closed its connection, its kernel answers with a
// reset, so that the next probe can't be written.
var probeMessage = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// informational is how informational responses of the server begin.
const informational = "HTTP/1.1 1"

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if len(b) < len(informational) || string(b[:len(informational)]) != informational {
		c.answering.Store(true)
	}
	return c.Conn.Write(b)
}

// recordEnd records that the caller has ended its side of the connection, if err says so. It
// returns false if that ends the connection, since no request is in turn or a body is not complete.
// Otherwise the requests go on as long as the caller may still read.
func (c *Conn) recordEnd(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	bodyEnds := !c.opaque && c.body.ended()
	if !errors.Is(err, io.EOF) || !c.active || !bodyEnds || c.base == nil {
		return false
	}
	if !c.ended {
		c.ended = true
		go c.watchEnded(c.base)
	}
	return true
}

// watchEnded cancels all requests, the context of which is base, if the caller turns out to have
// left.
func (c *Conn) watchEnded(base context.Context) {
	pause := firstProbePause
	for range maxProbes {
		if !c.probe() {
			c.leave()
			return
		}
		if !timer.Sleep(base, pause) {
			return
		}
		pause *= probeGrowth
	}
}

// probe reports whether the caller still reads, as far as is known. It sends nothing unless a
// request is in turn to which the response has not begun: writing that tells it as well.
func (c *Conn) probe() bool {
	if !c.writeMu.TryLock() {
		return true
	}
	defer c.writeMu.Unlock()
	if c.answering.Load() || !c.isActive() {
		return true
	}
	_, err := c.Conn.Write(probeMessage)
	return err == nil
}

// isActive reports whether a request is in turn.
func (c *Conn) isActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

// leave cancels all requests, since the caller has left.
func (c *Conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelBase()
	c.wakeUp()
}

// readsNoMore reports whether the caller has ended its side and still reads, or its request is
// refused.
func (c *Conn) readsNoMore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended || c.refusal != NotRefused
}

// awaitResponse waits until the server has answered the request in turn, for a Read that can get
// nothing more, or until the caller has left. It returns the error of the Read.
func (c *Conn) awaitResponse() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.interrupted:
			return os.ErrDeadlineExceeded
		case !c.active || c.base.Err() != nil:
			return io.EOF
		}
		if c.wake == nil {
			c.wake = make(chan struct{})
		}
		wake := c.wake
		c.mu.Unlock()
		<-wake
		c.mu.Lock()
	}
}

// wakeUp lets Read return. The caller holds mu.
func (c *Conn) wakeUp() {
	if c.wake != nil {
		close(c.wake)
		c.wake = nil
	}
}

// SetReadDeadline implements net.Conn. The server interrupts Read with a deadline in the past.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.interrupted = !t.IsZero() && !t.After(time.Now())
	if c.interrupted {
		c.wakeUp()
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}
