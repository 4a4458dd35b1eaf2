package ahead_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "tanagerchute/internal/seed"
	"tanagerchute/io/ahead"
	"tanagerchute/io/link"
)

// site is a server behind a pipeline, whose requests are held until they are released.
type site struct {
	*httptest.Server
	mu       sync.Mutex
	started  []string
	release  map[string]chan struct{}
	canceled atomic.Int32
	stopping atomic.Bool
}

// newSite starts a server of the given depth. Requests whose path starts with /held wait
// for open, and those with /close close the connection.
func newSite(t testing.TB, depth int) *site {
	s := newUnstartedSite(t, depth)
	s.Start()
	return s
}

func newUnstartedSite(t testing.TB, depth int) *site {
	s := &site{release: map[string]chan struct{}{}}
	p := ahead.New(ahead.Config{
		Handler: http.HandlerFunc(s.serve), Depth: depth,
		Eligible: func(r *http.Request) bool { return r.URL.Query().Get("once") == "" },
		Stopping: s.stopping.Load,
	})
	s.Server = newUnstartedSiteOf(t, p).Server
	return s
}

// newUnstartedSiteOf returns a server behind p.
func newUnstartedSiteOf(t testing.TB, p *ahead.Pipeline) *site {
	s := &site{Server: httptest.NewUnstartedServer(p.Handler())}
	s.Config.ConnContext = ahead.ConnContext
	s.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*ahead.Conn); ok && state == http.StateActive {
			c.SetActive()
		} else if ok && state == http.StateIdle {
			c.SetIdle()
		}
	}
	closer := link.NewCloser(link.CloserConfig{}) // answers arrive also if not all that was sent is read
	s.Listener = p.Listener(closer.Listener(s.Listener))
	t.Cleanup(s.Close)
	return s
}

func (s *site) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	held := s.gate(r.URL.Path)
	s.mu.Lock()
	s.started = append(s.started, r.RequestURI)
	s.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, "/held") {
		select {
		case <-held:
		case <-r.Context().Done():
			s.canceled.Add(1)
			return
		}
	}
	if strings.HasPrefix(r.URL.Path, "/close") {
		w.Header().Set("Connection", "close")
	}
	fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
}

func (s *site) gate(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.release[path] == nil {
		s.release[path] = make(chan struct{})
	}
	return s.release[path]
}

func (s *site) open(path string) { close(s.gate(path)) }

func (s *site) numStarted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.started)
}

// await waits until ok returns true.
func await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 3 s: %s", what)
		}
	}
}

func (s *site) dial(t testing.TB) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c, bufio.NewReader(c)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// readAnswer returns the body of the next response.
func readAnswer(t testing.TB, r *bufio.Reader) string {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// TestSlowFirstRequest guards against pipelined requests that wait for the one in front
// of them: all run while the first one does, and are answered in their order.
func TestSlowFirstRequest(t *testing.T) {
	for _, c := range []struct {
		name  string
		write func(net.Conn, []string)
	}{
		{"in one segment", func(c net.Conn, rs []string) { _, _ = io.WriteString(c, strings.Join(rs, "")) }},
		{"one by one", func(c net.Conn, rs []string) {
			for _, r := range rs {
				_, _ = io.WriteString(c, r)
				time.Sleep(10 * time.Millisecond)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 4)
			conn, r := s.dial(t)
			go c.write(conn, []string{get("/held/1"), get("/2"), get("/3"), get("/4"), get("/5")})
			await(t, "four requests run", func() bool { return s.numStarted() == 4 })
			time.Sleep(50 * time.Millisecond)
			is.Equal(s.numStarted(), 4) // the depth bounds them
			s.open("/held/1")
			for _, path := range []string{"/held/1", "/2", "/3", "/4", "/5"} {
				is.Equal(readAnswer(t, r), "GET "+path+" ") // answers in order
			}
		})
	}
}

// TestNonIdempotentWaitsForItsTurn guards against a request that starts early although it
// may run only once, and against one that starts in front of it.
func TestNonIdempotentWaitsForItsTurn(t *testing.T) {
	for _, second := range []string{post("/2", "abc"), get("/2?once=1")} {
		is := is.New(t)
		s := newSite(t, 8)
		conn, r := s.dial(t)
		_, _ = io.WriteString(conn, get("/held/1")+second+get("/3"))
		await(t, "the first request runs", func() bool { return s.numStarted() == 1 })
		time.Sleep(50 * time.Millisecond)
		is.Equal(s.numStarted(), 1)
		s.open("/held/1")
		readAnswer(t, r)
		readAnswer(t, r)
		is.Equal(readAnswer(t, r), "GET /3 ")
	}
}

// TestLeavingCallerEndsRuns guards against runs that go on when their caller has left.
func TestLeavingCallerEndsRuns(t *testing.T) {
	s := newSite(t, 8)
	conn, _ := s.dial(t)
	_, _ = io.WriteString(conn, get("/held/1")+get("/held/2")+get("/held/3"))
	await(t, "three requests run", func() bool { return s.numStarted() == 3 })
	conn.Close()
	await(t, "all are cancelled", func() bool { return s.canceled.Load() == 3 })
}

// TestClosingAnswerEndsRuns guards against answers behind one that closes the
// connection, and against runs that outlast it.
func TestClosingAnswerEndsRuns(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 8)
	conn, r := s.dial(t)
	_, _ = io.WriteString(conn, get("/close/1")+get("/held/2"))
	is.Equal(readAnswer(t, r), "GET /close/1 ")
	_, err := r.ReadByte()
	is.True(err != nil) // nothing follows
	await(t, "no run is left", func() bool { return s.canceled.Load() == int32(s.numStarted()-1) })
}

