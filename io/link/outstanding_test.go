package link

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOutstanding checks what is told of a connection whose ends do not read.
func TestOutstanding(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer c.Close()
	s, err := ln.Accept()
	is.NoErr(err)
	defer s.Close()
	o, err := outstanding(s)
	is.NoErr(err)
	is.Equal(o, Outstanding{})
	_, err = io.WriteString(c, "request")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	o, err = outstanding(s)
	is.NoErr(err)
	is.Equal(o.Unread, len("request"))
	is.NoErr(s.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = s.Write(make([]byte, 64<<20)) // more than the kernel takes
	is.True(err != nil)
	o, err = outstanding(s)
	is.NoErr(err)
	is.True(o.Unsent > 0)
	_, err = outstanding(pipeEnd(t))
	is.Equal(err, errNoSocket)
}

func pipeEnd(t *testing.T) net.Conn {
	a, b := net.Pipe()
	t.Cleanup(func() { _ = a.Close(); _ = b.Close() })
	return a
}
