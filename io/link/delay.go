package link

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Path describes the simulated network path to an address.
type Path struct {
	OneWay time.Duration // delay in each direction
	// RetransmitDelay, if not nil, returns an additional delay for the next segment,
	// as caused by the retransmission of a lost packet.
	RetransmitDelay func() time.Duration
	// Out and In, if not nil, return an additional delay of the next segment of n bytes
	// in one direction, as caused by a narrow link, see Bottleneck.
	Out, In func(n int) time.Duration
}

// Delay returns a Dial whose connections have the latency of path in each
// direction. Connections for which path returns a zero Path are not changed.
func Delay(next Dial, path func(addr string) Path) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		p := path(addr)
		if p.OneWay == 0 && p.RetransmitDelay == nil && p.Out == nil && p.In == nil {
			return next(ctx, network, addr)
		}
		c, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		// The handshake takes one round trip.
		select {
		case <-time.After(2 * p.OneWay):
		case <-ctx.Done():
			c.Close()
			return nil, ctx.Err()
		}
		return newDelayedConn(c, p), nil
	}
}

// maxQueuedSegments bounds the segments in flight in one direction of a connection.
const maxQueuedSegments = 1024

// maxSegmentBytes is the largest segment that is received.
const maxSegmentBytes = 16 << 10

// segment is a piece of a stream on its way, or the error that ends the stream.
type segment struct {
	deliverAt time.Time
	data      []byte
	err       error
}

// delayedConn is a connection with added latency in both directions.
type delayedConn struct {
	net.Conn
	path      Path
	outbound  chan segment
	inbound   chan segment
	unread    []byte // rest of the last segment that Read returned a part of
	closed    chan struct{}
	closeOnce sync.Once
}

func newDelayedConn(c net.Conn, p Path) *delayedConn {
	d := &delayedConn{
		Conn:     c,
		path:     p,
		outbound: make(chan segment, maxQueuedSegments),
		inbound:  make(chan segment, maxQueuedSegments),
		closed:   make(chan struct{}),
	}
	go d.writeLoop()
	go d.readLoop()
	return d
}

// deliveryTime returns when a segment of n bytes that is sent now arrives, with the delay of
// a narrow link. It is not before the delivery time of the previous segment.
func (d *delayedConn) deliveryTime(previous time.Time, n int, narrow func(int) time.Duration) time.Time {
	at := time.Now().Add(d.path.OneWay)
	if narrow != nil {
		at = at.Add(narrow(n))
	}
	if d.path.RetransmitDelay != nil {
		at = at.Add(d.path.RetransmitDelay())
	}
	if at.Before(previous) {
		return previous // segments are delivered in order
	}
	return at
}

// writeLoop sends outbound segments at their delivery times.
func (d *delayedConn) writeLoop() {
	for {
		select {
		case s := <-d.outbound:
			time.Sleep(time.Until(s.deliverAt))
			if _, err := d.Conn.Write(s.data); err != nil {
				d.Close()
				return
			}
		case <-d.closed:
			return
		}
	}
}

// readLoop reads segments and queues them in inbound with their delivery times.
func (d *delayedConn) readLoop() {
	var last time.Time
	for {
		buf := make([]byte, maxSegmentBytes)
		n, err := d.Conn.Read(buf)
		last = d.deliveryTime(last, n, d.path.In)
		select {
		case d.inbound <- segment{deliverAt: last, data: buf[:n], err: err}:
		case <-d.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// Write implements net.Conn. It queues the data and does not wait for the delay.
func (d *delayedConn) Write(b []byte) (int, error) {
	s := segment{deliverAt: d.deliveryTime(time.Time{}, len(b), d.path.Out), data: append([]byte(nil), b...)}
	select {
	case d.outbound <- s:
		return len(b), nil
	case <-d.closed:
		return 0, net.ErrClosed
	}
}

// Read implements net.Conn.
func (d *delayedConn) Read(b []byte) (int, error) {
	for len(d.unread) == 0 {
		select {
		case s := <-d.inbound:
			time.Sleep(time.Until(s.deliverAt))
			d.unread = s.data
			if len(s.data) == 0 && s.err != nil {
				return 0, s.err
			}
		case <-d.closed:
			return 0, io.EOF
		}
	}
	n := copy(b, d.unread)
	d.unread = d.unread[n:]
	return n, nil
}

// Close implements net.Conn.
func (d *delayedConn) Close() error {
	d.closeOnce.Do(func() { close(d.closed) })
	return d.Conn.Close()
}
