package ahead

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Of HTTP/2 (RFC 9113), as far as the size of a head needs it.
const (
	prefaceBytes     = 24 // of the text with which a caller begins a connection
	frameHeaderBytes = 9  // 3 of length, type, flags, 4 of stream
	frameHeaders     = 0x1
	frameContinues   = 0x9
	flagEndHeaders   = 0x4
)

const (
	// headTime bounds the time in which a large head of HTTP/2 arrives, from its first frame that
	// needed room, and the time for which it waits, unread, until there is room.
	headTime = 5 * time.Second
	// roomPoll is the interval of checks for room.
	roomPoll = 10 * time.Millisecond
)

// errNoRoom ends a connection in the middle of a head.
var errNoRoom = errors.New("no memory for the head of a request in time")

// frames follows the frames that a caller sends on an HTTP/2 connection. The requests of such a
// connection are not told apart, but the head that is on its way is known by its size.
type frames struct {
	skip     int // bytes of the preface that are still to come
	header   [frameHeaderBytes]byte
	filled   int  // bytes of header that have come
	left     int  // bytes of the payload that are still to come
	endsHead bool // the head is complete with this frame
	inHead   bool // this frame is a part of a head
	head     int  // bytes that have come of the head that is on its way
}

// newFrames returns the frames of a connection whose first bytes are those of the preface.
func newFrames() *frames { return &frames{skip: prefaceBytes} }

// take takes in bytes that the caller has sent.
func (f *frames) take(b []byte) {
	for len(b) > 0 {
		switch {
		case f.skip > 0:
			n := min(f.skip, len(b))
			f.skip -= n
			b = b[n:]
		case f.left > 0:
			n := min(f.left, len(b))
			f.left -= n
			b = b[n:]
			if f.inHead {
				f.head += n
			}
		default:
			n := copy(f.header[f.filled:], b)
			f.filled += n
			b = b[n:]
			f.beginFrame()
		}
		if f.left == 0 && f.filled == 0 && f.endsHead {
			f.head, f.inHead, f.endsHead = 0, false, false
		}
	}
}

// beginFrame begins a frame if its header is complete.
func (f *frames) beginFrame() {
	if f.filled < frameHeaderBytes {
		return
	}
	h := f.header
	f.filled = 0
	f.left = int(h[0])<<16 | int(h[1])<<8 | int(h[2])
	f.inHead = h[3] == frameHeaders || h[3] == frameContinues
	f.endsHead = f.inHead && h[4]&flagEndHeaders != 0
}

// followFrames follows the bytes of an HTTP/2 connection, and waits until there is room for the head
// that is on its way. The error ends the connection.
func (c *Conn) followFrames(b []byte) error {
	c.mu.Lock()
	f := c.frames
	c.mu.Unlock()
	if f == nil {
		return nil
	}
	f.take(b) // Read is called by one goroutine at a time
	if c.takeHeadRoom(headRoom(f.head)) {
		return nil
	}
	for end := time.Now().Add(headTime); time.Now().Before(end); {
		time.Sleep(roomPoll)
		if c.takeHeadRoom(headRoom(f.head)) {
			return nil
		}
	}
	c.reportHeadCut()
	return errNoRoom
}

// reportHeadCut reports that the connection is closed in the middle of a head.
func (c *Conn) reportHeadCut() {
	if c.pipeline.cfg.OnHeadCut != nil {
		c.pipeline.cfg.OnHeadCut(c.RemoteAddr())
	}
}

// takeHeadRoom makes c hold room for n bytes of a head of HTTP/2, and reports whether there is any. A
// connection whose head does not end in time is closed.
func (c *Conn) takeHeadRoom(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.setRoom(n) {
		return false
	}
	switch {
	case n == 0 && c.headTimer != nil:
		c.headTimer.Stop()
		c.headTimer = nil
	case n > 0 && c.headTimer == nil:
		c.headTimer = time.AfterFunc(headTime, func() {
			c.reportHeadCut()
			_ = c.Conn.Close() // the server sees the end of the connection
		})
	}
	return true
}

// refusalKey is the context key of the Refusal of a request of HTTP/2.
type refusalKey struct{}

// withHeadRoom returns r, which is of HTTP/2, with room for its head until release is called. If there
// is none, RefusalOf tells the handler.
func (p *Pipeline) withHeadRoom(r *http.Request) (with *http.Request, release func()) {
	size := 0
	for k, vs := range r.Header {
		for _, v := range vs {
			size += len(k) + len(v)
		}
	}
	n := headRoom(size)
	if n == 0 {
		return r, func() {}
	}
	if !p.reserve(n) {
		return r.WithContext(context.WithValue(r.Context(), refusalKey{}, NoRoom)), func() {}
	}
	return r, func() { p.reserve(-n) }
}
