package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines = 1024                   // that have not been written yet
	closeTimeout   = 500 * time.Millisecond // for writing them in Close
)

// AsyncWriter queues lines for a writer that may be slow, so that logging never
// blocks. It drops and counts the lines that are written while the queue is
// full. It is safe for concurrent use.
type AsyncWriter struct {
	queue   chan []byte
	dropped atomic.Uint64
	once    sync.Once
	closing chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns an AsyncWriter and starts a goroutine that writes its
// lines to out.
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
		w.dropped.Add(1) // a broken output, such as a closed pipe, must not stop the process
	}
}

// Write implements io.Writer. It queues a copy of line and never returns an error.
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

// Congested reports whether the queue is more than half full, so that less
// important lines should not be written.
func (w *AsyncWriter) Congested() bool { return len(w.queue) > maxQueuedLines/2 }

// Close waits until the queued lines are written, but only for a short time. Lines
// that are written after Close are lost.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
