// Package call defines a request that passes through the mesh, and its reply.
//
// A Call is classified once, at its first ingress, the node that receives it from
// the caller. It keeps its class and its deadline from there on. It can be sent
// several times, to different upstreams. Each time is an attempt.
//
// The Fate of a Reply tells an answer of the backend server from the two kinds of
// refusals: NotRun guarantees that the call has not run and will not run, Unknown
// guarantees nothing.
//
// # Usage
//
//	c := call.Call{ID: dedup.NewID(), Service: "skraning", Deadline: deadline, …}
//	r := call.Refuse(call.NotRun, "queue_full", 200*time.Millisecond)
package call

import (
	"net/http"
	"time"

	"tanagerchute/core/acct"
	"tanagerchute/core/crash"
	"tanagerchute/core/pick"
	"tanagerchute/core/routes"
)

// Mode is the role of the node that a call is sent to.
type Mode int

// Modes. Their values are part of the protocol between nodes.
const (
	Upstream Mode = iota // the node runs the call at its own backend server
	Entry                // the node chooses an upstream in its data centre
	Home                 // the node is the home of the idempotency key: it records the key and runs the call at any upstream
)

// Call is a request. It must not be changed once it is sent. The With methods
// return changed copies that share the body.
type Call struct {
	ID               string    // the same for all attempts
	Attempt          string    // id of the attempt
	Issued           time.Time // when Key was issued, or ID if there is no key
	Key              string    // idempotency key given by the caller, empty if there is none
	Service          string
	Class            string // name of the route
	Priority         routes.Priority
	AtMostOnce       bool
	MarkedIdempotent bool      // the route allows more than one run, whatever the method
	LargeResponse    bool      // the answer is expected to be large
	Account          string    // client account whose key the caller sent, empty if none
	MaxUpstreams     int       // number of upstreams that may receive the call, 0 for the default
	Target           time.Time // time by which it should be answered, zero if only the deadline counts
	Deadline         time.Time
	DeadlineBy       DeadlineSource
	WaitUntil        time.Time // end of the time that it may spend in a queue
	CallerDeadline   time.Time // up to which its caller waits, zero if not known
	AskedAt          time.Time // when its caller first asked, as far as that is known
	Method           string
	Host             string // as sent by the caller
	Path             string // with the query, as sent by the caller
	Header           http.Header
	Body             []byte
	Work             crash.Work // identity of the work, 0 if the sender did not compute it
	Depth            int        // number of calls above it in its call chain
	Mode             Mode
	From             string       // id of the node that sent it
	Version          uint64       // configuration version by which it was routed
	Trace            string       // W3C trace id
	Notice           ServerNotice // what the sender has heard from the backend server of the node it is sent to
}

// DeadlineSource is what sets the deadline of a call.
type DeadlineSource string

// Sources of deadlines.
const (
	ByRoute         DeadlineSource = "route"          // the timeout of its route, by the version of the call
	ByCaller        DeadlineSource = "caller"         // the time for which its caller waits
	ByEnclosingCall DeadlineSource = "enclosing_call" // the deadline of the call that it is nested in
)

// WithDeadline returns c with the deadline at, set by s, if that is earlier than the present one.
func (c Call) WithDeadline(at time.Time, s DeadlineSource) Call {
	if c.Deadline.IsZero() || at.Before(c.Deadline) {
		c.Deadline, c.DeadlineBy = at, s
	}
	return c
}

// WithAttempt returns c as another attempt in the given mode.
func (c Call) WithAttempt(id string, m Mode) Call {
	c.Attempt = id
	c.Mode = m
	return c
}

// WithRoute returns c with the settings of its route, for a call that arrived at
// the given time. The deadline stays as it is if the route sets no timeout.
func (c Call) WithRoute(r *routes.Route, arrived time.Time) Call {
	c.Class = r.Name
	c.Priority = r.Priority.Clamp()
	c.AtMostOnce = r.AtMostOnce
	c.MarkedIdempotent = r.Idempotent
	c.LargeResponse = r.LargeResponse
	c.MaxUpstreams = r.MaxUpstreams
	if r.Timeout > 0 {
		c.Deadline, c.DeadlineBy = arrived.Add(r.Timeout), ByRoute
	}
	if r.TargetLatency > 0 && r.TargetLatency != r.Timeout {
		c.Target = arrived.Add(r.TargetLatency)
	}
	c.WaitUntil = arrived.Add(r.MaxQueueTime)
	return c
}

// WithAccount returns c as a call of the client account a. The priority of the account
// takes precedence over that of the route.
func (c Call) WithAccount(a *acct.Account) Call {
	c.Account = a.Name
	if a.HasPriority {
		c.Priority = routes.Priority(a.Priority).Clamp()
	}
	return c
}

// WithID returns c as a call without an idempotency key, under an id issued at the
// given time.
func (c Call) WithID(id string, issued time.Time) Call {
	c.ID, c.Issued, c.Key = id, issued, ""
	return c
}

