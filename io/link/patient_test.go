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

// patientServer serves "ok" with bounds that can be changed, and returns its
// address.
func patientServer(t *testing.T, bounds *atomic.Pointer[link.Patience]) string {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(150 * time.Millisecond) // longer than the bounds
			_, _ = io.WriteString(w, "ok")
		}),
		ConnState: func(c net.Conn, s http.ConnState) {
			switch p := c.(*link.PatientConn); s {
			case http.StateActive:
				p.Work()
			case http.StateIdle:
				p.Rest()
			}
		},
	}
	go func() { _ = srv.Serve(link.Patient(ln, func() link.Patience { return *bounds.Load() })) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

// ask sends a request in two parts with a pause between them, and returns the
// answer or the error of its reading.
func ask(c net.Conn, br *bufio.Reader, pause time.Duration) error {
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

// TestPatience holds callers to the bounds in force, on new and on kept
// connections, and leaves alone whose request is worked on.
func TestPatience(t *testing.T) {
	is := is.New(t)
	var bounds atomic.Pointer[link.Patience]
	bounds.Store(&link.Patience{Idle: 100 * time.Millisecond, Header: 100 * time.Millisecond})
	addr := patientServer(t, &bounds)
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", addr)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
		return c, bufio.NewReader(c)
	}

	c, br := dial()
	is.NoErr(ask(c, br, 0))                          // the work may take longer than the bounds
	is.NoErr(ask(c, br, 30*time.Millisecond))        // on a kept connection
	is.True(ask(c, br, 250*time.Millisecond) != nil) // slow headers

	c, br = dial()
	time.Sleep(250 * time.Millisecond)
	is.True(ask(c, br, 0) != nil) // idle before the first request

	c, br = dial()
	is.NoErr(ask(c, br, 0))
	time.Sleep(250 * time.Millisecond)
	is.True(ask(c, br, 0) != nil) // idle between two

	bounds.Store(&link.Patience{Idle: time.Minute, Header: time.Minute})
	c, br = dial()
	is.NoErr(ask(c, br, 250*time.Millisecond))
	time.Sleep(250 * time.Millisecond)
	is.NoErr(ask(c, br, 250*time.Millisecond)) // wider bounds hold at once
}
