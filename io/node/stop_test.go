package node

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/io/peer"
)

// TestForcedCloseTakesNoNewRequest guards against a request of another node that is lost on a
// connection which is closed by force: its sender can't tell whether it has run. From the
// start of the close no request may be sent on an open connection.
func TestForcedCloseTakesNoNewRequest(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var requests atomic.Int32
	server := peer.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		<-r.Context().Done() // the connection is closed by force because of it
	}))
	go func() { _ = server.Serve(listener) }()
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: &protocols}}
	get := func() (sent bool, err error) {
		ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
			GotConn: func(httptrace.GotConnInfo) { sent = true },
		})
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listener.Addr().String(), nil)
		is.NoErr(err)
		_, err = client.Do(req)
		return sent, err
	}
	firstEnded := make(chan error)
	go func() {
		_, err := get()
		firstEnded <- err
	}()
	for requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	go closeServer(ctx, server)
	time.Sleep(200 * time.Millisecond)
	sent, err := get()
	is.True(err != nil)
	is.True(!sent) // no connection, so that the sender knows that it has not run
	is.True(ctx.Err() == nil)
	is.True(<-firstEnded != nil)
	is.Equal(requests.Load(), int32(1))
}
