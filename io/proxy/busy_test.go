package proxy

import (
	"context"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/pick"
	"tanagerchute/core/resend"
	"tanagerchute/io/link"
)

// holdback delays what is received on the connections that it dials, as if the other
// side got no processor time, or as if a large answer were on the link.
type holdback struct {
	mu   sync.Mutex
	held chan struct{} // closed when held data is delivered, nil if none is held
}

// hold holds received data until release is called.
func (h *holdback) hold() (release func()) {
	held := make(chan struct{})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = held
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.held = nil
		close(held)
	}
}

// dial returns a Dial whose connections hold received data.
func (h *holdback) dial(next link.Dial) link.Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &heldConn{Conn: c, holdback: h}, nil
	}
}

// waitWhileHeld waits until release is called, if data is held.
func (h *holdback) waitWhileHeld() {
	h.mu.Lock()
	held := h.held
	h.mu.Unlock()
	if held != nil {
		<-held
	}
}

// heldConn is a connection whose received data can be held.
type heldConn struct {
	net.Conn
	holdback *holdback
}

// Read implements net.Conn.
func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.holdback.waitWhileHeld()
	return n, err
}

// lateReader accepts connections from which nothing is read while data is held.
type lateReader struct {
	net.Listener
	holdback *holdback
}

// Accept implements net.Listener.
func (l lateReader) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: c, holdback: l.holdback}, nil
}

// lateConn is a connection from which nothing is read while data is held.
type lateConn struct {
	net.Conn
	holdback *holdback
}

// Read implements net.Conn.
func (c *lateConn) Read(b []byte) (int, error) {
	c.holdback.waitWhileHeld()
	return c.Conn.Read(b)
}

// dispatchTo makes one attempt at the node at addr, without a second upstream.
func dispatchTo(p *Proxy, addr string, c call.Call) call.Reply {
	d := &dispatchState{p: p, call: c}
	d.tracker = resend.New(resend.Config{Idempotent: c.Idempotent(), MaxUpstreams: 3, Deadline: c.Deadline, Spend: d.spendRetryBudget})
	return d.attempt(context.Background(), pick.Candidate{ID: addr, Addr: addr, Entry: true})
}

// TestBusyNodeKeepsCallsInFlight guards against giving up all calls to a node because
// it answers a ping on their connection late. They are sent at different times after
// the ping, and answered in time.
func TestBusyNodeKeepsCallsInFlight(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			addr := slowPeer{answerAfter: 20 * time.Millisecond}.start(t)
			h := &holdback{}
			p := newSenderWithDial(t, h.dial)
			is.Equal(dispatchTo(p, addr, testCall(method, time.Second)).Fate, call.Answered)
			time.Sleep(1100 * time.Millisecond) // the connection is pinged after 1.2 s without data
			release := h.hold()
			time.AfterFunc(1300*time.Millisecond, release)
			var wg sync.WaitGroup
			for i := range 5 {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 150 * time.Millisecond)
					sentAt := time.Now()
					r := dispatchTo(p, addr, testCall(method, 3*time.Second))
					if r.Fate != call.Answered || string(r.Body) != "done" {
						t.Errorf("call %d: %v %s after %v", i, r.Fate, r.Cause, time.Since(sentAt))
					}
				})
			}
			wg.Wait()
		})
	}
}

// TestNodeThatReadsLateKeepsCalls guards against ending the connection to a node that
// does not read for 2.6 s, so that the uploads under way to it fill its receive buffer.
func TestNodeThatReadsLateKeepsCalls(t *testing.T) {
	h := &holdback{}
	ts := slowPeer{answerAfter: 50 * time.Millisecond}.newServer()
	ts.Listener = lateReader{ts.Listener, h}
	ts.Start()
	t.Cleanup(ts.Close)
	addr := strings.TrimPrefix(ts.URL, "http://")
	p := newSender(t)
	is.New(t).Equal(dispatchTo(p, addr, testCall(http.MethodPut, time.Second)).Fate, call.Answered)
	release := h.hold()
	time.AfterFunc(2600*time.Millisecond, release)
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			c := testCall(http.MethodPut, 6*time.Second)
			c.MarkedIdempotent = true
			if i < 4 {
				c.Body = make([]byte, 600<<10)
			}
			sentAt := time.Now()
			if r := dispatchTo(p, addr, c); r.Fate != call.Answered {
				t.Errorf("call %d: %v %s after %v", i, r.Fate, r.Cause, time.Since(sentAt))
			}
		})
	}
	wg.Wait()
}

// TestCallOnSilentConnectionIsHedged guards against waiting until the deadline on a
// connection that went silent for good after the node had acknowledged the call.
func TestCallOnSilentConnectionIsHedged(t *testing.T) {
	is := is.New(t)
	silent := slowPeer{answerAfter: 300 * time.Millisecond}.start(t)
	healthy := slowPeer{}.start(t)
	b := link.NewBlackhole()
	p := newSenderWithDial(t, b.Dial)
	c := testCall(http.MethodGet, 6*time.Second)
	d := &dispatchState{p: p, call: c}
	d.tracker = resend.New(resend.Config{Idempotent: true, MaxUpstreams: 3, Deadline: c.Deadline, Spend: func() bool {
		d.paidResend = &choice{target: pick.Candidate{ID: healthy, Addr: healthy, Entry: true}}
		return true
	}})
	time.AfterFunc(150*time.Millisecond, func() { b.DropOpen(func(addr string) bool { return addr == silent }) })
	began := time.Now()
	var r call.Reply
	for target := silent; ; target = healthy {
		r = d.attempt(context.Background(), pick.Candidate{ID: target, Addr: target, Entry: true})
		if !d.tracker.Next(time.Now(), r) {
			break
		}
	}
	is.Equal(r.Fate, call.Answered)
	is.True(time.Since(began) < 2500*time.Millisecond) // pinged after 1.2 s, no answer in 0.5 s
}

