package resend

import (
	"time"

	"tanagerchute/core/call"
)

// Bounds on the attempts at one call.
const (
	maxMoves   = 6 // to another upstream after a refusal that does not come from load
	maxDetours = 2 // to another upstream after a refusal of a full gatekeeper
	// leastLeft is the time that has to be left for another attempt to be of
	// use.
	leastLeft = 30 * time.Millisecond
)

// Config configures a Course.
type Config struct {
	Safe     bool // the call may run more than once
	Most     int  // backend servers that the call may be sent to
	Deadline time.Time
	// Spend takes a resend from the shared budget, if there is one. It is asked
	// only for attempts that cost one. A nil Spend allows none.
	Spend func() bool
}

// Course is the state machine of one call. It is not safe for concurrent use.
type Course struct {
	cfg      Config
	attempts int
	arrived  int // attempts that may have reached a backend server
	moves    int
	detours  int
	last     call.Reply
	ran      *call.Reply // the best word of an attempt that may have run
}

// New returns the course of a call that has not been sent.
func New(cfg Config) *Course { return &Course{cfg: cfg} }

// Attempts returns the attempts so far, and how many of them may have reached a
// backend server.
func (c *Course) Attempts() (all, arrived int) { return c.attempts, c.arrived }

// Next takes the reply to an attempt and reports whether another one is to be
// made.
func (c *Course) Next(now time.Time, r call.Reply) bool {
	c.note(r)
	if r.Below || c.cfg.Deadline.Sub(now) < leastLeft {
		return false
	}
	switch {
	case r.FreeMove():
		c.moves++
		return c.moves <= maxMoves && c.arrived < c.cfg.Most
	case r.Fate == call.NotRun && !r.Arrived():
		c.detours++
		return c.detours <= maxDetours
	case r.Fate == call.NotRun:
	case !c.cfg.Safe || r.Cause == call.CauseDeadline:
		return false
	case r.Good():
		return false
	}
	return c.arrived < c.cfg.Most && c.cfg.Spend != nil && c.cfg.Spend()
}

// note remembers a reply.
func (c *Course) note(r call.Reply) {
	c.attempts++
	c.last = r
	if r.Arrived() {
		c.arrived++
	}
	if r.Fate == call.NotRun {
		return
	}
	// A backend server's own answer says more than a lost one.
	if c.ran == nil || r.Fate == call.Answered || c.ran.Fate != call.Answered {
		c.ran = &r
	}
}

// Final returns what the caller is told.
func (c *Course) Final() call.Reply {
	if c.ran != nil {
		return *c.ran
	}
	return c.last
}
