package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/call"
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

// dial is a link.Dial.
func (h *holdback) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := link.Direct(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: c, holdback: h}, nil
}

// heldConn is a connection whose received data can be held.
type heldConn struct {
	net.Conn
	holdback *holdback
}

// Read implements net.Conn.
func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.holdback.mu.Lock()
	held := c.holdback.held
	c.holdback.mu.Unlock()
	if held != nil {
		<-held
	}
	return n, err
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

// TestCallOnSilentConnectionIsHedged guards against waiting until the deadline on a
// connection that went silent for good after the node had acknowledged the call.
func TestCallOnSilentConnectionIsHedged(t *testing.T) {
	is := is.New(t)
	silent := slowPeer{answerAfter: 300 * time.Millisecond}.start(t)
	healthy := slowPeer{}.start(t)
	b := link.NewBlackhole()
	p := newSenderWithDial(t, b.Dial(link.Direct))
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