// TestSilentLinkIsHedgedWithLaterBudget guards against waiting until the deadline since
// the retry budget was empty when the acknowledgement was due: the silence of the link
// is found later, and must start a hedge then.
func TestSilentLinkIsHedgedWithLaterBudget(t *testing.T) {
	is := is.New(t)
	silent := slowPeer{ackAfter: 3 * time.Second}.start(t)
	healthy := slowPeer{}.start(t)
	b := link.NewBlackhole()
	p := newSenderWithDial(t, b.Dial)
	c := testCall(http.MethodGet, 4*time.Second)
	d := &dispatchState{p: p, call: c}
	began := time.Now()
	hedges := 0
	d.tracker = resend.New(resend.Config{Idempotent: true, MaxUpstreams: 3, Deadline: c.Deadline, Spend: func() bool {
		if time.Since(began) < time.Second {
			return false
		}
		hedges++
		d.paidResend = &choice{target: pick.Candidate{ID: healthy, Addr: healthy, Entry: true}}
		return true
	}})
	time.AfterFunc(100*time.Millisecond, func() { b.DropOpen(func(addr string) bool { return addr == silent }) })
	r := d.attempt(context.Background(), pick.Candidate{ID: silent, Addr: silent, Entry: true})
	is.Equal(r.Fate, call.Answered)
	is.True(time.Since(began) < 2500*time.Millisecond) // pinged after 1.2 s, no answer in 0.5 s
	is.Equal(hedges, 1)
}

// TestStoppedSenderFindsNoSilence guards against taking nodes for silent because the
// sender itself stood still: it must read the acknowledgements that came meanwhile.
func TestStoppedSenderFindsNoSilence(t *testing.T) {
	is := is.New(t)
	addr := slowPeer{ackAfter: 150 * time.Millisecond, answerAfter: 600 * time.Millisecond}.start(t)
	p := newSender(t)
	is.Equal(dispatchTo(p, addr, testCall(http.MethodGet, 3*time.Second)).Fate, call.Answered)
	var silent atomic.Int32
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			id, _ := newID()
			c := testCall(http.MethodGet, 5*time.Second).WithAttempt(id, call.Entry)
			r := p.send(context.Background(), addr, c, func(silence) { silent.Add(1) })
			if r.Fate != call.Answered {
				t.Errorf("%v %s", r.Fate, r.Cause)
			}
		})
	}
	time.Sleep(50 * time.Millisecond) // the calls are sent
	is.NoErr(exec.Command("sh", "-c", "kill -STOP $PPID; sleep 0.6; kill -CONT $PPID").Run())
	wg.Wait()
	is.Equal(silent.Load(), int32(0)) // calls whose node counted as silent
}

// TestSilentLinkIsOneFailure guards against ejecting a node because several calls were
// in flight on its link when that fell silent once.
func TestSilentLinkIsOneFailure(t *testing.T) {
	is := is.New(t)
	addr := slowPeer{answerAfter: 300 * time.Millisecond}.start(t)
	h := &holdback{}
	p := newSenderWithDial(t, h.dial)
	is.Equal(dispatchTo(p, addr, testCall(http.MethodGet, time.Second)).Fate, call.Answered)
	time.AfterFunc(150*time.Millisecond, func() { time.AfterFunc(2200*time.Millisecond, h.hold()) }) // all are acknowledged
	var wg sync.WaitGroup
	for range 5 {
		wg.Go(func() {
			if r := dispatchTo(p, addr, testCall(http.MethodGet, 4*time.Second)); r.Fate != call.Answered {
				t.Errorf("%v %s", r.Fate, r.Cause)
			}
		})
	}
	time.Sleep(2100 * time.Millisecond) // the link is silent after 1.8 s
	silences, ejections := 0, 0
	for _, e := range p.cfg.Journal.Find(addr) {
		switch e.Kind {
		case event.LinkSilent:
			silences++
		case event.UpstreamEjected:
			ejections++
		}
	}
	is.Equal(silences, 1)
	is.Equal(ejections, 0)
	wg.Wait()
}

// TestIdleDeadConnectionIsReplaced guards against sending a call on a connection that
// went dead while no call was in flight on it, and was pinged in vain.
func TestIdleDeadConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	addr := slowPeer{}.start(t)
	b := link.NewBlackhole()
	p := newSenderWithDial(t, b.Dial)
	is.Equal(dispatchTo(p, addr, testCall(http.MethodGet, time.Second)).Fate, call.Answered)
	b.DropOpen(func(string) bool { return true })
	time.Sleep(2500 * time.Millisecond) // pinged after 1.2 s, no answer in 0.5 s
	is.Equal(dispatchTo(p, addr, testCall(http.MethodGet, time.Second)).Fate, call.Answered)
}
