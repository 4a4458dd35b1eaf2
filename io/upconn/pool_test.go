package upconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/author"
	"tanagerchute/io/upconn"
)

// idleResetServer is a server that resets a connection at the next request after
// it has been idle for longer than maxIdle.
type idleResetServer struct {
	ln            net.Listener
	maxIdle       time.Duration
	mu            sync.Mutex
	conns         int
	requests      int
	answersToLose int // number of coming requests that get a connection reset in place of an answer
}

func newIdleResetServer(t *testing.T, maxIdle time.Duration) *idleResetServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	f := &idleResetServer{ln: ln, maxIdle: maxIdle}
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

func (f *idleResetServer) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var idleSince time.Time // when the last answer was sent
	for ; ; idleSince = time.Now() {
		if _, err := br.Peek(1); err != nil {
			return
		}
		if !idleSince.IsZero() && time.Since(idleSince) > f.maxIdle {
			_ = c.(*net.TCPConn).SetLinger(0) // a reset
			return
		}
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.requests++
		lost := f.answersToLose > 0
		if lost {
			f.answersToLose--
		}
		f.mu.Unlock()
		if lost {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("X-Id"))
	}
}

func (f *idleResetServer) counts() (conns, requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conns, f.requests
}

func (f *idleResetServer) do(p *upconn.Pool, allowResend bool) error {
	_, err := p.Do(context.Background(), f.ln.Addr().String(), upconn.Request{
		Method: http.MethodGet, Path: "/", Host: "a", Header: http.Header{}, AllowResend: func() bool { return allowResend },
	})
	return err
}

// TestResendAfterStaleConnection guards against failed and repeated requests on
// connections that the server dropped while they were idle. A request is sent again
// only if AllowResend agrees. Afterwards the pool does not reuse connections that
// have been idle for as long.
func TestResendAfterStaleConnection(t *testing.T) {
	is := is.New(t)
	const maxIdle = 50 * time.Millisecond
	f := newIdleResetServer(t, maxIdle)
	p := upconn.New(upconn.Config{MaxAnswerBytes: 1000})
	is.NoErr(f.do(p, true))
	time.Sleep(2 * maxIdle)
	is.NoErr(f.do(p, true))
	conns, requests := f.counts()
	is.Equal(conns, 2)
	is.Equal(requests, 2)
	for range 3 { // the pool has learned the idle limit
		time.Sleep(2 * maxIdle)
		is.NoErr(f.do(p, false))
	}
	is.NoErr(f.do(p, false)) // without idle time, over the same connection
	conns, requests = f.counts()
	is.Equal(conns, 5)
	is.Equal(requests, 6)

	p = upconn.New(upconn.Config{MaxAnswerBytes: 1000})
	is.NoErr(f.do(p, false))
	time.Sleep(2 * maxIdle)
	is.True(f.do(p, false) != nil) // not sent again: it may have run
	time.Sleep(2 * maxIdle)
	is.NoErr(f.do(p, false))
}

// TestConnLimit checks that two requests in a row share one connection under a
// limit of one connection.
func TestConnLimit(t *testing.T) {
	is := is.New(t)
	f := newIdleResetServer(t, time.Minute)
	maxConns := 1
	p := upconn.New(upconn.Config{MaxAnswerBytes: 1000, MaxConns: func() int { return maxConns }})
	is.NoErr(f.do(p, false))
	is.NoErr(f.do(p, false))
	conns, _ := f.counts()
	is.Equal(conns, 1)
}

// TestNoResendAfterLostAnswer guards against taking a lost answer for a stale
// connection. The server resets a connection that had hardly been idle, as a crash
// does, after it has run the request. The pool must not send the request again,
// since that would run it twice, unknown to the code that counts resends.
// Later requests must reuse their connection.
func TestNoResendAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	f := newIdleResetServer(t, time.Minute)
	p := upconn.New(upconn.Config{MaxAnswerBytes: 1000})
	is.NoErr(f.do(p, true))
	f.mu.Lock()
	f.answersToLose = 1
	f.mu.Unlock()
	is.True(f.do(p, true) != nil)
	for range 20 {
		time.Sleep(10 * time.Millisecond)
		is.NoErr(f.do(p, true))
	}
	conns, requests := f.counts()
	is.Equal(conns, 2)
	is.Equal(requests, 22)
}

// lateCopyServer serves connections on which it sends a copy of each answer again,
// late: just before the answer to the next request. Its answers name no request.
func lateCopyServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		late := ""
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			body := "to " + req.Header.Get("X-Id")
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			fmt.Fprint(c, late+answer)
			late = answer
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String()
}

// TestLateCopyWithoutID guards against a late second copy of an answer that reaches the
// next caller, because neither answer says which request it is to.
func TestLateCopyWithoutID(t *testing.T) {
	is := is.New(t)
	addr := lateCopyServer(t)
	p := upconn.New(upconn.Config{MaxAnswerBytes: 1000, Parse: func(res *http.Response) author.Answer {
		return author.Answer{Status: res.StatusCode, Named: res.Header.Get("X-Id"), Marked: true}
	}})
	for i := range 5 {
		id := fmt.Sprint("request ", i)
		a, err := p.Do(context.Background(), addr, upconn.Request{Method: http.MethodGet, Path: "/", Host: "a", Header: http.Header{"X-Id": {id}}, ID: id})
		is.NoErr(err)
		is.Equal(string(a.BodyBytes), "to "+id)
	}
}

// TestServerThatReadsLateAnswers guards against ending the connection to a server that
// is busy, and reads a large request only after 2.8 s.
func TestServerThatReadsLateAnswers(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		time.Sleep(2800 * time.Millisecond)
		_, _ = io.Copy(io.Discard, req.Body)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}()
	p := upconn.New(upconn.Config{MaxAnswerBytes: 1000})
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	_, err = p.Do(ctx, ln.Addr().String(), upconn.Request{Method: http.MethodPut, Path: "/", Host: "a", Header: http.Header{}, Body: make([]byte, 1<<20)})
	is.NoErr(err)
}
