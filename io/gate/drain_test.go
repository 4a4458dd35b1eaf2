package gate

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
	"tanagerchute/core/stop"
	"tanagerchute/io/native"
)

// TestStopStartsNoCallOfOtherNodeBeyondItsEnd guards against a lookup that a stopping node starts for
// another one, which stops too, and gives up at its own end, when the sender has no time left to
// send it elsewhere: its caller got 502 while the server worked.
func TestStopStartsNoCallOfOtherNodeBeyondItsEnd(t *testing.T) {
	now := time.Now()
	end := now.Add(4 * time.Second)
	for _, c := range []struct {
		name       string
		from       string
		atMostOnce bool
		deadline   time.Time
		want       bool // it is started
	}{
		{"lookup of another node, beyond the end", "m", false, end.Add(time.Second), false},
		{"lookup of another node, in time", "m", false, end.Add(-time.Second), true},
		{"booking of another node, beyond the end", "m", true, end.Add(time.Second), false},
		{"lookup of a caller of this node", "n", false, end.Add(time.Second), true},
		{"booking of a caller of this node", "n", true, end.Add(time.Second), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := New(Config{Node: "n", Service: "s", Dialect: native.Dialect{}, Journal: event.NewJournal(event.Config{Capacity: 16})})
			g.Announce(Backend{Address: "127.0.0.1:1", Slots: 1})
			g.PrepareStop(stop.Plan{LastArrival: now.Add(2 * time.Second), LastStart: now.Add(3 * time.Second), End: end})
			_, _, refusal := g.requestAdmission("a", call.Call{
				ID: "a", Attempt: "a", Service: "s", Method: "GET", Path: "/", From: c.from, AtMostOnce: c.atMostOnce, Deadline: c.deadline, WaitUntil: c.deadline,
			})
			if started := refusal == nil; started != c.want {
				t.Fatalf("started: %v, want %v", started, c.want)
			}
			if refusal != nil && (refusal.Fate != call.NotRun || refusal.Cause != call.CauseDraining) {
				t.Fatalf("refused as %v, %s", refusal.Fate, refusal.Cause)
			}
		})
	}
}

// TestDrainAwaitsStartedCall guards against a drain that ends while a call runs: the call
// was started from the queue, and its goroutine had not run by the time the drain began.
func TestDrainAwaitsStartedCall(t *testing.T) {
	is := is.New(t)
	running, answer := make(chan struct{}), make(chan struct{})
	ts := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(running)
		<-answer
	}))
	defer ts.Close()
	g := New(Config{Node: "n", Service: "s", Dialect: native.Dialect{}, Journal: event.NewJournal(event.Config{Capacity: 64})})
	g.Announce(Backend{Address: strings.TrimPrefix(ts.URL, "http://"), Slots: 1})
	newCall := func() call.Call {
		deadline := time.Now().Add(5 * time.Second)
		return call.Call{ID: dedup.NewID(), Attempt: dedup.NewID(), Service: "s", Method: "GET", Path: "/", Host: "s", Header: http.Header{}, Deadline: deadline, WaitUntil: deadline}
	}
	first, second := newCall(), newCall()
	admission, _, refusal := g.requestAdmission(first.Attempt, first)
	is.True(refusal == nil)
	_, wait, refusal := g.requestAdmission(second.Attempt, second)
	is.True(refusal == nil && wait != nil) // the only slot is taken
	g.finish(admission, first, call.Reply{Fate: call.Answered, Status: http.StatusOK}, time.Millisecond)
	g.StartDrain()
	drained := make(chan error, 1)
	go func() { drained <- g.Drain(context.Background()) }()
	select {
	case <-drained:
		t.Fatal("the drain has ended before the call was sent to the server")
	case <-time.After(20 * time.Millisecond):
	}
	go func() {
		if r := g.awaitAdmission(context.Background(), admission, second.Attempt, wait); r == nil {
			g.callBackend(context.Background(), admission, second)
		}
	}()
	<-running
	select {
	case <-drained:
		close(answer)
		t.Fatal("the drain has ended while the call runs")
	case <-time.After(20 * time.Millisecond):
	}
	close(answer)
	is.NoErr(<-drained)
}
