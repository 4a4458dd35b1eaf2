package link_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/io/link"
)

// TestListenerServesPendingAfterClose guards against the loss of connections that
// are pending when a listener is closed. Each of them must be accepted and
// answered, and no further connection may be accepted after that.
func TestListenerServesPendingAfterClose(t *testing.T) {
	is := is.New(t)
	l, err := link.Listen("127.0.0.1:0")
	is.NoErr(err)
	const waiting = 20
	var callers []net.Conn
	for range waiting {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer c.Close()
		_, err = c.Write([]byte("x"))
		is.NoErr(err)
		callers = append(callers, c)
	}
	is.NoErr(l.Close())
	served := 0
	for {
		c, err := l.Accept()
		if err != nil {
			break
		}
		_, err = c.Write([]byte("answer"))
		is.NoErr(err)
		is.NoErr(c.Close())
		served++
	}
	is.Equal(served, waiting)
	for _, c := range callers {
		is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
		got := make([]byte, len("answer"))
		_, err := io.ReadFull(c, got)
		is.NoErr(err)
	}
	_, err = net.DialTimeout("tcp", l.Addr().String(), time.Second)
	is.True(err != nil) // the socket is closed
}
