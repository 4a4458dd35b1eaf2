package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/io/link"
	"tanagerchute/io/peer"
)

// TestAnswerToNodeArrivesAsServerEnds guards against an answer to another node that is cut, since
// the node that gives it ends, and closes the connection while the other still reads.
func TestAnswerToNodeArrivesAsServerEnds(t *testing.T) {
	for _, c := range []struct {
		name                string
		answerBytes, window int
	}{
		{"the server is still writing it", 150_000, 16 << 10},
		{"the kernel is still sending it", 60_000, 4 << 10},
	} {
		t.Run(c.name, func(t *testing.T) { closeBehindAnswer(t, c.answerBytes, c.window) })
	}
}

// closeBehindAnswer closes a server for other nodes as soon as its handler has written an answer,
// early in a stop. The other node has a receive buffer of window bytes.
func closeBehindAnswer(t *testing.T, answerBytes, window int) {
	is := is.New(t)
	answered := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closer := link.NewCloser(link.CloserConfig{Stopping: func() bool { return true }, NoReadTime: true})
	ln = closer.Listener(ln)
	s := &servers{serveErrs: make(chan error, 1)}
	s.peers = peer.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, answerBytes))
		close(answered)
	}))
	s.bound = []boundServer{{server: s.peers, listener: ln}}
	s.serve(ln, s.peers, make(chan struct{}))
	transport := peer.NewTransport(func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := net.Dial(network, addr)
		if err == nil {
			err = c.(*net.TCPConn).SetReadBuffer(window)
		}
		return &slowConn{c}, err
	}, time.Minute)
	client := &http.Client{Transport: transport}
	defer client.CloseIdleConnections()
	res, err := client.Get("http://" + ln.Addr().String())
	is.NoErr(err)
	defer res.Body.Close()
	<-answered
	ctx, cancel := context.WithTimeout(t.Context(), closeTimeout)
	defer cancel()
	answersBy := time.Now().Add(3 * time.Second) // the stop began early
	go func() {
		s.closeOtherServers(ctx, func() bool { return time.Now().Before(answersBy) && closer.Sending() })
		endCtx, cancel := context.WithDeadline(t.Context(), answersBy)
		defer cancel()
		closer.End(endCtx)
	}()
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(len(body), answerBytes)
}

// slowConn is a connection that is read slowly.
type slowConn struct{ net.Conn }

// Read implements net.Conn.
func (c slowConn) Read(b []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	return c.Conn.Read(b)
}
