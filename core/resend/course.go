package resend

import (
	"time"

	"tanagerchute/core/call"
)

// Bounds on the attempts at one call.
const (
	maxFreeResends     = 6 // to another upstream after a refusal that does not come from load
	maxOverloadResends = 2 // to another upstream after a refusal of a full gatekeeper
	// leastLeft is the time that has to be left for another attempt to be of
	// use.
	minTimeLeft = 30 * time.Millisecond
)

// Config configures a Course.
type Config struct {
	Idempotent   bool // the call may run more than once
	MaxUpstreams int  // backend servers that the call may be sent to
	Deadline     time.Time
	// Spend takes a resend from the shared budget, if there is one. It is asked
	// only for attempts that cost one. A nil Spend allows none.
	Spend func() bool
}

// Course is the state machine of one call. It is not safe for concurrent use.
type Tracker struct {
	cfg             Config
	attempts        int
	arrived         int // attempts that may have reached a backend server
	freeResends     int
	overloadResends int
	last            call.Reply
	mayHaveRun      *call.Reply // the best word of an attempt that may have run
}

// New returns the course of a call that has not been sent.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// Attempts returns the attempts so far, and how many of them may have reached a
// backend server.
func (c *Tracker) Attempts() (all, arrived int) { return c.attempts, c.arrived }

// Next takes the reply to an attempt and reports whether another one is to be
// made.
func (c *Tracker) Next(now time.Time, r call.Reply) bool {
	c.record(r)
	if r.NestedFailure || c.cfg.Deadline.Sub(now) < minTimeLeft {
		return false
	}
	switch {
	case r.FreeResend():
		c.freeResends++
		return c.freeResends <= maxFreeResends && c.arrived < c.cfg.MaxUpstreams
	case r.Fate == call.NotRun && !r.MayHaveArrived():
		c.overloadResends++
		return c.overloadResends <= maxOverloadResends
	case r.Fate == call.NotRun:
	case !c.cfg.Idempotent || r.Cause == call.CauseDeadline:
		return false
	case r.Succeeded():
		return false
	}
	return c.arrived < c.cfg.MaxUpstreams && c.cfg.Spend != nil && c.cfg.Spend()
}

// note remembers a reply.
func (c *Tracker) record(r call.Reply) {
	c.attempts++
	c.last = r
	if r.MayHaveArrived() {
		c.arrived++
	}
	if r.Fate == call.NotRun {
		return
	}
	// A backend server's own answer says more than a lost one.
	if c.mayHaveRun == nil || r.Fate == call.Answered || c.mayHaveRun.Fate != call.Answered {
		c.mayHaveRun = &r
	}
}

// Final returns what the caller is told.
func (c *Tracker) Final() call.Reply {
	if c.mayHaveRun != nil {
		return *c.mayHaveRun
	}
	return c.last
}
