package pick

import (
	"time"
)

// Candidate is an upstream, or an entry node of another data centre.
type Candidate struct {
	ID     string // node id, or address of an entry node
	Addr   string
	Slots  int
	Remote bool // in another data centre
	Entry  bool // an entry node, which chooses the upstream itself
	// LinkRate is what the link of its instance carries in each direction, in bytes a
	// second. It is 0 if the link is not known to be bounded, and for the picker's own
	// node, to which calls take no link.
	LinkRate float64
	// Version is the version of its backend server's software, empty if unknown.
	Version string
	// WarmupEnd is when the warm-up period of its backend server ends, zero if
	// there is none. Until then the candidate gets few calls (slow start).
	WarmupEnd time.Time
}

// Criteria describes the call that an upstream is chosen for.
type Criteria struct {
	Exclude       []string // ids of candidates that must not be chosen
	LargeResponse bool     // the answer is expected to be large
	BodyBytes     int64    // length of the body
	AnswerBytes   int64    // expected length of the answer, 0 if not known
	// OutRate is what the link of the picker's own node carries, in bytes a second, 0 if it
	// is not bounded. OutWait is the time until it has room for another body.
	OutRate float64
	OutWait time.Duration
	// Target is the time by which the call should be answered, zero if the call
	// has no target.
	Target time.Time
	Class  string // of work, empty if not known
	// Refused is set if a candidate has refused the call because of load. Then only those
	// that may have room for it are chosen.
	Refused bool
}

// Load is the load of an upstream. Its gatekeeper, the node that admits calls to
// the backend server, reports it with each answer.
type Load struct {
	InFlight    int
	Queued      int
	Limit       int           // concurrency limit
	ServiceTime time.Duration // smoothed time of a call at the backend server, 0 if not known
	// RateLimit is the number of requests a second that the backend server takes
	// from all nodes together, 0 for no limit.
	RateLimit float64
	QuotaWait time.Duration // time until another call could start under RateLimit
	// LinkWait and LinkOutWait are the times until the link of its instance has room for
	// another body to it, and for another large answer from it.
	LinkWait    time.Duration
	LinkOutWait time.Duration
	// Acceptance is the share of the recent calls of the class of this one that it did not
	// refuse for load, 0 if not known.
	Acceptance float64
}
