package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/io/ahead"
	"tanagerchute/io/link"
	"tanagerchute/io/peer"
)

// newCallerServers returns servers of which only the one for callers is in use, and its address.
// They pass the number of bytes to onDrop that were read and dropped with their connection.
func newCallerServers(t *testing.T, h http.Handler, stopping func() bool, onDrop func(n int)) (*servers, string) {
	t.Helper()
	return newCallerServersWithTimeouts(t, h, stopping, onDrop, link.ReadTimeouts{})
}

// newCallerServersWithTimeouts is like newCallerServers, with timeouts for the connections.
func newCallerServersWithTimeouts(t *testing.T, h http.Handler, stopping func() bool, onDrop func(n int), timeouts link.ReadTimeouts) (*servers, string) {
	t.Helper()
	is := is.New(t)
	pipeline := ahead.New(ahead.Config{
		Handler: h, Depth: 8, Eligible: func(*http.Request) bool { return false }, Stopping: stopping,
		OnDrop: func(_ net.Addr, n int) { onDrop(n) },
	})
	s := &servers{pipeline: pipeline, callers: peer.NewServer(pipeline.Handler()), serveErrs: make(chan error, 1), callerConns: newConnTracker(func(int) {})}
	s.callers.ConnState = s.callerConns.track
	s.callers.ConnContext = ahead.ConnContext
	s.callers.ReadHeaderTimeout = 0
	ctx, cancel := context.WithCancel(context.Background())
	s.callers.BaseContext = func(net.Listener) context.Context { return ctx }
	s.cancelCalls = cancel
	t.Cleanup(func() { _ = s.callers.Close() })
	is.NoErr(s.serveCallers("127.0.0.1:0", link.CallerConfig{
		Timeouts: func() link.ReadTimeouts { return timeouts }, Closer: link.NewCloser(link.CloserConfig{Stopping: stopping}),
	}))
	return s, s.callersListener.Load().listener.Addr().String()
}

// closingRound is a stop that begins while requests arrive on idle connections.
type closingRound struct {
	t        *testing.T
	stopping atomic.Bool
	// The requests that arrive as the connections are closed.
	begun, canceled, answered atomic.Int32
}

// ServeHTTP implements http.Handler.
func (c *closingRound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !c.stopping.Load() {
		return
	}
	c.begun.Add(1)
	select {
	case <-time.After(30 * time.Millisecond):
	case <-r.Context().Done():
		c.canceled.Add(1)
	}
	_, _ = io.WriteString(w, "done")
}

// exchange sends a request on conn and reads its answer.
func (c *closingRound) exchange(conn net.Conn, in *bufio.Reader) error {
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"); err != nil {
		return err
	}
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// exchangeHTTP1 returns a function that sends a request on a connection to addr and reads its
// answer.
func (c *closingRound) exchangeHTTP1(addr string) func() error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return func() error { return err }
	}
	c.t.Cleanup(func() { _ = conn.Close() })
	in := bufio.NewReader(conn)
	return func() error { return c.exchange(conn, in) }
}

// exchangeHTTP2 is like exchangeHTTP1 for HTTP/2. The client goes on using the connection until
// that is closed, and does not send the request again.
func (c *closingRound) exchangeHTTP2(addr string) func() error {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols}
	c.t.Cleanup(transport.CloseIdleConnections)
	return func() error {
		req, err := http.NewRequest(http.MethodPost, "http://"+addr, strings.NewReader("ab"))
		if err != nil {
			return err
		}
		req.GetBody = nil
		res, err := transport.RoundTrip(req)
		if err != nil {
			return err
		}
		defer res.Body.Close()
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
}

// run closes the connections of conns clients, each of which sends a second request at some
// time around it.
func (c *closingRound) run(conns int, spread time.Duration, newClient func(addr string) func() error) {
	s, addr := newCallerServers(c.t, c, c.stopping.Load, func(int) {})
	start := make(chan struct{})
	var ready, wg sync.WaitGroup
	for range conns {
		ready.Add(1)
		wg.Go(func() {
			exchange := newClient(addr)
			if err := exchange(); err != nil {
				c.t.Error(err)
			}
			ready.Done()
			<-start
			time.Sleep(time.Duration(rand.Int64N(int64(spread))))
			if exchange() == nil {
				c.answered.Add(1)
			}
		})
	}
	ready.Wait()
	c.stopping.Store(true)
	close(start)
	time.Sleep(time.Duration(rand.Int64N(int64(spread))))
	ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
	defer cancel()
	s.closeCallers(ctx)
	wg.Wait()
}

// TestRequestAsCallersAreClosed guards against a request that arrives on an idle connection in
// the moment in which a stop closes it, and that is begun and then canceled. It has to be
// answered, or not to be begun.
func TestRequestAsCallersAreClosed(t *testing.T) {
	closeAsRequestsArrive(t, 40, (*closingRound).exchangeHTTP1)
}

// TestRequestAsHTTP2CallersAreClosed is the same for callers over HTTP/2.
func TestRequestAsHTTP2CallersAreClosed(t *testing.T) {
	closeAsRequestsArrive(t, 10, (*closingRound).exchangeHTTP2)
}

