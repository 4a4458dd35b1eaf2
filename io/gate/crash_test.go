package gate_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/call"
	"tanagerchute/core/crash"
	"tanagerchute/core/dedup"
	"tanagerchute/core/event"
	"tanagerchute/io/gate"
	"tanagerchute/io/native"
)

// registry is a gate.CrashRegistry with one judgement for all works.
type registry struct {
	mu        sync.Mutex
	judgement crash.Judgement
	trials    int // that may still begin
	ended     [][]crash.Work
	completed []crash.Work
}

func (r *registry) RecordEnd(_ string, end crash.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, end.Works)
}

func (r *registry) RecordCompleted(w crash.Work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completed = append(r.completed, w)
}

func (r *registry) Judge(crash.Work, string) crash.Judgement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.judgement
}

func (r *registry) BeginTrial(crash.Work) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trials--
	return r.trials >= 0
}

func (r *registry) set(j crash.Judgement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.judgement = j
}

// newRegistryGate returns a running gate with a registry, for a backend server at addr with
// one slot.
func newRegistryGate(t *testing.T, r *registry, addr string) *gate.Gate {
	t.Helper()
	g := gate.New(gate.Config{Node: "n", Service: "budir", Dialect: native.Dialect{}, NoProbe: true, Crashes: r, Journal: event.NewJournal(event.Config{Capacity: 16})})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.Run(ctx)
	g.Announce(gate.Backend{Address: addr, Slots: 1})
	return g
}

// TestHeldCallIsRefused checks that a call that is held back does not reach the backend
// server, also if it was queued before it was known to end servers, and that of the calls
// that are due as a trial one runs, at the node that runs its trials.
func TestHeldCallIsRefused(t *testing.T) {
	is := is.New(t)
	r := &registry{}
	g := newRegistryGate(t, r, startServer(t, 300*time.Millisecond))
	running := serve(g, 5*time.Second)
	time.Sleep(50 * time.Millisecond)
	queued := serve(g, 5*time.Second)
	time.Sleep(50 * time.Millisecond)
	is.Equal(g.Load().Queued, 1)
	r.set(crash.Judgement{Held: true, RetryAfter: 7 * time.Second})
	isHeld := func(reply call.Reply) {
		t.Helper()
		is.Equal(reply.Fate, call.NotRun)
		is.Equal(reply.Cause, call.CauseCrashesServers)
	}
	late := <-serve(g, 5*time.Second)
	isHeld(late)
	is.Equal(late.RetryAfter, 7*time.Second)
	is.Equal((<-running).Fate, call.Answered)
	isHeld(<-queued)
	is.Equal(len(r.completed), 1)

	r.set(crash.Judgement{TrialDue: true, TrialNode: "other"})
	isHeld(<-serve(g, 5*time.Second))
	r.set(crash.Judgement{TrialDue: true, TrialNode: "n"})
	r.trials = 1
	is.Equal((<-serve(g, 5*time.Second)).Fate, call.Answered)
	isHeld(<-serve(g, 5*time.Second))
}

// TestEndOfServerIsRecordedBeforeNextServerGetsCalls checks that the works which ran at a
// server that ended are known when another server takes its place, although no connection
// was refused.
func TestEndOfServerIsRecordedBeforeNextServerGetsCalls(t *testing.T) {
	is := is.New(t)
	r := &registry{}
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(srv.Close)
	g := newRegistryGate(t, r, strings.TrimPrefix(srv.URL, "http://"))
	c := call.Call{
		ID: dedup.NewID(), Attempt: dedup.NewID(), Service: "budir", Method: http.MethodGet, Path: "/", Header: http.Header{},
		Deadline: time.Now().Add(time.Second), WaitUntil: time.Now().Add(time.Second), Work: 77,
	}
	is.Equal(g.Serve(t.Context(), c).Fate, call.Unknown)
	is.Equal(len(r.ended), 0) // it may only have lost the answer
	g.Announce(gate.Backend{Address: startServer(t, 0), Slots: 1})
	is.Equal(r.ended, [][]crash.Work{{77}})
}
