package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"tanagerchute/io/link"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// TestEndlessPeerAnswer guards against the answer of another node to a control request that
// takes memory for as long as the node sends it, or takes much with its head.
func TestEndlessPeerAnswer(t *testing.T) {
	const allowedMB = 60
	for name, serve := range map[string]http.HandlerFunc{
		"body": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/protobuf")
			zeros := make([]byte, 64<<10)
			for err := error(nil); err == nil; {
				_, err = w.Write(zeros)
			}
		},
		"fields": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/protobuf")
			for i := range 100_000 {
				w.Header().Set(fmt.Sprint("X-", i), "")
			}
		},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		srv := peer.NewServer(serve)
		go func() { _ = srv.Serve(ln) }() // returns when srv is closed
		c := peer.NewClient(peer.Config{Deployment: "d", Dial: link.Direct})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		if _, err := c.To(ln.Addr().String()).Probe(t.Context(), &wire.ProbeRequest{}); err == nil {
			t.Errorf("%s: no error", name)
		}
		runtime.ReadMemStats(&after)
		if mb := (after.TotalAlloc - before.TotalAlloc) >> 20; mb > allowedMB {
			t.Errorf("%s: %d MB allocated", name, mb)
		}
		c.Close()
		_ = srv.Close()
	}
}

// TestAnswerOfNodeThatStopsReadingEndsInTime guards against a control request that outlives its timeout
// by far, since the other node has sent a part of the answer and neither sends nor reads any more. What
// fetches versions would wait for such nodes.
func TestAnswerOfNodeThatStopsReadingEndsInTime(t *testing.T) {
	l := link.NewStuck()
	ended := make(chan struct{})
	srv := peer.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("the begin"))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(100 * time.Millisecond) // the client reads it
		l.Stick()
		<-ended
	}))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(ln) }() // returns when srv is closed
	t.Cleanup(func() { _ = srv.Close() })
	t.Cleanup(func() { close(ended) })
	c := peer.NewClient(peer.Config{Deployment: "d", Dial: l.Dial(link.Direct)})
	const timeout, late = 300 * time.Millisecond, 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	began := time.Now()
	if _, err := c.To(ln.Addr().String()).Fetch(ctx, &wire.FetchRequest{}); err == nil {
		t.Error("no error")
	}
	if took := time.Since(began); took > timeout+late {
		t.Errorf("ended after %v, want %v at most", took, timeout+late)
	}
}
