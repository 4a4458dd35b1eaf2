package integ

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"tanagerchute/internal/procs"
	"tanagerchute/io/fakekv"
	"tanagerchute/io/server"
)

// keyWarmup is longer than the time after a common start of all nodes in which calls
// with an idempotency key end as unknown. A key is recorded by one node, its home. In
// that time, no node has been a member for long enough to rule out that an earlier
// home of the key ran the work.
const keyWarmup = 6 * time.Second

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// booking is a call with an idempotency key, and all answers that its caller got.
type booking struct {
	key     string
	answers []answer
}

// last returns the last answer.
func (b *booking) last() answer { return b.answers[len(b.answers)-1] }

// onlyNotRun reports whether every answer said that the work has not run.
func (b *booking) onlyNotRun() bool {
	for _, a := range b.answers {
		if a.err != nil || a.outcome != "not_run" {
			return false
		}
	}
	return true
}

// checkBookings compares the ledgers with the answers. Each booking must have run at
// most once. It must have run if its last answer implies that, and it must not have
// run if all answers were not_run. The last answer must be for the booking's own key.
func (f *fleet) checkBookings(bookings []*booking) {
	f.t.Helper()
	runs := f.runCounts()
	outcomes := map[string]int{}
	for _, b := range bookings {
		n := runs[b.key]
		if n > 1 {
			f.t.Errorf("%s ran %d times: %v", b.key, n, b.answers)
		}
		if n > 0 && b.onlyNotRun() {
			f.t.Errorf("%s ran, but all its answers were not_run: %v", b.key, b.answers)
		}
		if n == 0 && b.last().reportsRun() {
			f.t.Errorf("%s was answered but did not run: %v", b.key, b.answers)
		}
		if b.last().reportsRun() && !strings.Contains(b.last().body, b.key) {
			f.t.Errorf("%s got the answer of another call: %q", b.key, b.last().body)
		}
		outcomes[describe(b.last())]++
	}
	f.t.Logf("outcomes of %d bookings: %v", len(bookings), outcomes)
}

// describe returns the outcome of an answer for logs.
func describe(a answer) string {
	switch {
	case a.err != nil:
		return "no answer: " + a.err.Error()
	case a.reportsRun():
		return "answered"
	case a.outcome == "":
		return fmt.Sprint("status ", a.status)
	}
	return a.outcome + " " + a.cause
}

// book sends a booking to a node and records the answer.
func (f *fleet) book(in *instance, b *booking) answer {
	a := f.call(in, "POST", "skraning", "/bookings", b.key)
	b.answers = append(b.answers, a)
	return a
}

// TestBackendFaults injects each fault at all backend servers of a service, sends a
// booking, removes the fault, and repeats the booking through every node. It guards
// against a second run of work whose outcome was unknown, and against a wrong
// outcome in the first answer.
func TestBackendFaults(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	time.Sleep(keyWarmup)
	for _, c := range []struct {
		name   string
		faults server.Faults
		runs   int    // expected number of runs if the outcome is unknown
		first  string // expected outcome of the first answer
	}{
		{"connection cut before the run", server.Faults{DropBefore: true}, 0, "unknown"},
		{"connection cut after the run", server.Faults{DropAfter: true}, 1, "unknown"},
		{"connection cut in the middle of the answer", server.Faults{CutAnswer: true}, 1, "unknown"},
		{"answer with the id of another call", server.Faults{WrongAnswerID: true}, 1, "unknown"},
		{"answer over the size limit", server.Faults{HugeAnswer: true}, 1, "unknown"},
		{"never answers", server.Faults{Hang: true}, 1, "unknown"},
		{"call refused by load shedding", server.Faults{Shed: true}, 0, "not_run"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f.t = t
			for _, in := range f.instancesOf("", "skraning") {
				f.setFaults(in, c.faults)
			}
			b := &booking{key: newKey()}
			plain := f.call(f.Instances[0], "POST", "skraning", "/deposits", "") // without a key
			is.Equal(plain.outcome, c.first)
			a := f.book(f.Instances[0], b)
			if c.first == "unknown" {
				is.Equal(a.outcome, c.first)
			} else {
				is.True(!a.reportsRun())
			}
			for _, in := range f.instancesOf("", "skraning") {
				f.setFaults(in, server.Faults{})
			}
			// Without the fault, the booking may run only if it is known not to
			// have run before.
			for _, in := range f.Instances {
				f.book(in, b)
			}
			f.checkBookings([]*booking{b})
			if c.first == "unknown" {
				is.Equal(f.runCounts()[b.key], c.runs)
			}
			f.eventually(20*time.Second, "all nodes are ready again", func() bool { return f.AllReady(1) })
		})
	}
}

