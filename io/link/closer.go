package link

import (
	"context"
	"net"
	"sync"
	"time"

	"tanagerchute/io/timer"
)

const (
	// maxLinger bounds the time in which an answer may arrive after its connection was closed.
	maxLinger = 5 * time.Second
	// readTime is how long the other end may take to read an answer that has arrived, before
	// its connection is reset since it has sent more than was read. Some kernels drop what has
	// arrived then.
	readTime = time.Second
	// minLingerPoll and maxLingerPoll bound the interval of checks whether an answer has arrived.
	minLingerPoll, maxLingerPoll = 2 * time.Millisecond, 50 * time.Millisecond
)

// CloserConfig configures a Closer.
type CloserConfig struct {
	// Stopping, if not nil, reports whether connections are closed without regard to what
	// the other ends may still send.
	Stopping func() bool
	// NoReadTime is set if the other ends read at once, so that an answer that has arrived needs
	// no more time.
	NoReadTime bool
	// OnCut, if not nil, is called when a connection is closed before its answer has arrived.
	OnCut func(other net.Addr, o Outstanding)
}

// Closer closes connections of callers, or of other nodes, and lets the answers on their way arrive. The kernel
// resets a connection that is closed while bytes of the other end are unread, or arrive later,
// and drops what it has not sent yet. So a Closer closes the writing side first, and the rest
// when the other end has all bytes. What it sends meanwhile is not read. It is safe for
// concurrent use.
type Closer struct {
	cfg CloserConfig

	mu    sync.Mutex
	open  map[net.Conn]bool // connections of Listener that are not closed
	left  map[net.Conn]bool // connections whose answers are on their way
	ended bool              // End closes them
}

// NewCloser returns a Closer.
func NewCloser(cfg CloserConfig) *Closer {
	return &Closer{cfg: cfg, open: map[net.Conn]bool{}, left: map[net.Conn]bool{}}
}

// End waits until all answers have arrived, or ctx ends. From then on connections are closed at
// once, those that are left among them.
func (l *Closer) End(ctx context.Context) {
	for l.numLeft() > 0 && timer.Sleep(ctx, maxLingerPoll) {
	}
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	for l.numLeft() > 0 {
		time.Sleep(minLingerPoll) // they are closed at their next check
	}
}

// numLeft returns the number of connections whose answers are on their way.
func (l *Closer) numLeft() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.left)
}

// hasEnded reports whether End closes what is left.
func (l *Closer) hasEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// begin adds c to the connections that are left. It returns false after End.
func (l *Closer) begin(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		l.left[c] = true
	}
	return !l.ended
}

// finish closes c and removes it.
func (l *Closer) finish(c net.Conn) {
	_ = c.Close() // its other end has all it gets
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.left, c)
}

// Listener returns a listener whose connections are closed by l.
func (l *Closer) Listener(ln net.Listener) net.Listener { return closerListener{ln, l} }

type closerListener struct {
	net.Listener
	closer *Closer
}

// Accept implements net.Listener.
func (l closerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.closer.setOpen(c, true)
	return &closerConn{Conn: c, closer: l.closer}, nil
}

// setOpen records whether a connection of Listener is open.
func (l *Closer) setOpen(c net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.open[c] = true
	} else {
		delete(l.open, c)
	}
}

// Sending reports whether bytes of an open connection of Listener are on their way.
func (l *Closer) Sending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if o, err := outstanding(c); err == nil && o.Unsent > 0 {
			return true
		}
	}
	return false
}

// closerConn is a connection that is closed by a Closer.
type closerConn struct {
	net.Conn
	closer *Closer
	once   sync.Once
	err    error
}

// Close implements net.Conn.
func (c *closerConn) Close() error {
	c.once.Do(func() {
		c.closer.setOpen(c.Conn, false)
		c.err = c.closer.close(c.Conn)
	})
	return c.err
}

// close closes c, at once if there is nothing that can get lost.
func (l *Closer) close(c net.Conn) error {
	o, err := outstanding(c)
	lossless := o.Unread == 0 && (o.Unsent == 0 || l.cfg.Stopping == nil || !l.cfg.Stopping())
	w, ok := c.(interface{ CloseWrite() error })
	if err != nil || lossless || !ok {
		return c.Close()
	}
	if w.CloseWrite() != nil { // the other end has reset it
		return c.Close()
	}
	_ = c.SetDeadline(time.Unix(1, 0)) // ends reads and writes that are in progress
	if !l.begin(c) {
		l.cut(c)
		return c.Close()
	}
	go l.linger(c)
	return nil
}

// linger closes c when the other end has its answer and has had time to read it.
func (l *Closer) linger(c net.Conn) {
	defer l.finish(c)
	end := time.Now().Add(maxLinger)
	var arrivedAt time.Time
	for poll := minLingerPoll; time.Now().Before(end) && !l.hasEnded(); poll = min(2*poll, maxLingerPoll) {
		state, err := deliveryOf(c)
		if err != nil || state == endsAgree {
			return
		}
		if state == arrived && arrivedAt.IsZero() {
			arrivedAt = time.Now()
		}
		if !arrivedAt.IsZero() && (l.cfg.NoReadTime || time.Since(arrivedAt) >= readTime) {
			return
		}
		time.Sleep(poll)
	}
	if arrivedAt.IsZero() {
		l.cut(c)
	}
}

// cut prepares c for being closed before its answer has arrived. Without unread bytes the
// kernel goes on sending it.
func (l *Closer) cut(c net.Conn) {
	if o, err := outstanding(c); err == nil && l.cfg.OnCut != nil {
		l.cfg.OnCut(c.RemoteAddr(), o)
	}
	_ = discardInput(c) // the connection is reset if this fails
}
