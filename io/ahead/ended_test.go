package ahead_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endSide shuts down the sending side of a connection.
func endSide(t *testing.T, c net.Conn) {
	is.New(t).NoErr(c.(*net.TCPConn).CloseWrite())
}

// readFinal reads an answer and passes over informational ones, whose number it returns.
func readFinal(t *testing.T, in *bufio.Reader) (body string, informational int) {
	is := is.New(t)
	for ; ; informational++ {
		res, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		if res.StatusCode < http.StatusOK {
			continue
		}
		b, err := io.ReadAll(res.Body)
		is.NoErr(err)
		return string(b), informational
	}
}

// TestEndedSideIsAnswered guards against requests that are canceled since their caller has shut
// down its sending side, although it still reads.
func TestEndedSideIsAnswered(t *testing.T) {
	closing := strings.Replace(post("/held", "ab"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
	chunked := "POST /held HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
	for name, requests := range map[string][]string{
		"one": {get("/held")}, "with a body": {post("/held", "ab")}, "chunked": {chunked}, "closes": {closing},
		"three, started early": {get("/held"), get("/b"), get("/c")}, "two in turn": {post("/held", "ab"), post("/b", "cd")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 8)
			c, in := s.dial(t)
			_, err := io.WriteString(c, strings.Join(requests, ""))
			is.NoErr(err)
			endSide(t, c)
			await(t, "the request has begun", func() bool { return s.numStarted() > 0 })
			time.Sleep(300 * time.Millisecond)
			s.open("/held")
			for range requests {
				_, informational := readFinal(t, in)
				if len(requests) == 1 {
					is.True(informational >= 1 && informational <= 5) // the probes
				}
			}
			_, err = in.ReadByte()
			is.Equal(err, io.EOF) // the connection ends with the last answer
			is.Equal(s.canceled.Load(), int32(0))
		})
	}
}

// TestCallerThatLeftIsCanceled guards against work for a caller that has closed its connection
// and does not read any more. Such a caller also shuts down its sending side.
func TestCallerThatLeftIsCanceled(t *testing.T) {
	for name, request := range map[string]string{
		"one": get("/held"), "with a body": post("/held", "ab"), "HTTP/1.0": strings.Replace(get("/held"), "HTTP/1.1", "HTTP/1.0", 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 8)
			c, _ := s.dial(t)
			_, err := io.WriteString(c, request)
			is.NoErr(err)
			await(t, "the request has begun", func() bool { return s.numStarted() > 0 })
			left := time.Now()
			is.NoErr(c.Close())
			await(t, "it is canceled", func() bool { return s.canceled.Load() > 0 })
			is.True(time.Since(left) < 100*time.Millisecond)
		})
	}
}
