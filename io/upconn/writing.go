package upconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/io/link"
)

// writing is the writing of a request, which may go on while its answer is read.
type writing struct {
	conn net.Conn
	done chan struct{} // closed at the end
	err  error         // set before done is closed
}

func newWriting(c net.Conn) *writing { return &writing{conn: c, done: make(chan struct{})} }

// finish ends the writing.
func (w *writing) finish(err error) {
	w.err = err
	close(w.done)
}

// succeedsSoon reports whether the whole request is written within writeGrace.
// A server may answer before it has read the body. The connection can't be reused
// then, since the server would take the rest of the body for the next request.
func (w *writing) succeedsSoon() bool {
	t := time.NewTimer(writeGrace)
	defer t.Stop()
	select {
	case <-w.done:
		return w.err == nil
	case <-t.C:
		return false
	}
}

// checkEnd is called when a read has returned the end of the connection. It returns an error
// if the connection has failed instead.
//
// The kernel reports the failure of a connection once, to the next read or write. If that is
// the write of the request, reads return the end as if the server had sent it. So the end
// counts only if the state of the connection shows that the server has sent it, or if the
// write has not taken another error. EPIPE is what the write gets if the connection is reset
// after its end, and no failure of the answer.
func (w *writing) checkEnd(ctx context.Context) error {
	select {
	case <-w.done:
	default:
		if link.PeerEnded(w.conn) {
			return nil // and may still be reading
		}
		select {
		case <-w.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if w.err == nil || errors.Is(w.err, syscall.EPIPE) {
		return nil
	}
	return errors.Wrap(w.err, "connection failed while the request was written")
}
