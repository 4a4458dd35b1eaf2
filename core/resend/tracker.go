package resend

import (
	"time"

	"tanagerchute/core/call"
)

// Bounds on the resends of one call.
const (
	maxFreeResends     = 6 // after refusals that don't come from load
	maxOverloadResends = 2 // after other refusals by a node, such as one without free slots
	// minTimeLeft is the time until the deadline below which another attempt
	// would be of no use.
	minTimeLeft = 30 * time.Millisecond
)

// Config configures a Tracker.
type Config struct {
	Idempotent   bool // the call may run more than once
	MaxUpstreams int  // number of backend servers that may receive the call
	Deadline     time.Time
	// Spend takes one resend from the shared retry budget and reports whether
	// there was one. It is called only for resends that cost budget. If it is
	// nil, the call gets none of these.
	Spend func() bool
}

// Tracker keeps the attempts at one call and decides on its resends. It is not
// safe for concurrent use.
type Tracker struct {
	cfg             Config
	attempts        int
	arrived         int // attempts that may have reached a backend server
	freeResends     int
	overloadResends int
	last            call.Reply
	soonestRetry    time.Duration // lowest RetryAfter of the refusals, 0 if none had one
	mayHaveRun      *call.Reply   // best reply of an attempt that may have run the call
}

// New returns the tracker of a call that has not been sent.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// Attempts returns the number of attempts so far, and how many of them may have
// reached a backend server.
func (t *Tracker) Attempts() (all, arrived int) { return t.attempts, t.arrived }

// Next records the reply to an attempt and reports whether the call is to be sent
// again.
func (t *Tracker) Next(now time.Time, r call.Reply) bool {
	t.record(r)
	if r.NestedFailure || t.cfg.Deadline.Sub(now) < minTimeLeft {
		return false
	}
	switch {
	case r.Cause == call.CauseCrashesServers:
		return false // every node refuses it, or soon will
	case r.ResendIsFree():
		t.freeResends++
		return t.freeResends <= maxFreeResends && t.arrived < t.cfg.MaxUpstreams
	case r.Fate == call.NotRun && !r.MayHaveArrived():
		t.overloadResends++
		return t.overloadResends <= maxOverloadResends
	case r.Fate == call.NotRun:
	case !t.cfg.Idempotent || r.Cause == call.CauseDeadline:
		return false
	case r.Succeeded():
		return false
	}
	return t.arrived < t.cfg.MaxUpstreams && t.cfg.Spend != nil && t.cfg.Spend()
}

// Hedge reports whether the call may be sent to one more upstream while the
// present attempt goes on, and counts that attempt. It takes one resend from the
// retry budget.
func (t *Tracker) Hedge() bool {
	const present = 1 // counted when it ends
	if t.arrived+present >= t.cfg.MaxUpstreams || t.cfg.Spend == nil || !t.cfg.Spend() {
		return false
	}
	t.attempts++
	t.arrived++
	return true
}

// record adds a reply.
func (t *Tracker) record(r call.Reply) {
	t.attempts++
	t.last = r
	if r.MayHaveArrived() {
		t.arrived++
	}
	if r.Fate == call.NotRun {
		if r.RetryAfter > 0 && (t.soonestRetry == 0 || r.RetryAfter < t.soonestRetry) {
			t.soonestRetry = r.RetryAfter
		}
		return
	}
	// An answer of a backend server takes precedence over an unknown outcome.
	if t.mayHaveRun == nil || r.Fate == call.Answered || t.mayHaveRun.Fate != call.Answered {
		t.mayHaveRun = &r
	}
}

// Final returns the reply for the caller: that of an attempt that may have run
// the call if there is one, else the last one. The caller of a refused call may come
// back as soon as one of the upstreams that refused it expects to have room.
func (t *Tracker) Final() call.Reply {
	if t.mayHaveRun != nil {
		return *t.mayHaveRun
	}
	r := t.last
	if r.RetryAfter > 0 {
		r.RetryAfter = t.soonestRetry
	}
	return r
}