// TestKeyOfKilledHomeStaysUnknown guards against work that runs again because the
// members forget the home of its key: the home is killed while the work runs, and the
// caller repeats the key for longer than the margin of package homes.
func TestKeyOfKilledHomeStaysUnknown(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	file := f.writeFile("patient.jsonc", patientDocument())
	f.mustRun("apply", "-wait", "-node", f.Instances[0].AdminAddr, "-store", f.StoreURL, "-parent", "1", file)
	time.Sleep(keyWarmup)
	var all []*booking
	var mu sync.Mutex
	var wg sync.WaitGroup
	victim := f.instancesOf("hafnar", "skraning")[0]
	sender := f.instancesOf("selfoss", "skraning")[0]
	for range 30 { // a third of the keys has the victim as its home
		wg.Go(func() {
			b := &booking{key: "hafnar." + newKey()}
			b.answers = append(b.answers, f.call(sender, "POST", "skraning", "/bookings?work=500ms", b.key))
			mu.Lock()
			defer mu.Unlock()
			all = append(all, b)
		})
	}
	time.Sleep(250 * time.Millisecond)
	victim.Node.Kill()
	f.start(victim.Node)
	wg.Wait()
	unknown := 0
	for until := time.Now().Add(9 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		unknown = 0
		for _, b := range all {
			if !b.last().reportsRun() && !f.book(sender, b).reportsRun() {
				unknown++
			}
		}
	}
	f.checkBookings(all)
	t.Logf("%d of %d bookings are unknown in the end", unknown, len(all))
}

// TestRepeatDuringPlannedStopRunsOnce guards against work that runs again because the
// home of its key has stepped down: the home stops as planned while the work runs, serves
// on for the linger time, and the caller repeats the key.
func TestRepeatDuringPlannedStopRunsOnce(t *testing.T) {
	f := startFleet(t, fleetOptions{serveOn: true})
	file := f.writeFile("patient.jsonc", patientDocument())
	f.mustRun("apply", "-wait", "-node", f.Instances[0].AdminAddr, "-store", f.StoreURL, "-parent", "1", file)
	time.Sleep(keyWarmup)
	sender := f.instancesOf("selfoss", "skraning")[0]
	const number = 30 // a third of the keys has the stopping node as its home
	all := make([]*booking, number)
	var wg sync.WaitGroup
	send := func(b *booking, answer *answer) {
		wg.Go(func() { *answer = f.call(sender, "POST", "skraning", "/bookings?work=1500ms", b.key) })
	}
	for i := range all {
		all[i] = &booking{key: "hafnar." + newKey(), answers: make([]answer, 2)}
		send(all[i], &all[i].answers[0])
	}
	time.Sleep(300 * time.Millisecond)
	f.instancesOf("hafnar", "skraning")[0].Node.Signal(syscall.SIGTERM)
	time.Sleep(400 * time.Millisecond)
	for _, b := range all {
		send(b, &b.answers[1])
	}
	wg.Wait()
	f.checkBookings(all)
}

