package link_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/io/link"
)

// TestCloseResetsNoConnection guards against a connection that is established while its listener
// is being closed, and that is reset although its caller has sent a request.
func TestCloseResetsNoConnection(t *testing.T) {
	const rounds, callers, openTime = 200, 8, 3 * time.Millisecond
	is := is.New(t)
	var served, reset atomic.Int64
	for range rounds {
		ln, err := link.Listen("127.0.0.1:0")
		is.NoErr(err)
		go echoAll(ln)
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				for begun := time.Now(); time.Since(begun) < 2*openTime; {
					connected, err := sendByte(ln.Addr().String())
					if !connected {
						return
					}
					if err != nil {
						reset.Add(1)
					} else {
						served.Add(1)
					}
				}
			})
		}
		time.Sleep(openTime)
		is.NoErr(ln.Close())
		wg.Wait()
	}
	t.Logf("%d served, %d reset", served.Load(), reset.Load())
	is.Equal(reset.Load(), int64(0))
	is.True(served.Load() > rounds)
}

// echoAll sends back the first byte of each connection.
func echoAll(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			_, _ = io.CopyN(c, c, 1)
		}()
	}
}

// sendByte sends a byte on a new connection and waits until it comes back.
func sendByte(addr string) (connected bool, err error) {
	c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer c.Close()
	if _, err := c.Write([]byte{1}); err != nil {
		return true, err
	}
	_, err = io.ReadFull(c, make([]byte, 1))
	return true, err
}
