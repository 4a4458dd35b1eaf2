package ahead

import (
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, err, ok := c.deliver(b)
		if ok {
			return n, err
		}
		if c.readsNoMore() {
			return 0, c.awaitResponse()
		}
		inProgress, direct := c.beginRead(len(b))
		switch {
		case inProgress != nil:
			<-inProgress
		case direct > 0:
			n, err := c.Conn.Read(b[:direct])
			c.countDirect(n)
			if noRoom := c.followFrames(b[:n]); noRoom != nil {
				return 0, noRoom
			}
			return n, err
		default:
			if err := c.fill(); err != nil && !c.recordEnd(err) {
				return 0, err
			}
		}
	}
}

// deliver copies bytes to b that Read may return. ok is false if there are none yet.
func (c *Conn) deliver(b []byte) (n int, err error, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.delivering == 0 && !c.body.ended() {
		c.deliverBody()
	}
	if c.delivering == 0 && c.body.ended() {
		c.admit()
	}
	if c.delivering == 0 {
		return 0, c.err, c.err != nil
	}
	n = copy(b, c.buf[:c.delivering])
	c.buf = c.buf[n:]
	c.delivering -= n
	c.scanned = max(c.scanned-n, 0)
	return n, nil, true
}

// admit lets Read return the next request of buf, if its head is complete. If the server
// still works on the one before, the request may start early, and has to be looked at
// before a part of it is delivered. The caller holds mu.
func (c *Conn) admit() {
	if !c.opaque {
		c.lookAhead()
		h := parseHead(c.buf)
		if why := c.checkHead(h); why != NotRefused && c.refuse(why) {
			return
		}
		if h.size == 0 && len(c.buf) < maxBuffered {
			return
		}
		if c.admitHead(h) {
			return
		}
		c.opaque = true
		if h.request != nil && h.request.ProtoMajor > 1 {
			c.frames = newFrames()
			c.frames.take(c.buf)
		}
	}
	c.delivering = len(c.buf)
}

// admitHead admits the request with the given head and what is in buf of its body. It
// returns false if the end of the request can't be told. The caller holds mu.
func (c *Conn) admitHead(h head) bool {
	c.admittedAt = c.arrivalOf()
	if h.noBody {
		c.delivering, c.admitted = h.size, h.request
		c.numAdmits++
		return true
	}
	if !h.mayHaveBody {
		return false
	}
	b, ok := newBody(h.request)
	if !ok {
		return false
	}
	c.hadBody = true
	c.body = b
	c.delivering = h.size
	c.numAdmits++
	c.deliverBody()
	return true
}

// deliverBody lets Read return what is in buf of the body of the request that was admitted
// last. The caller holds mu.
func (c *Conn) deliverBody() {
	c.delivering += c.body.take(c.buf[c.delivering:])
	if c.body.broken {
		c.body = body{}
		c.opaque = true
		c.delivering = len(c.buf)
	}
}

// beginRead reserves the next read from Conn for the caller, which has to call fill. If
// another one is in progress, it returns the channel that is closed at its end. If the caller
// can do without buf, it reserves nothing, and returns how many of n bytes may be read.
func (c *Conn) beginRead(n int) (inProgress chan struct{}, direct int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.reading != nil:
		return c.reading, 0
	case c.opaque && len(c.buf) == 0:
		return nil, n
	case c.body.left > 0 && len(c.buf) == 0:
		return nil, int(min(c.body.left, int64(n)))
	}
	c.reading = make(chan struct{})
	return nil, 0
}

// countDirect records that n bytes were read without buf.
func (c *Conn) countDirect(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.numReceived += int64(n)
	if c.body.left > 0 {
		c.body.left -= int64(n)
	}
}

// scratch holds buffers of readSize bytes.
var scratch = sync.Pool{New: func() any { return new([readSize]byte) }}

// fill reads from Conn into buf, and ends the read that beginRead or readOn has
// reserved.
func (c *Conn) fill() error {
	b := scratch.Get().(*[readSize]byte)
	defer scratch.Put(b)
	n, err := c.Conn.Read(b[:])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buf = append(c.buf, b[:n]...)
	c.numReceived += int64(n)
	if n > 0 {
		c.mark()
	}
	close(c.reading)
	c.reading = nil
	if n > 0 {
		return nil // the next read returns the error again
	}
	if c.active && errors.Is(err, io.EOF) && c.pipeline.cfg.OnEnd != nil {
		c.pipeline.cfg.OnEnd(c.RemoteAddr())
	}
	return err
}
