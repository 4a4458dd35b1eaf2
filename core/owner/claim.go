package owner

// Claim names the backend server that was last heard at the address of a node. The zero
// Claim names none.
type Claim struct {
	ID      string `json:"id"`
	StartMs int64  `json:"start_ms,omitempty"` // start of the server, Unix milliseconds, 0 if unknown
	Foreign bool   `json:"foreign,omitempty"`  // the server is of another service than the node
	// HeardMs is when the server was first heard, Unix milliseconds. Of two claims about an
	// address the later one has the higher value, also if the clock was set back.
	HeardMs int64 `json:"heard_ms"`
}

// Known reports whether the claim names a server.
func (c Claim) Known() bool { return c.ID != "" }

// Names reports whether c and o name the same process of a server.
func (c Claim) Names(o Claim) bool {
	return c.ID == o.ID && c.StartMs == o.StartMs && c.Foreign == o.Foreign
}

// Source tells how a node came to know a claim.
type Source string

// Sources of claims.
const (
	FromHeartbeat Source = "a heartbeat"
	FromMembers   Source = "the other nodes"
	FromStore     Source = "the store"
)

// Answer is what the server at the address said when it was asked by a health check. The
// zero Answer means that it did not answer, or not so that it can be known by it.
type Answer struct {
	ID    string
	Ready bool // it takes requests
}

// Verdict classifies the server that has answered a health check.
type Verdict int

// Verdicts.
const (
	Confirmed  Verdict = iota // it is the server that was heard at the address
	Unanswered                // it did not say who it is
	NotReady                  // it takes no requests
	Unheard                   // no server was heard at the address, as far as is known
	Other                     // another server was heard at the address
	Foreign                   // the server that was heard at the address is of another service
)

// String describes the verdict in logs.
func (v Verdict) String() string {
	return [...]string{
		"it was heard at the address", "it does not say who it is", "it takes no requests",
		"nobody is known to have been heard at the address", "another server was heard at the address",
		"a server of another service was heard at the address",
	}[v]
}