// Idempotent reports whether the call may run more than once. AtMostOnce and
// MarkedIdempotent take precedence over the method.
func (c Call) Idempotent() bool {
	if c.AtMostOnce || c.MarkedIdempotent {
		return !c.AtMostOnce
	}
	return c.Method == http.MethodGet || c.Method == http.MethodHead || c.Method == http.MethodOptions
}

// Fate is the outcome of a call.
type Fate int

// Fates. Their values are part of the protocol between nodes.
const (
	Answered Fate = iota // the backend server answered, with any status
	NotRun               // it has not run and will not run
	Unknown              // it may have run
)

// String returns the name that callers see.
func (f Fate) String() string { return [...]string{"answered", "not_run", "unknown"}[f] }

// Causes of refusals that nodes evaluate. Other causes are passed on unchanged.
const (
	CauseDraining          = "draining"             // the upstream is about to stop and accepts no new calls
	CauseUpstreamFailing   = "upstream_failing"     // the backend server is failing or not announced
	CauseMoved             = "moved"                // another server or service is now at the address
	CauseFenced            = "fenced"               // the attempt may no longer start, see package dedup
	CauseBrokenAnswer      = "broken_answer"        // the answer was cut off or malformed
	CauseDeadline          = "deadline"             // the deadline has passed
	CauseNoUpstream        = "no_upstream"          // no upstream of the service accepts calls
	CauseCanceled          = "canceled"             // the caller has canceled the call
	CauseNodeNotReady      = "node_not_ready"       // the node has no configuration yet
	CauseAnswerLost        = "answer_lost"          // the call has started, and its outcome is unknown
	CauseKeyTooOld         = "key_too_old"          // an earlier run under the key can't be ruled out
	CauseHomeNotInStanding = "home_not_in_standing" // the home of the key has no quorum
	CauseHomeUnreachable   = "home_unreachable"     // the home of the key can't be reached
	CauseHomeSilent        = "home_silent"          // a relay got no reply from the home of the key
	CauseAnswerTooLarge    = "answer_too_large"     // the answer exceeds the size limit
	CauseUnreachable       = "unreachable"          // no connection to the node or to the backend server
	CauseUpstreamShed      = "upstream_shed"        // the backend server refused the call for load
	CauseCrashesServers    = "crashes_servers"      // backend servers end when they run it, see package crash
	CauseKeysUnproved      = "keys_unproved"        // the node can't tell whether the key of the client account has been withdrawn
	CauseLinkFull          = "link_full"            // no link has room for the body or the answer in time
	CauseMemoryFull        = "memory_full"          // the node has no memory for the body in time
	CauseSilent            = "silent"               // the node did not acknowledge the call in time
	CauseQuotaExceeded     = "quota_exceeded"       // the client account is over its quota
	CauseQuotaUnknown      = "quota_unknown"        // the keeper of the quota of the client account did not answer in time
)

// Reply is the reply to a call, or to one attempt at it.
type Reply struct {
	Fate       Fate
	Status     int
	Header     http.Header
	Body       []byte
	Cause      string // reason of a refusal
	RetryAfter time.Duration
	Load       pick.Load // reported with the reply
	Node       string    // id of the node that replied
	Version    uint64    // configuration version of the node that replied
	// Replied is set if the reply comes from the node that the call was sent to.
	// Otherwise the sender created the reply, since it got none or a corrupt one.
	Replied bool
	Shed    bool // the backend server refused the call for load
	// Notice is what the node that replied has heard from its backend server. It is
	// zero if that is of no concern to the sender.
	Notice ServerNotice
	// NestedFailure is set if the call failed because a nested call of the backend
	// server failed. Such a failure says nothing about the server, and a resend of
	// the call would only multiply the resends of the nested calls.
	NestedFailure bool
}

// Succeeded reports whether a backend server has answered with a status below
// 500.
func (r Reply) Succeeded() bool {
	return r.Fate == Answered && r.Status < http.StatusInternalServerError
}

// Refuse returns a refusal with the given fate and cause.
func Refuse(f Fate, cause string, retryAfter time.Duration) Reply {
	return Reply{Fate: f, Cause: cause, RetryAfter: retryAfter, Replied: true}
}

// MayHaveArrived reports whether a backend server may have received the call.
func (r Reply) MayHaveArrived() bool {
	return r.Fate != NotRun || r.Shed || r.Cause == CauseMoved
}

// RefusedForLoad reports whether a node has refused the call for want of room at its backend
// server.
func (r Reply) RefusedForLoad() bool {
	return r.Fate == NotRun && r.Replied && !r.MayHaveArrived() && !r.ResendIsFree()
}

// ResendIsFree reports whether the call may be sent to another upstream without
// cost to the retry budget. That holds for refusals that don't come from load.
// Their number is small, since a draining or fenced upstream can refuse a call
// only once.
func (r Reply) ResendIsFree() bool {
	if r.Fate != NotRun {
		return false
	}
	switch r.Cause {
	case CauseDraining, CauseUpstreamFailing, CauseMoved, CauseFenced, CauseUnreachable:
		return true
	}
	return false
}