// TestMalformedRequestBehind guards against a run of what is no request.
func TestMalformedRequestBehind(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 8)
	conn, r := s.dial(t)
	_, _ = io.WriteString(conn, get("/1")+"GET /2 HTTP/1.1\r\nHost: h\r\nbroken\r\n\r\n"+get("/3"))
	is.Equal(readAnswer(t, r), "GET /1 ")
	res, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusBadRequest)
	is.Equal(s.numStarted(), 1)
}

// TestBareLineFeeds guards against a connection that waits for a CRLF although net/http
// takes LF as the end of a line.
func TestBareLineFeeds(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 8)
	conn, r := s.dial(t)
	_, _ = io.WriteString(conn, "GET /1 HTTP/1.1\nHost: h\n\n")
	is.Equal(readAnswer(t, r), "GET /1 ")
	_, _ = io.WriteString(conn, "GET /held/2 HTTP/1.1\r\nHost: h\r\n\nGET /3 HTTP/1.1\nHost: h\n\n"+get("/4"))
	await(t, "all run", func() bool { return s.numStarted() == 4 })
	s.open("/held/2")
	for _, path := range []string{"/held/2", "/3", "/4"} {
		is.Equal(readAnswer(t, r), "GET "+path+" ")
	}
	is.Equal(s.numStarted(), 4)
}

// TestAnyRequestsInAnyPieces checks that each request of a connection runs once and is
// answered in order, whatever it is and wherever its bytes are cut.
func TestAnyRequestsInAnyPieces(t *testing.T) {
	s := newSite(t, 3)
	var round atomic.Int64
	rapid.Check(t, func(rt *rapid.T) {
		n := round.Add(1)
		var stream strings.Builder
		var want []string
		for i := range rapid.IntRange(1, 8).Draw(rt, "requests") {
			path := fmt.Sprintf("/%d/%d", n, i)
			switch rapid.IntRange(0, 5).Draw(rt, "kind") {
			case 0:
				body := rapid.StringMatching(`[a-zA-Z /\r\n]{0,40}`).Draw(rt, "body")
				stream.WriteString(post(path, body))
				want = append(want, "POST "+path+" "+body)
			case 5:
				body := rapid.StringMatching(`[a-zA-Z /\r\n]{1,40}`).Draw(rt, "chunk")
				fmt.Fprintf(&stream, "POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n1\r\nz\r\n0\r\n\r\n", path, len(body), body)
				want = append(want, "POST "+path+" "+body+"z")
			case 1:
				stream.WriteString(get(path + "?once=1"))
				want = append(want, "GET "+path+"?once=1 ")
			default:
				stream.WriteString(get(path))
				want = append(want, "GET "+path+" ")
			}
		}
		conn, r := s.dial(t)
		defer conn.Close()
		before := s.numStarted()
		rest := stream.String()
		for len(rest) > 0 {
			k := rapid.IntRange(1, len(rest)).Draw(rt, "piece")
			_, _ = io.WriteString(conn, rest[:k])
			rest = rest[k:]
		}
		for _, w := range want {
			if got := readAnswer(t, r); got != w {
				rt.Fatalf("answer %q, want %q", got, w)
			}
		}
		if got := s.numStarted() - before; got != len(want) {
			rt.Fatalf("%d runs of %d requests", got, len(want))
		}
	})
}
