// Package faulty serves bytes that are no answers, for tests of those who read answers. For
// the clients of a store it has the calls whose answers they read.
//
// # Usage
//
//	addr := faulty.Serve(t, faulty.Bytes{Start: "HTTP/1.1 000 zero\r\n\r\n"})
package faulty

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"tanagerchute"
)

// Bytes is what a server sends in place of an answer.
type Bytes struct {
	Start string
	Rest  string // is sent again and again until the client closes the connection, none if empty
}

// Serve starts a server that reads a request on each connection, sends b and closes the
// connection. It returns its address. The server ends with the test.
func Serve(t testing.TB, b Bytes) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, err = c.Write([]byte(b.Start))
		rest := []byte(b.Rest) // once, since tests count what is allocated
		for err == nil && len(rest) > 0 {
			_, err = c.Write(rest)
		}
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// StoreCalls are the calls to a store whose answers hold something.
var StoreCalls = map[string]func(ctx context.Context, s tanagerchute.Store) error{
	"get": func(ctx context.Context, s tanagerchute.Store) error { _, _, err := s.Get(ctx, "my/key"); return err },
	"list": func(ctx context.Context, s tanagerchute.Store) error {
		_, _, err := s.List(ctx, "my/", tanagerchute.Stale)
		return err
	},
	"commit": func(ctx context.Context, s tanagerchute.Store) error {
		_, err := s.Commit(ctx, tanagerchute.Txn{Puts: []tanagerchute.Put{{Key: "my/key", Value: []byte("v")}}})
		return err
	},
	"grant": func(ctx context.Context, s tanagerchute.Store) error { _, err := s.Grant(ctx, time.Second); return err },
}
