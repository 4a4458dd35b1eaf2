package proxy

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/event"
)

// step is what a request of a caller waits for.
type step int32

// Steps of a request.
const (
	stepIngress   step = iota // nothing yet
	stepBody                  // its body
	stepQuota                 // a token of its client account
	stepHome                  // the home of its idempotency key
	stepOwnServer             // the backend server of this node
	stepPeer                  // the answer of another node
	stepInquiry               // the outcome of an attempt whose answer was lost
	stepLink                  // the link of the instance, for its answer
)

// String returns the name of s for the journal.
func (s step) String() string {
	switch s {
	case stepBody:
		return "body"
	case stepQuota:
		return "quota"
	case stepHome:
		return "home of the key"
	case stepOwnServer:
		return "own backend server"
	case stepPeer:
		return "answer of another node"
	case stepInquiry:
		return "outcome of a lost attempt"
	case stepLink:
		return "link"
	}
	return "ingress"
}

// progress tells what a request of a caller waits for. It is safe for concurrent use.
type progress struct{ step atomic.Int32 }

// progressKey is the context key of the progress of a request.
type progressKey struct{}

// withProgress returns a context that records what its request waits for.
func withProgress(ctx context.Context) (context.Context, *progress) {
	p := &progress{}
	return context.WithValue(ctx, progressKey{}, p), p
}

// enterStep records what the request with the given context waits for from now on. For calls of
// other nodes it records nothing.
func enterStep(ctx context.Context, s step) {
	if p, ok := ctx.Value(progressKey{}).(*progress); ok {
		p.step.Store(int32(s))
	}
}

// current returns what the request waits for.
func (p *progress) current() step { return step(p.step.Load()) }

// overdueAfter is how long after its deadline a request that has no reply is recorded as
// overdue. Timers fire a little late.
const overdueAfter = 100 * time.Millisecond

// recordOverdue records a request whose reply comes too long after its deadline, with what it
// was waiting for then.
func (p *Proxy) recordOverdue(c call.Call, now time.Time, waitsFor step) {
	if late := now.Sub(c.Deadline); late > overdueAfter {
		p.recordEvent(event.RequestOverdue, c, fmt.Sprintf("%v after the deadline of its %s, by version %d, last waited for: %v",
			late.Round(time.Millisecond), c.DeadlineBy, c.Version, waitsFor))
	}
}
