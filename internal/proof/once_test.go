package proof

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

	"tanagerchute/io/server"
)

// settle is longer than the time after a common start in which no node vouches
// for keys.
const settle = 6 * time.Second

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// booking is one piece of work with all that its caller was told about it.
type booking struct {
	key   string
	tries []answer
}

// last returns the last answer.
func (b *booking) last() answer { return b.tries[len(b.tries)-1] }

// promisedNot reports whether all that the caller was told is that it has not
// run.
func (b *booking) promisedNot() bool {
	for _, a := range b.tries {
		if a.err != nil || a.outcome != "not_run" {
			return false
		}
	}
	return true
}

// check holds the ledgers against what callers were told.
func (f *fleet) check(bookings []*booking) {
	f.t.Helper()
	runs := f.runs()
	tally := map[string]int{}
	for _, b := range bookings {
		n := runs[b.key]
		if n > 1 {
			f.t.Errorf("%s ran %d times: %v", b.key, n, b.tries)
		}
		if n > 0 && b.promisedNot() {
			f.t.Errorf("%s ran and was refused as not_run: %v", b.key, b.tries)
		}
		if n == 0 && b.last().ran() {
			f.t.Errorf("%s was answered and did not run: %v", b.key, b.tries)
		}
		if b.last().ran() && !strings.Contains(b.last().body, b.key) {
			f.t.Errorf("%s got the answer to other work: %q", b.key, b.last().body)
		}
		tally[verdict(b.last())]++
	}
	f.t.Logf("%d pieces of work ended as %v", len(bookings), tally)
}

func verdict(a answer) string {
	switch {
	case a.err != nil:
		return "no answer: " + a.err.Error()
	case a.ran():
		return "answered"
	case a.outcome == "":
		return fmt.Sprint("status ", a.status)
	}
	return a.outcome + " " + a.cause
}

func (f *fleet) book(in *instance, b *booking) answer {
	a := f.do(in, "POST", "skraning", "/bookings", b.key)
	b.tries = append(b.tries, a)
	return a
}

// TestBackendFaults brings each fault of a backend server about at all of
// them, sends a booking, and repeats it through every other node.
func TestBackendFaults(t *testing.T) {
	f := startFleet(t, options{})
	time.Sleep(settle)
	for _, c := range []struct {
		name   string
		faults server.Faults
		runs   int
		first  string
	}{
		{"cut before it runs", server.Faults{DropBefore: true}, 0, "unknown"},
		{"cut after it ran", server.Faults{DropAfter: true}, 1, "unknown"},
		{"cut in the middle of the answer", server.Faults{CutAnswer: true}, 1, "unknown"},
		{"answer of another call", server.Faults{WrongAnswerID: true}, 1, "unknown"},
		{"answer over every bound", server.Faults{HugeAnswer: true}, 1, "unknown"},
		{"never answers", server.Faults{Hang: true}, 1, "unknown"},
		{"refuses for load", server.Faults{Shed: true}, 0, "not_run"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f.t = t
			for _, in := range f.of("", "skraning") {
				f.faults(in, c.faults)
			}
			b := &booking{key: newKey()}
			plain := f.do(f.instances[0], "POST", "skraning", "/deposits", "")
			is.Equal(plain.outcome, c.first)
			a := f.book(f.instances[0], b)
			if c.first == "unknown" {
				is.Equal(a.outcome, c.first)
			} else {
				is.True(!a.ran())
			}
			for _, in := range f.of("", "skraning") {
				f.faults(in, server.Faults{})
			}
			// The fault has gone. Only work that provably has not run may run now.
			for _, in := range f.instances {
				f.book(in, b)
			}
			f.check([]*booking{b})
			if c.first == "unknown" {
				is.Equal(f.runs()[b.key], c.runs)
			}
			f.eventually(20*time.Second, "backend servers take work again", func() bool { return f.allReady(1) })
		})
	}
}

// TestRepeatsMeet sends one booking through all nodes at the same time, many
// times: it runs once, and all get its answer.
func TestRepeatsMeet(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, options{work: "50ms"})
	time.Sleep(settle)
	var all []*booking
	for range 10 {
		key := newKey()
		got := make([]answer, len(f.instances))
		var wg sync.WaitGroup
		for i, in := range f.instances {
			wg.Go(func() { got[i] = f.do(in, "POST", "skraning", "/bookings", key) })
		}
		wg.Wait()
		all = append(all, &booking{key: key, tries: got})
		for _, a := range got {
			is.True(a.ran())
			is.Equal(a.body, got[0].body)
		}
	}
	f.check(all)
}

// TestStoreDown holds that bookings run while the store is down, but for those
// under keys that do not say when they were issued and need a claim there.
func TestStoreDown(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, options{})
	time.Sleep(settle)
	before := f.do(f.instances[0], "POST", "skraning", "/bookings", "order-1")
	is.True(before.ran()) // an opaque key, with the store up
	again := f.do(f.instances[5], "POST", "skraning", "/bookings", "order-1")
	is.Equal(again.body, before.body)

	f.put(f.store+"/faults", []byte(`{"down": true}`))
	var all []*booking
	for i := range 30 {
		b := &booking{key: newKey()}
		all = append(all, b)
		is.True(f.book(f.instances[i%9], b).ran())
		is.True(f.book(f.instances[(i+4)%9], b).ran())
	}
	opaque := &booking{key: "order-2"}
	is.Equal(f.book(f.instances[3], opaque).outcome, "unknown")
	f.check(append(all, opaque))
	is.Equal(f.runs()["order-1"], 1)
}

