package link_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/io/link"
)

// answered is the end of a connection on which an answer was written, and the other end, whose
// receive buffer holds a small part of it.
type answered struct {
	closing net.Conn
	caller  net.Conn
	cuts    atomic.Int32
	closer  *link.Closer
}

// answerBytes is the size of the answers. The kernel takes them whole.
const answerBytes = 200_000

func newAnswered(t *testing.T, sent string) *answered {
	t.Helper()
	is := is.New(t)
	a := &answered{}
	a.closer = link.NewCloser(link.CloserConfig{Stopping: func() bool { return true }, OnCut: func(net.Addr, link.Outstanding) { a.cuts.Add(1) }})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	a.caller, err = net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = a.caller.Close() })
	is.NoErr(a.caller.(*net.TCPConn).SetReadBuffer(32 << 10))
	_, err = io.WriteString(a.caller, sent)
	is.NoErr(err)
	callers := link.Callers(ln, link.CallerConfig{Timeouts: func() link.ReadTimeouts { return link.ReadTimeouts{} }, Closer: a.closer})
	a.closing, err = callers.Accept()
	is.NoErr(err)
	_, err = a.closing.Write(make([]byte, answerBytes))
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond) // what was sent arrives
	return a
}

// TestCloseDeliversAnswer guards against an answer that is cut since its caller has sent more
// than was read, or does so after the connection was closed.
func TestCloseDeliversAnswer(t *testing.T) {
	for _, c := range []struct{ name, before, after string }{
		{"bytes unread", "further request", ""}, {"bytes that come later", "", "further request"}, {"both", "one", "two"}, {"none", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := newAnswered(t, c.before)
			is.NoErr(a.closing.Close())
			time.Sleep(50 * time.Millisecond)
			_, err := io.WriteString(a.caller, c.after)
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			n, err := io.Copy(io.Discard, a.caller)
			is.NoErr(err)
			is.Equal(n, int64(answerBytes))
			is.NoErr(a.caller.Close())
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			a.closer.End(ctx)
			is.NoErr(ctx.Err()) // the caller has closed its side, nothing is left to wait for
			is.Equal(a.cuts.Load(), int32(0))
		})
	}
}

// TestCloserEnds checks that a caller that does not read holds up nothing for longer than the
// given time, that it is counted, and that it still gets the rest if it has sent nothing since.
func TestCloserEnds(t *testing.T) {
	is := is.New(t)
	a := newAnswered(t, "further request")
	is.NoErr(a.closing.Close())
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	start := time.Now()
	a.closer.End(ctx)
	is.True(time.Since(start) < time.Second)
	is.Equal(a.cuts.Load(), int32(1))
	n, err := io.Copy(io.Discard, a.caller)
	is.NoErr(err)
	is.Equal(n, int64(answerBytes))
}

// TestRetireTakesNoRequest checks that a retired connection ends, unless a byte of a request has
// been read.
func TestRetireTakesNoRequest(t *testing.T) {
	for _, begun := range []bool{false, true} {
		is := is.New(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		caller, err := net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		conn, err := link.Callers(ln, link.CallerConfig{Timeouts: func() link.ReadTimeouts { return link.ReadTimeouts{} }}).Accept()
		is.NoErr(err)
		c := conn.(*link.CallerConn)
		read := make(chan error, 1)
		buf := make([]byte, 2)
		if begun {
			_, _ = io.WriteString(caller, "re")
			_, err := io.ReadFull(c, buf)
			is.NoErr(err)
		}
		go func() {
			_, err := c.Read(buf)
			read <- err
		}()
		time.Sleep(20 * time.Millisecond)
		is.True(c.Retire())
		if begun {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(caller, "st")
			is.NoErr(<-read)
			is.Equal(string(buf), "st")
		} else {
			is.Equal(<-read, io.EOF)
			_, _ = io.WriteString(caller, "request")
			time.Sleep(20 * time.Millisecond)
			_, err := c.Read(buf)
			is.Equal(err, io.EOF) // it is not read
		}
		_ = c.Close()
		_ = caller.Close()
		_ = ln.Close()
	}
}
