package proxy

import (
	"context"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"tanagerchute/core/acks"
)

// silence tells why the node of an attempt counts as silent.
type silence struct {
	// heardAt is when data was last received on a link that is silent. It is zero if the
	// node has not acknowledged the attempt in time.
	heardAt time.Time
}

// ackWatch watches one attempt for the acknowledgement of its node, which is
// status 102 (Processing). A node that takes longer than acks.Estimator expects is
// partitioned or frozen, or a middlebox has dropped the state of the connection. The
// same is assumed if its link falls silent later, see linkWatch.
type ackWatch struct {
	times     *ackTimes
	onSilent  func(silence) // called at most once without an acknowledgement, and once for a silent link
	startedAt time.Time
	onGrant   func(rate float64) // called when the node admits the body

	mu    sync.Mutex // guards wait and timer
	wait  acks.Wait
	timer *time.Timer // nil after stop

	connected atomic.Bool // the attempt has had a connection
	// unprocessed is set while the transport looks for a connection again, since the node has
	// closed the last one without looking at the call.
	unprocessed atomic.Bool
	expired     atomic.Bool
	acked       atomic.Bool
}

func newAckWatch(times *ackTimes) *ackWatch { return &ackWatch{times: times} }

// start starts the wait for the acknowledgement.
func (a *ackWatch) start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startedAt = time.Now()
	timeout := a.times.timeout()
	a.wait = acks.NewWait(a.startedAt.Add(timeout))
	a.timer = time.AfterFunc(timeout, a.check)
}

// check ends the wait if the acknowledgement is overdue.
func (a *ackWatch) check() {
	if a.overdue(time.Now()) {
		a.expire(silence{})
	}
}

// overdue reports whether the acknowledgement is overdue. If not, it is checked again.
func (a *ackWatch) overdue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer == nil {
		return false
	}
	overdue, next := a.wait.Check(now)
	if !overdue {
		a.timer.Reset(next.Sub(now))
	}
	return overdue
}

// expire is called if the node has not acknowledged the attempt in time, and if its link
// has fallen silent. What the first signal could not start, for want of a retry budget,
// the second may.
func (a *ackWatch) expire(s silence) {
	a.expired.Store(true)
	a.onSilent(s)
}

// stop ends the wait.
func (a *ackWatch) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
}

// silent reports whether the acknowledgement did not come in time and has not come
// since.
func (a *ackWatch) silent() bool { return a.expired.Load() && !a.acked.Load() }

// trace returns a context for the request of the attempt. With it, the transport
// reports the connection and the acknowledgement.
func (a *ackWatch) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { a.unprocessed.Store(a.connected.Load()) },
		GotConn: func(httptrace.GotConnInfo) {
			a.connected.Store(true)
			a.unprocessed.Store(false)
		},
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			if rate, ok := parseGrant(h.Get(headerGrant)); ok {
				a.onGrant(rate)
				return nil
			}
			a.acked.Store(true)
			a.stop()
			a.times.observe(time.Since(a.startedAt))
			return nil
		},
	})
}
