package gate_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/call"
	"tanagerchute/core/dedup"
	"tanagerchute/core/event"
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