// closeAsRequestsArrive closes connections while requests arrive on them.
func closeAsRequestsArrive(t *testing.T, rounds int, newClient func(c *closingRound, addr string) func() error) {
	is := is.New(t)
	const conns, spread = 100, 200 * time.Microsecond
	var begun, canceled, unanswered int32
	for range rounds {
		c := &closingRound{t: t}
		c.run(conns, spread, func(addr string) func() error { return newClient(c, addr) })
		begun += c.begun.Load()
		canceled += c.canceled.Load()
		unanswered += c.begun.Load() - c.answered.Load()
	}
	t.Logf("%d begun, %d canceled, %d without an answer", begun, canceled, unanswered)
	is.Equal(canceled, int32(0))
	is.Equal(unanswered, int32(0))
	is.True(begun > 0)
}

// TestRequestAfterClosingAnswerIsNotRead guards against a request that is read, and dropped with its
// connection, although it comes after the head of an answer that closes the connection.
func TestRequestAfterClosingAnswerIsNotRead(t *testing.T) {
	is := is.New(t)
	var dropped atomic.Int64
	const answerBytes = 8 << 20 // more than the kernel takes, so that the answer is being written
	s, addr := newCallerServers(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
		_, _ = w.Write(make([]byte, answerBytes))
	}), func() bool { return true }, func(n int) { dropped.Add(int64(n)) })
	conn, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer conn.Close()
	request := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
	_, err = io.WriteString(conn, request)
	is.NoErr(err)
	in := bufio.NewReader(conn)
	res, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	is.True(res.Close)
	_, err = io.WriteString(conn, request)
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // it arrives
	n, err := io.Copy(io.Discard, res.Body)
	is.NoErr(err)
	is.Equal(n, int64(answerBytes))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s.closeCallers(ctx)
	is.Equal(dropped.Load(), int64(0))
}

// TestUnreadBodyHoldsUpNoStop guards against a stop that waits for the rest of a body which
// nobody reads, since the request was refused before.
func TestUnreadBodyHoldsUpNoStop(t *testing.T) {
	is := is.New(t)
	s, addr := newCallerServers(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(500 * time.Millisecond)) // as the ingress does
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}), func() bool { return true }, func(int) {})
	conn, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nthe first bytes")
	is.NoErr(err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusRequestEntityTooLarge)
	is.True(res.Close)
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, err = io.Copy(io.Discard, conn)
	is.NoErr(err) // the connection ends
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	s.closeCallers(ctx)
	is.NoErr(ctx.Err())
}

// TestTimeoutsCutNoAnswer guards against a request that is canceled by a timeout for reading the
// next one, part of which has arrived.
func TestTimeoutsCutNoAnswer(t *testing.T) {
	const timeout, work = 50 * time.Millisecond, 200 * time.Millisecond
	for _, next := range []string{"", "G", "GET / HTTP/1.1\r\nHost:"} {
		t.Run(next, func(t *testing.T) {
			is := is.New(t)
			_, addr := newCallerServersWithTimeouts(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(work):
				case <-r.Context().Done():
					t.Error("canceled")
				}
				_, _ = io.WriteString(w, "done")
			}), func() bool { return false }, func(int) {}, link.ReadTimeouts{Idle: timeout, Header: timeout})
			conn, err := net.Dial("tcp", addr)
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"+next)
			is.NoErr(err)
			_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
			in := bufio.NewReader(conn)
			res, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			body, err := io.ReadAll(res.Body)
			is.NoErr(err)
			is.Equal(string(body), "done")
			_, err = io.Copy(io.Discard, in) // the timeout ends the connection
			is.NoErr(err)
		})
	}
}

// TestArrivedRequestsAreAnsweredInStop guards against requests that have arrived behind another
// one, and are dropped as the answer to that one closes the connection.
func TestArrivedRequestsAreAnsweredInStop(t *testing.T) {
	const requests, work = 5, 100 * time.Millisecond
	for _, bodyBytes := range []int{2, 1000, 4000, 9000} {
		t.Run(strconv.Itoa(bodyBytes), func(t *testing.T) {
			is := is.New(t)
			for range 20 {
				var dropped atomic.Int64
				first := make(chan struct{}, 1)
				first <- struct{}{}
				_, addr := newCallerServers(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					select {
					case <-first:
						time.Sleep(work)
					default: // it is answered at once
					}
					_, _ = io.WriteString(w, "done")
				}), func() bool { return true }, func(n int) { dropped.Add(int64(n)) })
				conn, err := net.Dial("tcp", addr)
				is.NoErr(err)
				request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("b", bodyBytes))
				_, err = io.WriteString(conn, strings.Repeat(request, requests))
				is.NoErr(err)
				_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
				in := bufio.NewReader(conn)
				for n := range requests {
					res, err := http.ReadResponse(in, nil)
					is.NoErr(err)
					_, err = io.Copy(io.Discard, res.Body)
					is.NoErr(err)
					is.Equal(res.Close, n == requests-1) // only the last answer closes the connection
				}
				_ = conn.Close()
				is.Equal(dropped.Load(), int64(0))
			}
		})
	}
}