// TestStorm sends bookings whose callers repeat them through other nodes and
// data centres, while nodes are killed, frozen and restarted, their
// connections are cut, and the store goes down and comes back.
func TestStorm(t *testing.T) {
	f := startFleet(t, options{work: "20ms", linger: "2s"})
	time.Sleep(settle)
	ctx, cancel := context.WithTimeout(context.Background(), 24*time.Second)
	defer cancel()
	var mu sync.Mutex
	var all []*booking
	var wg sync.WaitGroup
	for w := range 16 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(w), 1))
			for ctx.Err() == nil {
				b := f.persist(rng)
				mu.Lock()
				all = append(all, b)
				mu.Unlock()
			}
		})
	}
	f.disturb(ctx)
	wg.Wait()
	f.check(all)
	f.eventually(30*time.Second, "the fleet has recovered", func() bool { return f.allReady(1) })
	a := f.do(f.instances[0], "POST", "skraning", "/bookings", "")
	is.New(t).True(a.ran())
}

// persist makes one booking and repeats it through other nodes until its
// caller knows or gives up.
func (f *fleet) persist(rng *rand.Rand) *booking {
	b := &booking{key: newKey()}
	for range 6 {
		a := f.book(f.instances[rng.IntN(len(f.instances))], b)
		if a.ran() {
			// One repeat more than needed, as an impatient caller sends.
			f.book(f.instances[rng.IntN(len(f.instances))], b)
			if !b.last().ran() {
				b.tries = append(b.tries, a) // it knows from before
			}
			return b
		}
		time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
	}
	return b
}

// disturb brings about one failure after the other until ctx ends.
func (f *fleet) disturb(ctx context.Context) {
	rng := rand.New(rand.NewPCG(20261203, 1))
	pause := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	for round := 0; ctx.Err() == nil; round++ {
		in := f.instances[rng.IntN(len(f.instances))]
		switch round % 6 {
		case 0:
			in.node.kill()
			pause(2 * time.Second)
			f.start(in.node)
		case 1:
			in.node.signal(syscall.SIGSTOP)
			pause(4 * time.Second)
			in.node.signal(syscall.SIGCONT)
		case 2:
			f.toxic(in, `{"name": "cut", "type": "reset_peer", "attributes": {"timeout": 0}}`)
			pause(time.Second)
			f.heal(in, "cut")
		case 3:
			f.put(f.store+"/faults", []byte(`{"down": true}`))
			pause(2 * time.Second)
			f.put(f.store+"/faults", []byte(`{}`))
		case 4:
			f.toxic(in, `{"name": "mute", "type": "timeout", "stream": "upstream", "attributes": {"timeout": 0}}`)
			pause(2 * time.Second)
			f.heal(in, "mute")
		case 5:
			in.node.signal(syscall.SIGTERM)
			select {
			case <-in.node.done:
			case <-time.After(40 * time.Second):
				f.t.Error("planned stop did not end")
				in.node.kill()
			}
			f.start(in.node)
		}
		pause(500 * time.Millisecond)
	}
}

func (f *fleet) toxic(in *instance, text string) {
	if _, err := in.peers.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		f.t.Error(err)
	}
}

func (f *fleet) heal(in *instance, name string) {
	if err := in.peers.Toxics.RemoveToxic(context.Background(), name); err != nil {
		f.t.Error(err)
	}
}

// TestPlannedStopsCutNothing stops every node of the fleet in turn, under
// load, and starts it again: no call fails.
func TestPlannedStopsCutNothing(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, options{work: "20ms"})
	time.Sleep(settle)
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
				a := f.elsewhere(rng, b)
				mu.Lock()
				all = append(all, b)
				if !a.ran() {
					failed = append(failed, verdict(a)+" "+b.key)
				}
				mu.Unlock()
			}
		})
	}
	// One node of each data centre is stopped at the same time.
	for i := range 3 {
		var stops sync.WaitGroup
		for _, c := range centres {
			in := f.of(c, "")[i]
			stops.Go(func() {
				if code := in.node.terminate(t, 40*time.Second); code != 0 {
					t.Errorf("%s exited with %d", in.site.Name, code)
				}
			})
		}
		stops.Wait()
		for _, c := range centres {
			f.start(f.of(c, "")[i].node)
		}
		f.eventually(20*time.Second, "restarted nodes are ready", func() bool { return f.allReady(1) })
	}
	cancel()
	wg.Wait()
	f.check(all)
	for _, x := range failed {
		t.Log(x)
	}
	is.Equal(len(failed), 0)
}

// elsewhere books through a node that listens, as a caller with a list of
// addresses does: a refused connection sends nothing.
func (f *fleet) elsewhere(rng *rand.Rand, b *booking) answer {
	var a answer
	n := rng.IntN(len(f.instances))
	for i := range f.instances {
		a = f.book(f.instances[(n+i)%len(f.instances)], b)
		if a.err == nil || !strings.Contains(a.err.Error(), "connection refused") {
			return a
		}
	}
	return a
}

// TestDeadlineStopsWork holds that a deadline reaches the backend server and
// ends work that nobody waits for any more.
func TestDeadlineStopsWork(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, options{})
	began := time.Now()
	a := f.do(f.instances[0], "GET", "skraning", "/places?work=30s", "")
	is.Equal(a.status, http.StatusGatewayTimeout)
	is.True(time.Since(began) < 2*time.Second) // the class allows 800 ms
	f.eventually(3*time.Second, "the backend servers have stopped", func() bool {
		return len(f.runs()) > 0 // recorded when it was abandoned, 30 s early
	})
}
