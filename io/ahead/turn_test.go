package ahead_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestArrivesBetweenTurns guards against a run of a request that arrives while the
// server is idle between two pipelined ones, and that is started for a wrong turn: it would
// run again in its own.
func TestRequestArrivesBetweenTurns(t *testing.T) {
	is := is.New(t)
	s := newUnstartedSite(t, 8)
	track := s.Config.ConnState
	idle := make(chan struct{}, 8)
	s.Config.ConnState = func(c net.Conn, state http.ConnState) {
		track(c, state)
		if state == http.StateIdle {
			idle <- struct{}{}
			time.Sleep(100 * time.Millisecond) // the next request arrives meanwhile
		}
	}
	s.Start()
	conn, r := s.dial(t)
	_, _ = io.WriteString(conn, get("/held/1")+get("/held/2"))
	await(t, "two requests run", func() bool { return s.numStarted() == 2 })
	s.open("/held/1")
	<-idle
	_, _ = io.WriteString(conn, get("/3"))
	is.Equal(readAnswer(t, r), "GET /held/1 ")
	await(t, "the third one runs", func() bool { return s.numStarted() == 3 })
	s.open("/held/2")
	is.Equal(readAnswer(t, r), "GET /held/2 ")
	is.Equal(readAnswer(t, r), "GET /3 ")
	is.Equal(s.numStarted(), 3) // each ran once
}

// TestStopAnswersRuns guards against a planned stop that loses requests which were started,
// or that leaves the connection open behind them.
func TestStopAnswersRuns(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 8)
	conn, r := s.dial(t)
	_, _ = io.WriteString(conn, get("/held/1")+get("/2")+get("/3"))
	await(t, "three requests run", func() bool { return s.numStarted() == 3 })
	s.stopping.Store(true)
	_, _ = io.WriteString(conn, get("/4"))
	time.Sleep(50 * time.Millisecond)
	is.Equal(s.numStarted(), 3) // none is started any more
	s.open("/held/1")
	for i, path := range []string{"/held/1", "/2", "/3"} {
		res, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(string(body), "GET "+path+" ")
		is.Equal(res.Close, i == 2) // the last one closes the connection
	}
	is.Equal(s.numStarted(), 3) // the one behind has not run
}
