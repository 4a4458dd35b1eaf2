package etcd_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"runtime"
	"strings"
	"testing"
	"time"

	"tanagerchute"
	"tanagerchute/internal/faulty"
	"tanagerchute/io/etcd"
)

// newClient returns a client of a store that sends b in place of each answer.
func newClient(t *testing.T, b faulty.Bytes) *etcd.Client {
	t.Helper()
	c := etcd.New(etcd.Config{Endpoints: []string{"http://" + faulty.Serve(t, b)}, Timeout: time.Second})
	t.Cleanup(c.Close)
	return c
}

// calls returns the calls whose answers hold something.
func calls() map[string]func(ctx context.Context, s tanagerchute.Store) error {
	out := maps.Clone(faulty.StoreCalls)
	out["keep alive"] = func(ctx context.Context, s tanagerchute.Store) error {
		return s.KeepAlive(ctx, tanagerchute.Lease{ID: 7})
	}
	out["watch"] = func(ctx context.Context, s tanagerchute.Store) error {
		return s.Watch(ctx, "my/key", tanagerchute.Revision{Number: 1}, func() {}, func(tanagerchute.Event) {})
	}
	return out
}

// TestBrokenAnswer guards against bytes that are taken for an answer of the store: for a key that
// does not exist, an empty list, a condition that does not hold, a lease that has ended, or a
// refusal. It is not known then whether the call was executed.
func TestBrokenAnswer(t *testing.T) {
	const okLine = "HTTP/1.1 200 OK\r\n"
	const whole = `{"header":{"revision":"5"},"ID":"7","succeeded":true,"result":{"ID":"7","TTL":"3"}}`
	for name, raw := range map[string]string{
		"nothing":                     "",
		"no body":                     okLine + "Content-Length: 0\r\n\r\n",
		"empty object":                okLine + "Content-Length: 2\r\n\r\n{}",
		"null":                        okLine + "Content-Length: 4\r\n\r\nnull",
		"cut body":                    okLine + "\r\n" + whole[:60],
		"blank in a name":             okLine + "Store Era: 1\r\nConnection: close\r\n\r\n" + whole,
		"blank behind Content-Length": okLine + "Content-Length : 2\r\nConnection: close\r\n\r\n" + whole,
		"status 000":                  "HTTP/1.1 000 zero\r\nConnection: close\r\n\r\n" + whole,
		"status 204":                  "HTTP/1.1 204 No Content\r\n\r\n",
		"status 307":                  "HTTP/1.1 307 Temporary Redirect\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
		"status 600":                  "HTTP/1.1 600 high\r\nContent-Length: 0\r\n\r\n",
	} {
		c := newClient(t, faulty.Bytes{Start: raw})
		for call, do := range calls() {
			err := do(t.Context(), c)
			if !errors.Is(err, tanagerchute.ErrOutcomeUnknown) && (call == "commit" || call == "grant" || call == "keep alive" || !errors.Is(err, tanagerchute.ErrUnavailable)) {
				t.Errorf("%s, %s: error %v", name, call, err)
			}
		}
	}
	c := newClient(t, faulty.Bytes{Start: okLine + "Connection: close\r\n\r\n" + whole})
	for call, do := range calls() {
		if err := do(t.Context(), c); err != nil && call != "watch" {
			t.Errorf("whole answer, %s: %v", call, err)
		}
	}
}

// TestBrokenKey guards against a key, or an event, without a name or a revision.
func TestBrokenKey(t *testing.T) {
	for _, kv := range []string{"{}", "null", `{"key":"bXk="}`, `{"mod_revision":"4"}`} {
		raw := fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+`{"header":{"revision":"5"},"kvs":[%s],"result":{"events":[{"kv":%s}]}}`, kv, kv)
		c := newClient(t, faulty.Bytes{Start: raw})
		if kvs, _, err := c.List(t.Context(), "my/", tanagerchute.Stale); !errors.Is(err, tanagerchute.ErrUnavailable) {
			t.Errorf("list of %s: %v, error %v", kv, kvs, err)
		}
		err := c.Watch(t.Context(), "my/", tanagerchute.Revision{Number: 1}, func() {}, func(e tanagerchute.Event) { t.Errorf("event %s: %+v", kv, e) })
		if !errors.Is(err, tanagerchute.ErrUnavailable) {
			t.Errorf("watch, event %s: error %v", kv, err)
		}
	}
}

// TestEndlessAnswer guards against an answer of the store that takes memory for as long as the
// store sends it.
func TestEndlessAnswer(t *testing.T) {
	const okLine, allowedMB = "HTTP/1.1 200 OK\r\n", 60
	for name, b := range map[string]faulty.Bytes{
		"short fields": {Start: okLine, Rest: strings.Repeat("a:\r\n", 1000)},
		"value":        {Start: okLine + "X-A: ", Rest: strings.Repeat("a", 4000)},
		"body":         {Start: okLine + "\r\n", Rest: strings.Repeat(" ", 4000)},
		"text":         {Start: okLine + "\r\n" + `{"result":{"x":"`, Rest: strings.Repeat("a", 4000)},
	} {
		c := newClient(t, b)
		for _, call := range []string{"get", "watch"} {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			if err := calls()[call](ctx, c); err == nil {
				t.Errorf("%s, %s: no error", name, call)
			}
			runtime.ReadMemStats(&after)
			cancel()
			if mb := (after.TotalAlloc - before.TotalAlloc) >> 20; mb > allowedMB {
				t.Errorf("%s, %s: %d MB allocated", name, call, mb)
			}
		}
	}
}
