package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines = 1024 // that wait to be written
	closeTimeout   = 500 * time.Millisecond
)

// Ring hands lines to a slow writer without ever blocking whoever logs. Lines
// that find it full are dropped and counted. It is safe for concurrent use.
type AsyncWriter struct {
	queue   chan []byte
	dropped atomic.Uint64
	once    sync.Once
	closing chan struct{}
	done    chan struct{}
}

// NewRing starts writing to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{queue: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.writeLine(out, line)
			continue
		case <-w.closing:
		}
		select {
		case line := <-w.queue:
			w.writeLine(out, line)
		default:
			return
		}
	}
}

func (w *AsyncWriter) writeLine(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1) // nobody reads, which must not stop the process
	}
}

// Write implements io.Writer. It keeps a copy of line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Congested reports whether the ring is more than half full, so that lines which
// can be spared should not be written.
func (w *AsyncWriter) Congested() bool { return len(w.queue) > maxQueuedLines/2 }

// Close writes what waits, for no longer than closeTimeout if nobody reads. What
// is logged afterwards is lost.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
