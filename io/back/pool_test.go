package back_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/io/back"
)

// forgetful is a server that resets a connection at the next request once it has
// been idle for longer than limit.
type forgetful struct {
	ln    net.Listener
	limit time.Duration
	mu    sync.Mutex
	conns int
	runs  int
	lose  int // answers to lose from now on: their connections are reset
}

func newForgetful(t *testing.T, limit time.Duration) *forgetful {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	f := &forgetful{ln: ln, limit: limit}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns++
			f.mu.Unlock()
			go f.serve(c)
		}
	}()
	return f
}

func (f *forgetful) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var since time.Time // when the last answer ended
	for ; ; since = time.Now() {
		if _, err := br.Peek(1); err != nil {
			return
		}
		if !since.IsZero() && time.Since(since) > f.limit {
			_ = c.(*net.TCPConn).SetLinger(0) // a reset
			return
		}
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.runs++
		lost := f.lose > 0
		if lost {
			f.lose--
		}
		f.mu.Unlock()
		if lost {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("X-Id"))
	}
}

func (f *forgetful) counts() (conns, runs int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conns, f.runs
}

func (f *forgetful) ask(p *back.Pool, repeat bool) error {
	_, err := p.Do(context.Background(), f.ln.Addr().String(), back.Request{
		Method: http.MethodGet, Path: "/", Host: "a", Header: http.Header{}, Repeat: func() bool { return repeat },
	})
	return err
}

// TestForgottenConnection holds that a request that may be repeated is served
// although the server had forgotten its connection, that any other one is not
// sent again, and that no connection is trusted for that long afterwards.
func TestForgottenConnection(t *testing.T) {
	is := is.New(t)
	const limit = 50 * time.Millisecond
	f := newForgetful(t, limit)
	p := back.New(back.Config{MaxAnswer: 1000})
	is.NoErr(f.ask(p, true))
	time.Sleep(2 * limit)
	is.NoErr(f.ask(p, true))
	conns, runs := f.counts()
	is.Equal(conns, 2)
	is.Equal(runs, 2)
	for range 3 { // the pool has learned
		time.Sleep(2 * limit)
		is.NoErr(f.ask(p, false))
	}
	is.NoErr(f.ask(p, false)) // at once, on the same connection
	conns, runs = f.counts()
	is.Equal(conns, 5)
	is.Equal(runs, 6)

	p = back.New(back.Config{MaxAnswer: 1000})
	is.NoErr(f.ask(p, false))
	time.Sleep(2 * limit)
	is.True(f.ask(p, false) != nil) // it may have run, for all that is known
	time.Sleep(2 * limit)
	is.NoErr(f.ask(p, false))
}

// TestMostConnections holds that no more connections are open than allowed, by
// the bound as it is then.
func TestMostConnections(t *testing.T) {
	is := is.New(t)
	f := newForgetful(t, time.Minute)
	most := 1
	p := back.New(back.Config{MaxAnswer: 1000, MaxConns: func() int { return most }})
	is.NoErr(f.ask(p, false))
	is.NoErr(f.ask(p, false))
	conns, _ := f.counts()
	is.Equal(conns, 1)
}

// TestLostAnswerIsNotForgetting loses an answer on a connection that had hardly
// been idle, as a server does that crashes, and holds that the request, which has
// run, is not sent again behind the back of whoever counts resends, and that later
// requests use their connections again.
func TestLostAnswerIsNotForgetting(t *testing.T) {
	is := is.New(t)
	f := newForgetful(t, time.Minute)
	p := back.New(back.Config{MaxAnswer: 1000})
	is.NoErr(f.ask(p, true))
	f.mu.Lock()
	f.lose = 1
	f.mu.Unlock()
	is.True(f.ask(p, true) != nil)
	for range 20 {
		time.Sleep(10 * time.Millisecond)
		is.NoErr(f.ask(p, true))
	}
	conns, runs := f.counts()
	is.Equal(conns, 2)
	is.Equal(runs, 22)
}
