package link_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/io/link"
)

// startTimeoutServer starts an HTTP server that answers "ok" and applies the read
// timeouts that timeouts points to, and returns its address.
func startTimeoutServer(t *testing.T, timeouts *atomic.Pointer[link.ReadTimeouts]) string {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(150 * time.Millisecond) // longer than the timeouts
			_, _ = io.WriteString(w, "ok")
		}),
		ConnState: func(c net.Conn, s http.ConnState) {
			switch rc := c.(*link.CallerConn); s {
			case http.StateActive:
				rc.SetActive()
			case http.StateIdle:
				rc.SetIdle()
			}
		},
	}
	go func() {
		_ = srv.Serve(link.Callers(ln, link.CallerConfig{Timeouts: func() link.ReadTimeouts { return *timeouts.Load() }}))
	}()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

// sendInTwoParts sends a request in two parts with a pause in between. It returns
// an error if no complete answer is received.
func sendInTwoParts(c net.Conn, br *bufio.Reader, pause time.Duration) error {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost:"); err != nil {
		return err
	}
	time.Sleep(pause)
	if _, err := io.WriteString(c, " a\r\n\r\n"); err != nil {
		return err
	}
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(res.Body)
	return err
}

// TestReadTimeouts guards against callers that hold connections without sending a
// request, or send its headers too slowly, on new and on reused connections. The
// timeouts must not apply while a request is handled, and changed ones must apply
// to new connections.
func TestReadTimeouts(t *testing.T) {
	is := is.New(t)
	var timeouts atomic.Pointer[link.ReadTimeouts]
	timeouts.Store(&link.ReadTimeouts{Idle: 100 * time.Millisecond, Header: 100 * time.Millisecond})
	addr := startTimeoutServer(t, &timeouts)
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", addr)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
		return c, bufio.NewReader(c)
	}

	c, br := dial()
	is.NoErr(sendInTwoParts(c, br, 0))                          // the handler takes longer than the timeouts
	is.NoErr(sendInTwoParts(c, br, 30*time.Millisecond))        // on a reused connection
	is.True(sendInTwoParts(c, br, 250*time.Millisecond) != nil) // slow headers

	c, br = dial()
	time.Sleep(250 * time.Millisecond)
	is.True(sendInTwoParts(c, br, 0) != nil) // idle before the first request

	c, br = dial()
	is.NoErr(sendInTwoParts(c, br, 0))
	time.Sleep(250 * time.Millisecond)
	is.True(sendInTwoParts(c, br, 0) != nil) // idle between two requests

	timeouts.Store(&link.ReadTimeouts{Idle: time.Minute, Header: time.Minute})
	c, br = dial()
	is.NoErr(sendInTwoParts(c, br, 250*time.Millisecond))
	time.Sleep(250 * time.Millisecond)
	is.NoErr(sendInTwoParts(c, br, 250*time.Millisecond)) // longer timeouts apply at once
}
