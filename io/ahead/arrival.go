package ahead

import (
	"context"
	"time"
)

// maxMarks bounds the marks of a connection. Beyond it the oldest one is dropped, so that its bytes
// count as read later.
const maxMarks = 32

// mark tells when bytes were read from a connection.
type mark struct {
	end int64 // number of bytes that had been read by then
	at  time.Time
}

// mark records that bytes were read now. The caller holds mu.
func (c *Conn) mark() {
	if len(c.marks) == maxMarks {
		c.marks = c.marks[1:]
	}
	c.marks = append(c.marks, mark{c.numReceived, time.Now()})
}

// arrivalOf returns when the first byte of buf was read, and forgets what was read before. The
// caller holds mu.
func (c *Conn) arrivalOf() time.Time {
	start := c.numReceived - int64(len(c.buf))
	for len(c.marks) > 0 && c.marks[0].end <= start {
		c.marks = c.marks[1:]
	}
	if len(c.marks) == 0 {
		return time.Time{}
	}
	return c.marks[0].at
}

// ArrivedAt returns when the request with the given context was read, as far as is known, and now
// otherwise. It may have waited for the answers to the requests in front of it since then.
func ArrivedAt(ctx context.Context) time.Time {
	now := time.Now()
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.turnArrivedAt.IsZero() {
		return now
	}
	return c.turnArrivedAt
}