// TestConcurrentRepeatsRunOnce sends a booking through all nodes at the same time.
// It must run once, and all callers must get its answer. This is repeated with
// several bookings.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetOptions{work: 50 * time.Millisecond})
	time.Sleep(keyWarmup)
	var all []*booking
	for range 10 {
		key := newKey()
		got := make([]answer, len(f.Instances))
		var wg sync.WaitGroup
		for i, in := range f.Instances {
			wg.Go(func() { got[i] = f.call(in, "POST", "skraning", "/bookings", key) })
		}
		wg.Wait()
		all = append(all, &booking{key: key, answers: got})
		for _, a := range got {
			is.True(a.reportsRun())
			is.Equal(a.body, got[0].body)
		}
	}
	f.checkBookings(all)
}

// TestBookingsWithoutStore sends bookings while the store is down. They must run if
// their keys contain the time of issue. A key without it, an opaque key, has to be
// claimed in the store, so the outcome of its booking must be unknown.
func TestBookingsWithoutStore(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetOptions{})
	time.Sleep(keyWarmup)
	before := f.call(f.Instances[0], "POST", "skraning", "/bookings", "order-1")
	is.True(before.reportsRun()) // an opaque key while the store is up
	again := f.call(f.Instances[5], "POST", "skraning", "/bookings", "order-1")
	is.Equal(again.body, before.body)

	f.setStoreFaults(fakekv.Faults{Down: true})
	var all []*booking
	for i := range 30 {
		b := &booking{key: newKey()}
		all = append(all, b)
		is.True(f.book(f.Instances[i%9], b).reportsRun())
		is.True(f.book(f.Instances[(i+4)%9], b).reportsRun())
	}
	opaque := &booking{key: "order-2"}
	is.Equal(f.book(f.Instances[3], opaque).outcome, "unknown")
	f.checkBookings(append(all, opaque))
	is.Equal(f.runCounts()["order-1"], 1)
}

// TestBookingsDuringFailures sends bookings that callers repeat through other nodes
// and data centres. Meanwhile nodes are killed, paused and restarted, their
// connections are reset or stop carrying data, and the store fails temporarily.
// No booking may run twice or get a wrong answer.
func TestBookingsDuringFailures(t *testing.T) {
	f := startFleet(t, fleetOptions{work: 20 * time.Millisecond, linger: 2 * time.Second})
	time.Sleep(keyWarmup)
	ctx, cancel := context.WithTimeout(context.Background(), 24*time.Second)
	defer cancel()
	var mu sync.Mutex
	var all []*booking
	var wg sync.WaitGroup
	for w := range 16 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(w), 1))
			for ctx.Err() == nil {
				b := f.bookWithRepeats(rng)
				mu.Lock()
				all = append(all, b)
				mu.Unlock()
			}
		})
	}
	f.injectFailures(ctx)
	wg.Wait()
	f.checkBookings(all)
	f.eventually(30*time.Second, "all nodes are ready again", func() bool { return f.AllReady(1) })
	a := f.call(f.Instances[0], "POST", "skraning", "/bookings", "")
	is.New(t).True(a.reportsRun())
}

// bookWithRepeats sends a booking and repeats it through random nodes until an
// answer reports that it ran, at most five times.
func (f *fleet) bookWithRepeats(rng *rand.Rand) *booking {
	b := &booking{key: newKey()}
	for range 6 {
		a := f.book(f.Instances[rng.IntN(len(f.Instances))], b)
		if a.reportsRun() {
			// Send one more repeat after the answer, as an impatient caller does.
			f.book(f.Instances[rng.IntN(len(f.Instances))], b)
			if !b.last().reportsRun() {
				b.answers = append(b.answers, a) // the earlier answer still holds
			}
			return b
		}
		time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
	}
	return b
}

