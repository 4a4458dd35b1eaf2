package ahead

import (
	"cmp"
	"context"
	"math"
)

// Refusal tells why the head of a request was not read whole.
type Refusal int

// Refusals of a head.
const (
	NotRefused   Refusal = iota
	HeadTooLarge         // larger than Config.MaxHead
	NoRoom               // large, and the heads of other requests take all of Config.RoomBytes
)

// smallHead is the size in bytes up to which a head needs no room.
const smallHead = 4 << 10

// refusedHead is what the server gets in place of a head that is not read whole, so that it answers
// in turn and closes the connection. Its handler has to ask RefusalOf.
const refusedHead = "GET / HTTP/1.1\r\nHost: refused\r\nConnection: close\r\n\r\n"

// RefusalOf returns why the head of the request with the given context was not read whole. Such a
// request has to be refused, and nothing of it can be relied on.
func RefusalOf(ctx context.Context) Refusal {
	if why, ok := ctx.Value(refusalKey{}).(Refusal); ok {
		return why
	}
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return NotRefused
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.turn != c.numAdmits {
		return NotRefused // a request in front of the refused one
	}
	return c.refusal
}

// maxHead returns the number of bytes beyond which a head is not read on.
func (p *Pipeline) maxHead() int {
	if p.cfg.MaxHead == nil {
		return math.MaxInt
	}
	return p.cfg.MaxHead()
}

// reserve reserves room for n more bytes of heads, and reports whether there is any. A negative n
// gives room back.
func (p *Pipeline) reserve(n int) bool {
	if p.cfg.RoomBytes == 0 {
		return true
	}
	if held := p.heads.Add(int64(n)); n > 0 && held > p.cfg.RoomBytes {
		p.heads.Add(int64(-n))
		return false
	}
	if p.cfg.OnRoom != nil {
		p.cfg.OnRoom(n)
	}
	return true
}

// setRoom makes c hold room for n bytes of heads, and reports whether there is any. The caller holds
// mu.
func (c *Conn) setRoom(n int) bool {
	if n != c.room && !c.pipeline.reserve(n-c.room) {
		return false
	}
	c.room = n
	return true
}

// headRoom returns the room that a head of n bytes needs.
func headRoom(n int) int {
	if n <= smallHead {
		return 0
	}
	return n
}

// checkHead returns why the request at the start of buf is not read on. The caller holds mu.
func (c *Conn) checkHead(h head) Refusal {
	if h.size == 0 && len(c.buf) >= c.pipeline.maxHead() {
		return HeadTooLarge
	}
	if !c.setRoom(c.turnRoom + headRoom(cmp.Or(h.size, len(c.buf)))) {
		return NoRoom
	}
	c.admittedRoom = headRoom(h.size)
	return NotRefused
}

// mayReadAhead reports whether more may be read behind the request in turn. The caller holds mu.
func (c *Conn) mayReadAhead() bool {
	n := len(c.buf) + readSize
	return len(c.buf) < min(maxBuffered, c.pipeline.maxHead()) && c.setRoom(c.turnRoom+c.admittedRoom+headRoom(n))
}

// refuse admits a request whose head is not read whole, and forgets what was read of it. It returns
// false if the handler could not be told. The caller holds mu.
func (c *Conn) refuse(why Refusal) bool {
	if c.base == nil {
		return false
	}
	c.buf = []byte(refusedHead)
	c.delivering, c.scanned = len(c.buf), 0
	c.admittedRoom = 0
	c.setRoom(c.turnRoom)
	c.numAdmits++
	c.refusal = why
	return true
}
