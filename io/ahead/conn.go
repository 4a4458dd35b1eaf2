package ahead

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	readSize = 4 << 10 // bytes that are read from the connection at once
	// maxBuffered bounds the bytes that are read ahead. A request whose head is larger
	// is not looked at, and neither is anything behind it.
	maxBuffered = 64 << 10
)

// Conn is a connection of a caller that looks ahead for pipelined requests. Its server
// calls SetActive and SetIdle like those of link.CallerConn. Read is called by one
// goroutine at a time, all other methods are safe for concurrent use.
//
// Invariants: Read returns the bytes of one request at a time, and none of the next
// one's before that is admitted, unless the connection is opaque; runs are the requests
// right behind the one in turn, in their order.
type Conn struct {
	net.Conn
	pipeline *Pipeline

	mu          sync.Mutex
	base        context.Context // of the requests, nil before the server has set it
	cancelBase  context.CancelFunc
	buf         []byte        // read from Conn and not returned by Read yet
	numReceived int64         // bytes that were read from Conn
	marks       []mark        // when the bytes of buf were read, oldest first
	err         error         // with which reading ended, nil if it has not
	reading     chan struct{} // closed when the read from Conn in progress has ended, nil if there is none
	opaque      bool          // the requests can't be told apart any more
	frames      *frames       // of HTTP/2, nil for another protocol
	headTimer   *time.Timer   // closes the connection unless the large head of HTTP/2 on its way ends

	delivering int           // bytes of buf of the request that was admitted last
	body       body          // the rest of its body, behind these bytes
	admitted   *http.Request // that request, nil if nothing may start early behind it
	admittedAt time.Time     // when the first byte of that request was read, zero if it is not known
	refusal    Refusal       // of that request; if it is set, nothing more is read
	room       int           // bytes of heads for which room is reserved
	// admittedRoom and turnRoom are the parts of room for that request and for the one in turn.
	admittedRoom, turnRoom int
	numAdmits              uint64 // number of requests that were admitted
	hadBody                bool   // one of them could have a body: nothing is started early any more
	scanned                int    // bytes of buf up to the end of the last run

	turn        uint64        // number of the request that the server works on
	active      bool          // the server works on it
	turnRequest *http.Request // that request, nil if it is not known
	// turnArrivedAt is when it arrived, zero if that is not known.
	turnArrivedAt time.Time
	runs          []*run

	ended       bool          // the caller has ended its side, and may still read
	interrupted bool          // the read deadline has passed
	wake        chan struct{} // closed when a Read that waits for the response has to return

	writeMu   sync.Mutex  // serializes writes, acquired with mu not held
	answering atomic.Bool // bytes of the response to the request in turn have been written
}

func newConn(c net.Conn, p *Pipeline) *Conn { return &Conn{Conn: c, pipeline: p} }

// withBase returns the context of all requests of the connection, which ends when the
// connection does. net/http doesn't notice that while the next request has arrived.
func (c *Conn) withBase(ctx context.Context) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.base, c.cancelBase = context.WithCancel(ctx)
	return c.base
}

// activity is implemented by a connection that is told when a request is in progress.
type activity interface {
	SetActive()
	SetIdle()
}

// SetActive records that the server works on the request that was admitted last.
func (c *Conn) SetActive() {
	if a, ok := c.Conn.(activity); ok {
		a.SetActive()
	}
	c.answering.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active {
		return
	}
	c.active = true
	c.turn++
	c.turnRequest, c.admitted = c.admitted, nil
	c.turnArrivedAt, c.admittedAt = c.admittedAt, time.Time{}
	c.turnRoom, c.admittedRoom = c.admittedRoom, 0
	c.lookAhead()
}

// SetIdle records that the server waits for the next request.
func (c *Conn) SetIdle() {
	if a, ok := c.Conn.(activity); ok {
		a.SetIdle()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = false
	c.turnRequest = nil
	c.turnRoom = 0
	c.setRoom(c.admittedRoom)
}

// Close implements net.Conn. It cancels the runs.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.cancelBase != nil {
		c.cancelBase()
	}
	c.wakeUp()
	c.abandonRuns()
	c.setRoom(0)
	if c.headTimer != nil {
		c.headTimer.Stop()
	}
	dropped := len(c.buf)
	c.buf = nil
	c.mu.Unlock()
	if dropped > 0 && c.pipeline.cfg.OnDrop != nil {
		c.pipeline.cfg.OnDrop(c.RemoteAddr(), dropped)
	}
	return c.Conn.Close()
}

