// Package call is one request on its way through the mesh, and its reply.
//
// A Call is classified once, at its first ingress, and carries its deadline and
// its class from there. A Reply says what became of it: Fate tells an answer of
// the backend server from a refusal that is a promise (NotRun) and from one
// that is not (Unknown).
//
// # Usage
//
//	c := call.Call{ID: once.NewID(), Service: "skraning", Deadline: deadline, …}
//	r := call.Refuse(call.NotRun, "queue_full", 200*time.Millisecond)
package call

import (
	"net/http"
	"time"

	"tanagerchute/core/route"
	"tanagerchute/core/table"
)

// Mode is what a node is asked to do with a call.
type Mode int

// Modes.
const (
	Upstream Mode = iota // run it at the node's own backend server
	Entry                // choose an upstream in this data centre
	Home                 // record its key here, then run it anywhere
)

// Call is a request. It is immutable once it is on its way; the With methods
// return changed copies that share the body.
type Call struct {
	ID               string // names the work; the same for all attempts
	Attempt          string
	Issued           time.Time // of ID, or of Key
	Key              string    // idempotency key of the caller, empty if there is none
	Service          string
	Class            string
	Priority         table.Priority
	AtMostOnce       bool
	MarkedIdempotent bool      // it may run again whatever its method
	LargeResponse    bool      // its answer is large
	MaxUpstreams     int       // upstreams that it may be sent to, 0 for the default
	Target           time.Time // when its answer is worth most, zero for the deadline
	Deadline         time.Time
	WaitUntil        time.Time
	Method           string
	Host             string // as the caller wrote it
	Path             string // with the query, as the caller wrote it
	Header           http.Header
	Body             []byte
	Depth            int
	Mode             Mode
	From             string // node that sent it
	Version          uint64 // version by which it was routed
	Trace            string // W3C trace id
}

// WithAttempt returns c as another attempt in the given mode.
func (c Call) WithAttempt(id string, m Mode) Call {
	c.Attempt = id
	c.Mode = m
	return c
}

// WithRoute returns c with what its route promises to a call that arrived at a
// time. The deadline is zero if the route leaves it to the caller.
func (c Call) WithRoute(r *table.Route, arrived time.Time) Call {
	c.Class = r.Name
	c.Priority = r.Priority.Clamp()
	c.AtMostOnce = r.AtMostOnce
	c.MarkedIdempotent = r.Idempotent
	c.LargeResponse = r.LargeResponse
	c.MaxUpstreams = r.MaxAttempts
	if r.Timeout > 0 {
		c.Deadline = arrived.Add(r.Timeout)
	}
	if r.TargetLatency > 0 && r.TargetLatency != r.Timeout {
		c.Target = arrived.Add(r.TargetLatency)
	}
	c.WaitUntil = arrived.Add(r.MaxQueueTime)
	return c
}

// WithID returns c as work of its own under a fresh id.
func (c Call) WithID(id string, issued time.Time) Call {
	c.ID, c.Issued, c.Key = id, issued, ""
	return c
}

// Safe reports whether the call may be repeated without asking.
func (c Call) Idempotent() bool {
	if c.AtMostOnce || c.MarkedIdempotent {
		return !c.AtMostOnce
	}
	return c.Method == http.MethodGet || c.Method == http.MethodHead || c.Method == http.MethodOptions
}

// Fate is what became of a call.
type Fate int

// Fates.
const (
	Answered Fate = iota // the backend server answered, whatever its status
	NotRun               // it has not run and will not run
	Unknown              // it may have run
)

// String returns the name that callers see.
func (f Fate) String() string { return [...]string{"answered", "not_run", "unknown"}[f] }

// Causes of refusals that the mesh itself acts on. Others are passed on as
// they are.
const (
	CauseDraining          = "draining"
	CauseUpstreamFailing   = "upstream_failing"
	CauseMoved             = "moved"
	CauseFenced            = "fenced"
	CauseBrokenAnswer      = "broken_answer"
	CauseDeadline          = "deadline"
	CauseNoUpstream        = "no_upstream"
	CauseCanceled          = "canceled"
	CauseNodeNotReady      = "node_not_ready"
	CauseAnswerLost        = "answer_lost"
	CauseKeyTooOld         = "key_too_old"
	CauseHomeNotInStanding = "home_not_in_standing"
	CauseHomeUnreachable   = "home_unreachable"
	CauseAnswerTooLarge    = "answer_too_large"
	CauseUnreachable       = "unreachable"
	CauseUpstreamShed      = "upstream_shed"
	CauseSilent            = "silent"
)

// Reply is what came of a call.
type Reply struct {
	Fate       Fate
	Status     int
	Header     http.Header
	Body       []byte
	Cause      string // of a refusal
	RetryAfter time.Duration
	Load       route.Load
	Node       string
	Version    uint64 // in force at the node that replied
	// Reached reports whether the node that was asked has replied itself.
	Replied bool
	Shed    bool // the backend server refused for load
	// Below reports whether a failure comes from a call that the backend server
	// made itself. It says nothing about the server, and a resend here would
	// only multiply the resends below.
	NestedFailure bool
}

// Good reports whether a backend server has answered, and not for a failure.
func (r Reply) Succeeded() bool {
	return r.Fate == Answered && r.Status < http.StatusInternalServerError
}

// Refuse returns a refusal.
func Refuse(f Fate, cause string, retryAfter time.Duration) Reply {
	return Reply{Fate: f, Cause: cause, RetryAfter: retryAfter, Replied: true}
}

// Arrived reports whether the call may have arrived at a backend server.
func (r Reply) MayHaveArrived() bool {
	return r.Fate != NotRun || r.Shed || r.Cause == CauseMoved
}

// FreeMove reports whether a refusal says that the call should simply go to
// another upstream. Such a move costs no retry budget: it does not come from
// load, and a drained or fenced upstream can refuse a call only once.
func (r Reply) FreeResend() bool {
	if r.Fate != NotRun {
		return false
	}
	switch r.Cause {
	case CauseDraining, CauseUpstreamFailing, CauseMoved, CauseFenced, CauseUnreachable:
		return true
	}
	return false
}