// injectFailures injects failures at random nodes, one at a time, until ctx ends.
func (f *fleet) injectFailures(ctx context.Context) {
	rng := rand.New(rand.NewPCG(20261203, 1))
	pause := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	for round := 0; ctx.Err() == nil; round++ {
		in := f.Instances[rng.IntN(len(f.Instances))]
		switch round % 6 {
		case 0:
			in.Node.Kill()
			pause(2 * time.Second)
			f.start(in.Node)
		case 1:
			in.Node.Signal(syscall.SIGSTOP)
			pause(4 * time.Second)
			in.Node.Signal(syscall.SIGCONT)
		case 2:
			f.addToxic(in, `{"name": "cut", "type": "reset_peer", "attributes": {"timeout": 0}}`)
			pause(time.Second)
			f.removeToxic(in, "cut")
		case 3:
			f.setStoreFaults(fakekv.Faults{Down: true})
			pause(2 * time.Second)
			f.setStoreFaults(fakekv.Faults{})
		case 4:
			f.addToxic(in, `{"name": "mute", "type": "timeout", "stream": "upstream", "attributes": {"timeout": 0}}`)
			pause(2 * time.Second)
			f.removeToxic(in, "mute")
		case 5:
			in.Node.Signal(syscall.SIGTERM)
			select {
			case <-in.Node.Exited:
			case <-time.After(40 * time.Second):
				f.t.Error("the node did not exit within 40 s after SIGTERM")
				in.Node.Kill()
			}
			f.start(in.Node)
		}
		pause(500 * time.Millisecond)
	}
}

// addToxic adds a fault to the proxy between a node and its peers.
func (f *fleet) addToxic(in *instance, toxicJSON string) {
	if err := procs.AddToxic(in.PeerProxy, toxicJSON); err != nil {
		f.t.Error(err)
	}
}

// removeToxic removes a fault by its name.
func (f *fleet) removeToxic(in *instance, name string) {
	if err := procs.RemoveToxic(in.PeerProxy, name); err != nil {
		f.t.Error(err)
	}
}

// TestRollingRestartFailsNoCall restarts every node in turn under load, with a
// planned stop. No call may fail.
func TestRollingRestartFailsNoCall(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetOptions{work: 20 * time.Millisecond})
	time.Sleep(keyWarmup)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var all []*booking
	var failed []string
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(w), 2))
			for ctx.Err() == nil {
				b := &booking{key: newKey()}
				a := f.bookAtListeningNode(rng, b)
				mu.Lock()
				all = append(all, b)
				if !a.reportsRun() {
					failed = append(failed, describe(a)+" "+b.key)
				}
				mu.Unlock()
			}
		})
	}
	// Stop one node in each data centre at the same time.
	for i := range 3 {
		var stops sync.WaitGroup
		for _, c := range dataCentres {
			in := f.instancesOf(c, "")[i]
			stops.Go(func() {
				if code := f.terminate(in.Node, 40*time.Second); code != 0 {
					t.Errorf("%s exited with status %d", in.Spec.Name, code)
				}
			})
		}
		stops.Wait()
		for _, c := range dataCentres {
			f.start(f.instancesOf(c, "")[i].Node)
		}
		f.eventually(20*time.Second, "all nodes are ready after the restart", func() bool { return f.AllReady(1) })
	}
	cancel()
	wg.Wait()
	f.checkBookings(all)
	for _, x := range failed {
		t.Log(x)
	}
	is.Equal(len(failed), 0)
}

// bookAtListeningNode sends a booking to a random node. If the connection is
// refused, it tries the next node, as a caller with a list of addresses does. This
// can't run the booking twice, since nothing is sent over a refused connection.
func (f *fleet) bookAtListeningNode(rng *rand.Rand, b *booking) answer {
	var a answer
	n := rng.IntN(len(f.Instances))
	for i := range f.Instances {
		a = f.book(f.Instances[(n+i)%len(f.Instances)], b)
		if a.err == nil || !strings.Contains(a.err.Error(), "connection refused") {
			return a
		}
	}
	return a
}

// TestDeadlineCancelsWork guards against work that goes on after the deadline of its
// call: the deadline must reach the backend server and cancel the work there.
func TestDeadlineCancelsWork(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetOptions{})
	began := time.Now()
	a := f.call(f.Instances[0], "GET", "skraning", "/places?work=30s", "")
	is.Equal(a.status, http.StatusGatewayTimeout)
	is.True(time.Since(began) < 2*time.Second) // the class allows 800 ms
	f.eventually(3*time.Second, "the backend server has recorded the call", func() bool {
		return len(f.runCounts()) > 0 // recorded when it is canceled, long before its 30 s are over
	})
}