// lookAhead starts the requests behind the one in turn that may start early, and reads
// on while there are any. The caller holds mu.
func (c *Conn) lookAhead() {
	for c.mayStartNext() {
		h := parseHead(c.buf[c.scanned:])
		if !h.noBody || headRoom(h.size) > 0 || !c.pipeline.mayStart(h.request) {
			return // a large head may have no room in its turn
		}
		h.request.RemoteAddr = c.RemoteAddr().String()
		e := c.pipeline.start(c.base, h.request)
		e.turn = c.nextTurn()
		c.runs = append(c.runs, e)
		c.scanned += h.size
	}
}

// nextTurn returns the number of the request behind the runs. The first run may be the
// request in turn, until take has returned it. The caller holds mu.
func (c *Conn) nextTurn() uint64 {
	if n := len(c.runs); n > 0 {
		return c.runs[n-1].turn + 1
	}
	return c.turn + 1
}

// mayStartNext reports whether the request behind the runs may start early. It reads on
// in the background if there are runs. The caller holds mu.
func (c *Conn) mayStartNext() bool {
	if !c.active || c.turnRequest == nil || c.opaque || c.hadBody || c.pipeline.cfg.Depth < minDepth || c.base == nil || c.base.Err() != nil {
		return false
	}
	if len(c.runs) == 0 {
		c.scanned = 0
		nextAdmitted := c.delivering > 0
		return !nextAdmitted && len(c.buf) > 0 && c.pipeline.mayStart(c.turnRequest)
	}
	c.readOn()
	return len(c.runs) < c.pipeline.cfg.Depth-1 && c.scanned < len(c.buf)
}

// readOn reads more in the background, for a caller that is known to pipeline. The
// caller holds mu.
func (c *Conn) readOn() {
	if c.reading != nil || c.err != nil || c.ended || c.refusal != NotRefused || !c.mayReadAhead() {
		return
	}
	c.reading = make(chan struct{})
	go func() {
		err := c.fill()
		if c.recordEnd(err) {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		var netErr net.Error
		switch {
		case err == nil:
			c.lookAhead()
		case errors.As(err, &netErr) && netErr.Timeout():
			// The server interrupts reads at the end of each request. The next Read
			// is subject to the deadline as well.
		default:
			c.err = err
			c.cancelBase()
		}
	}()
}

// take returns the run of the request in turn, nil if it was not started early. If it
// turns out to be another request, all runs are cancelled. c may be nil.
func (c *Conn) take(r *http.Request) *run {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.runs) == 0 || c.runs[0].turn > c.turn {
		return nil
	}
	e := c.runs[0]
	if e.turn < c.turn || !e.answers(r) {
		c.dropRuns()
		return nil
	}
	c.runs = c.runs[1:]
	c.lookAhead()
	return e
}

// hasInput reports whether bytes behind the request in turn have been read, or may have been.
// The requests that they belong to have to be answered. The caller holds mu.
func (c *Conn) hasInput() bool {
	if c.opaque || len(c.runs) > 0 || c.numAdmits > c.turn {
		return true
	}
	return c.body.ended() && len(c.buf) > c.delivering
}

// holder is a connection of which nothing more is read, see link.CallerConn.
type holder interface {
	Hold() (numRead int64, ok bool)
	Release()
}

// endAfterAnswer reports whether the connection can end with the answer to the request in turn,
// that is, nothing has arrived behind it. If so, nothing more is read from it but the rest of the
// body of that request, which the server may still want. c may be nil.
func (c *Conn) endAfterAnswer() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	hasInput, bodyEnded := c.hasInput(), c.body.ended()
	c.mu.Unlock()
	h, ok := c.Conn.(holder)
	if hasInput || !ok || !bodyEnded {
		return !hasInput
	}
	numRead, held := h.Hold()
	if !held {
		return false
	}
	c.mu.Lock()
	hasInput = c.hasInput() || c.numReceived < numRead // the rest is on its way to buf
	c.mu.Unlock()
	if hasInput {
		h.Release()
	}
	return !hasInput
}

// Retire ends the connection, as if the caller had closed it, unless bytes of a request have
// been read that is not answered yet. It may be called again. It returns false if the
// connection can't be ended so.
func (c *Conn) Retire() bool {
	r, ok := c.Conn.(interface{ Retire() bool })
	if !ok {
		return false
	}
	c.mu.Lock()
	inUse := c.active || len(c.runs) > 0 || len(c.buf) > 0 || !c.opaque && c.numAdmits > c.turn
	c.mu.Unlock()
	return inUse || r.Retire()
}

// dropRuns cancels all runs and stops looking ahead. The caller holds mu.
func (c *Conn) dropRuns() {
	c.abandonRuns()
	c.opaque = true
}

// abandonRuns cancels all runs. The caller holds mu.
func (c *Conn) abandonRuns() {
	for _, e := range c.runs {
		e.abandon()
	}
	c.runs = nil
}
