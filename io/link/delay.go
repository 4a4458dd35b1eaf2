package link

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Path describes the distance to an address.
type Path struct {
	OneWay time.Duration // delay in each direction
	// Stall, if set, returns an additional delay for the next segment, as
	// caused by a lost packet that has to be sent again.
	Stall func() time.Duration
}

// Delay returns a Dial whose connections take the time of path in each
// direction. A path with no delay and no stalls leaves a connection as it is.
func Delay(next Dial, path func(addr string) Path) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		p := path(addr)
		if p.OneWay == 0 && p.Stall == nil {
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
		return newDelayed(c, p), nil
	}
}

// segmentQueue bounds the segments under way in one direction.
const segmentQueue = 1024

// segmentBytes is the largest segment that is read at once.
const segmentBytes = 16 << 10

type segment struct {
	due  time.Time
	data []byte
	err  error
}

// delayed is a connection with a delay in both directions.
type delayed struct {
	net.Conn
	path   Path
	out    chan segment
	in     chan segment
	rest   []byte
	closed chan struct{}
	once   sync.Once
}

func newDelayed(c net.Conn, p Path) *delayed {
	d := &delayed{
		Conn:   c,
		path:   p,
		out:    make(chan segment, segmentQueue),
		in:     make(chan segment, segmentQueue),
		closed: make(chan struct{}),
	}
	go d.send()
	go d.receive()
	return d
}

func (d *delayed) due(last time.Time) time.Time {
	at := time.Now().Add(d.path.OneWay)
	if d.path.Stall != nil {
		at = at.Add(d.path.Stall())
	}
	if at.Before(last) {
		return last // a stream keeps its order
	}
	return at
}

func (d *delayed) send() {
	for {
		select {
		case s := <-d.out:
			time.Sleep(time.Until(s.due))
			if _, err := d.Conn.Write(s.data); err != nil {
				d.Close()
				return
			}
		case <-d.closed:
			return
		}
	}
}

func (d *delayed) receive() {
	var last time.Time
	for {
		buf := make([]byte, segmentBytes)
		n, err := d.Conn.Read(buf)
		last = d.due(last)
		select {
		case d.in <- segment{due: last, data: buf[:n], err: err}:
		case <-d.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// Write implements net.Conn. It does not wait for the delay.
func (d *delayed) Write(b []byte) (int, error) {
	s := segment{due: d.due(time.Time{}), data: append([]byte(nil), b...)}
	select {
	case d.out <- s:
		return len(b), nil
	case <-d.closed:
		return 0, net.ErrClosed
	}
}

// Read implements net.Conn.
func (d *delayed) Read(b []byte) (int, error) {
	for len(d.rest) == 0 {
		select {
		case s := <-d.in:
			time.Sleep(time.Until(s.due))
			d.rest = s.data
			if len(s.data) == 0 && s.err != nil {
				return 0, s.err
			}
		case <-d.closed:
			return 0, io.EOF
		}
	}
	n := copy(b, d.rest)
	d.rest = d.rest[n:]
	return n, nil
}

// Close implements net.Conn.
func (d *delayed) Close() error {
	d.once.Do(func() { close(d.closed) })
	return d.Conn.Close()
}
