package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/io/peer"
)

// TestAnswerToNodeArrivesAsServerEnds guards against an answer to another node that is cut, since
// the node that gives it ends, and closes the connection while the other still reads.
func TestAnswerToNodeArrivesAsServerEnds(t *testing.T) {
	is := is.New(t)
	const answerBytes, window = 150_000, 16 << 10
	answered := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &servers{serveErrs: make(chan error, 1)}
	srv := peer.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, answerBytes))
		close(answered)
	}))
	s.bound = []boundServer{{server: srv, listener: ln}}
	s.serve(ln, srv, make(chan struct{}))
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
	s.closeOtherServers(ctx)
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
