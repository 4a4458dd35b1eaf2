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
	"tanagerchute/io/native"
)

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
