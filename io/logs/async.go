package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	ringLines    = 1024 // that wait to be written
	closeTimeout = 500 * time.Millisecond
)

// Ring hands lines to a slow writer without ever blocking whoever logs. Lines
// that find it full are dropped and counted. It is safe for concurrent use.
type Ring struct {
	lines   chan []byte
	dropped atomic.Uint64
	once    sync.Once
	closing chan struct{}
	done    chan struct{}
}

// NewRing starts writing to out.
func NewRing(out io.Writer) *Ring {
	r := &Ring{lines: make(chan []byte, ringLines), closing: make(chan struct{}), done: make(chan struct{})}
	go r.run(out)
	return r
}

func (r *Ring) run(out io.Writer) {
	defer close(r.done)
	for {
		select {
		case line := <-r.lines:
			r.put(out, line)
			continue
		case <-r.closing:
		}
		select {
		case line := <-r.lines:
			r.put(out, line)
		default:
			return
		}
	}
}

func (r *Ring) put(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		r.dropped.Add(1) // nobody reads, which must not stop the process
	}
}

// Write implements io.Writer. It keeps a copy of line.
func (r *Ring) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }

// Congested reports whether the ring is more than half full, so that lines which
// can be spared should not be written.
func (r *Ring) Congested() bool { return len(r.lines) > ringLines/2 }

// Close writes what waits, for no longer than closeTimeout if nobody reads. What
// is logged afterwards is lost.
func (r *Ring) Close() {
	r.once.Do(func() { close(r.closing) })
	select {
	case <-r.done:
	case <-time.After(closeTimeout):
	}
}
