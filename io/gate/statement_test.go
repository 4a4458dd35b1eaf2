package gate_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/io/gate"
	"tanagerchute/io/native"
)

// limitServer is a backend server that names a rate limit in each answer, none if it
// is empty.
type limitServer struct {
	limit atomic.Value // string
	addr  string
}

func newLimitServer(t *testing.T) *limitServer {
	s := &limitServer{}
	s.limit.Store("")
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if l := s.limit.Load().(string); l != "" {
			w.Header().Set(native.HeaderRateLimit, l)
		}
	}))
	t.Cleanup(srv.Close)
	s.addr = strings.TrimPrefix(srv.URL, "http://")
	return s
}

// hearLimits returns a running gate, its journal, and the address of its server, which
// has named the given limits one after the other.
func hearLimits(t *testing.T, limits []string) (*gate.Gate, *event.Journal, string) {
	t.Helper()
	is := is.New(t)
	j := event.NewJournal(event.Config{Capacity: 64})
	g := gate.New(gate.Config{Node: "n", Service: "budir", Dialect: native.Dialect{}, NoProbe: true, Journal: j})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.Run(ctx)
	srv := newLimitServer(t)
	g.Announce(gate.Backend{Address: srv.addr, Slots: 4})
	for _, l := range limits {
		srv.limit.Store(l)
		r := <-serve(g, 2*time.Second)
		is.Equal(r.Fate, call.Answered)
	}
	return g, j, srv.addr
}

// lastOf returns the last event of the given kinds, zero if there is none.
func lastOf(j *event.Journal, kinds ...event.Kind) event.Event {
	var last event.Event
	for _, e := range j.Find("") {
		for _, k := range kinds {
			if e.Kind == k {
				last = e
			}
		}
	}
	return last
}

// TestLastStatementIsRecorded guards against a journal whose last event about a rate
// limit is outdated, because the limit changed twice within the shortest time between
// two events.
func TestLastStatementIsRecorded(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits []string
		kind   event.Kind
		cause  string
	}{
		{"another limit", []string{"500", "900"}, event.UpstreamLimited, "900 requests a second"},
		{"limited again", []string{"500", "", "900"}, event.UpstreamLimited, "900 requests a second"},
		{"unlimited again", []string{"500", "", "900", ""}, event.UpstreamUnlimited, "no limit"},
		{"malformed", []string{"many", "-7"}, event.StatementMalformed, `"-7" is not a number`},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, j, _ := hearLimits(t, c.limits)
			time.Sleep(1500 * time.Millisecond) // longer than the time between two events
			last := lastOf(j, event.UpstreamLimited, event.UpstreamUnlimited, event.StatementMalformed)
			is.Equal(last.Kind, c.kind)
			is.True(strings.Contains(last.Cause, c.cause)) // the last event says what the server said last
		})
	}
}

// TestStatementsOfReplacedServer guards against an event about a server that is recorded
// after another one has taken its place.
func TestStatementsOfReplacedServer(t *testing.T) {
	is := is.New(t)
	g, j, addr := hearLimits(t, []string{"500", "900"})
	g.Announce(gate.Backend{Address: newLimitServer(t).addr, Slots: 4})
	events := j.Find("")
	is.True(len(events) >= 2)
	last, ready := events[len(events)-2], events[len(events)-1]
	is.Equal(ready.Kind, event.UpstreamReady)
	is.Equal(last.Kind, event.UpstreamLimited)
	is.Equal(last.Subject, addr)
	is.True(strings.Contains(last.Cause, "900 requests a second"))
}
