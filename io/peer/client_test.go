package peer_test

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"

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
