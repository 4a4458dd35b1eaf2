package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/call"
	"tanagerchute/io/link"
)

// goAwayDelay is the latency of the link of newStoppingPeer in each direction.
const goAwayDelay = 100 * time.Millisecond

// newStoppingPeer returns a node with which a sender on a slow link has an open connection, and
// the sender.
func newStoppingPeer(t *testing.T) (srv *httptest.Server, addr string, p *Proxy) {
	t.Helper()
	srv = slowPeer{}.newServer()
	srv.Start()
	t.Cleanup(srv.Close)
	addr = strings.TrimPrefix(srv.URL, "http://")
	p = newSenderWithDial(t, func(next link.Dial) link.Dial {
		return link.Delay(next, func(string) link.Path { return link.Path{OneWay: goAwayDelay} })
	})
	is := is.New(t)
	for range 5 { // until the sender knows how long acknowledgements take
		r := p.send(t.Context(), addr, testAttempt(http.MethodGet), func(silence) {})
		is.Equal(r.Fate, call.Answered)
	}
	return srv, addr, p
}

// testAttempt returns a call that is sent for the first time.
func testAttempt(method string) call.Call {
	id, _ := newID()
	return testCall(method, 3*time.Second).WithAttempt(id, call.Entry)
}

// TestCallAfterGoAwayIsNotRun guards against calls of unknown fate at the end of a planned stop.
// A call whose sender has not read yet that the other node closes their connection (GOAWAY) is
// not looked at by that node, and the sender learns that from the last stream that it names. If
// the call's fate is unknown, a booking is not sent to another node, and nobody is left to be
// asked for it.
func TestCallAfterGoAwayIsNotRun(t *testing.T) {
	withBody := func(c call.Call) call.Call {
		c.Body = []byte("a booking")
		return c
	}
	for name, c := range map[string]call.Call{
		"booking with a body":    withBody(testAttempt(http.MethodPost)),
		"booking without a body": testAttempt(http.MethodPost),
		"lookup":                 testAttempt(http.MethodGet),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			srv, addr, p := newStoppingPeer(t)
			stopped := make(chan error, 1)
			go func() { stopped <- srv.Config.Shutdown(context.Background()) }()
			time.Sleep(goAwayDelay / 4)
			r := p.send(t.Context(), addr, c, func(silence) {})
			is.NoErr(<-stopped)
			is.Equal(r.Fate, call.NotRun)
			is.Equal(r.Cause, call.CauseUnreachable)
		})
	}
}
