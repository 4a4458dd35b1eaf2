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

	"tanagerchute/core/beat"
	"tanagerchute/core/call"
	"tanagerchute/core/dedup"
	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/core/owner"
	"tanagerchute/io/gate"
	"tanagerchute/io/native"
)

// newGate returns a running gate for a backend server with one slot that answers
// each call after the given time.
func newGate(t *testing.T, work time.Duration) *gate.Gate {
	t.Helper()
	g := gate.New(gate.Config{Node: "n", Service: "budir", Dialect: native.Dialect{}, NoProbe: true, Journal: event.NewJournal(event.Config{Capacity: 16})})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.Run(ctx)
	g.Announce(gate.Backend{Address: startServer(t, work), Slots: 1})
	return g
}

func startServer(t *testing.T, work time.Duration) string {
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(work):
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// serve serves a call with the given time until its deadline in the background.
func serve(g *gate.Gate, left time.Duration) <-chan call.Reply {
	now := time.Now()
	c := call.Call{
		ID: dedup.NewID(), Attempt: dedup.NewID(), Service: "budir", Method: http.MethodGet, Path: "/", Header: http.Header{},
		Deadline: now.Add(left), WaitUntil: now.Add(left),
	}
	out := make(chan call.Reply, 1)
	go func() { out <- g.Serve(context.Background(), c) }()
	return out
}

// TestQueuedCallIsRefusedWhenServerIsReplaced guards against a call that stays in the
// queue of a server that another one has replaced, where nothing starts it.
func TestQueuedCallIsRefusedWhenServerIsReplaced(t *testing.T) {
	is := is.New(t)
	g := newGate(t, 3*time.Second)
	serve(g, 5*time.Second)
	time.Sleep(100 * time.Millisecond)
	queued := serve(g, 5*time.Second)
	time.Sleep(100 * time.Millisecond)
	is.Equal(g.Load().Queued, 1)
	g.Announce(gate.Backend{Address: startServer(t, 0), Slots: 1})
	select {
	case r := <-queued:
		is.Equal(r.Fate, call.NotRun)
		is.True(r.ResendIsFree()) // another upstream may run it
	case <-time.After(time.Second):
		t.Fatal("the queued call was not refused")
	}
}

// TestDeadlineInQueueIsNotCanceled checks the cause of a refusal at the deadline of a
// queued call.
func TestDeadlineInQueueIsNotCanceled(t *testing.T) {
	is := is.New(t)
	g := newGate(t, 2*time.Second)
	serve(g, 3*time.Second)
	time.Sleep(100 * time.Millisecond)
	r := <-serve(g, 200*time.Millisecond)
	is.Equal(r.Fate, call.NotRun)
	is.True(r.Cause != call.CauseCanceled)
}

// healthDialect is native.Dialect with health checks that name the server.
type healthDialect struct{ native.Dialect }

// ParseHealthCheck implements tanagerchute.Dialect.
func (healthDialect) ParseHealthCheck(*http.Response) (string, bool) { return "i-1", true }

// TestLimitKnownToCallersAfterHealthCheck guards against a restarted node that takes the
// answer to its health check, which names no limit, for the end of a limit that other
// nodes have heard of.
func TestLimitKnownToCallersAfterHealthCheck(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/" {
			arrived.Add(1)
			time.Sleep(300 * time.Millisecond)
		}
	}))
	t.Cleanup(srv.Close)
	g := gate.New(gate.Config{Node: "n", Service: "budir", Dialect: healthDialect{}, NoProbe: true, Journal: event.NewJournal(event.Config{Capacity: 16})})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.Run(ctx)
	g.LearnOwner(owner.Claim{ID: "i-1", HeardMs: 1}, owner.FromMembers)
	g.DiscoverBackend(ctx, "/health", gate.Backend{Address: strings.TrimPrefix(srv.URL, "http://"), Slots: 8})
	now := time.Now()
	for range 8 {
		c := call.Call{
			ID: dedup.NewID(), Attempt: dedup.NewID(), Service: "budir", Method: http.MethodGet, Path: "/", Header: http.Header{},
			Deadline: now.Add(time.Second), WaitUntil: now.Add(time.Second),
			Notice: call.ServerNotice{Server: "i-1", RateLimit: 1, HeardAt: now.Add(-time.Second)},
		}
		go g.Serve(context.Background(), c)
	}
	time.Sleep(200 * time.Millisecond)
	is.Equal(arrived.Load(), int32(0)) // the first turn comes after a second
}

// TestFormerLeaveOfAnotherServer guards against a server that is never used, because the
// one before it at its address had left and started later by its clock.
func TestFormerLeaveOfAnotherServer(t *testing.T) {
	is := is.New(t)
	g := gate.New(gate.Config{Node: "n", Service: "budir", Dialect: native.Dialect{}, NoProbe: true, Journal: event.NewJournal(event.Config{Capacity: 16})})
	h := beat.Heartbeat{ID: "new", Service: "budir", Address: "127.0.0.1:1", Slots: 1, StartMs: 5, Sequence: 1}
	is.Equal(g.ObserveHeartbeat(h), beat.Fresh)
	g.ObserveFormerLeave(time.Now(), member.ServerID{ID: "old", StartMs: 10})
	h.Sequence++
	is.Equal(g.ObserveHeartbeat(h), beat.Fresh)
}

// TestFormerLeaveBehindDiscoveredServer guards against a server that is taken out of use since a
// node hears late of the leave of the one before it. It was found by a health check, and has
// sent no heartbeat yet.
func TestFormerLeaveBehindDiscoveredServer(t *testing.T) {
	is := is.New(t)
	g := gate.New(gate.Config{Node: "n", Service: "budir", Dialect: native.Dialect{}, NoProbe: true, Journal: event.NewJournal(event.Config{Capacity: 16})})
	g.Announce(gate.Backend{Address: "127.0.0.1:1", Slots: 1, ID: "new"})
	g.ObserveFormerLeave(time.Now(), member.ServerID{ID: "old", StartMs: 10})
	is.True(g.Uses("new"))
	g.ObserveFormerLeave(time.Now(), member.ServerID{ID: "new", StartMs: 10})
	is.True(!g.Uses("new"))
}
