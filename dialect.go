package tanagerchute

import (
	"net/http"
	"time"

	"tanagerchute/core/acct"
	"tanagerchute/core/author"
	"tanagerchute/core/call"
)

// RequestInfo is what the headers of a caller's request say about it.
type RequestInfo struct {
	ID       string        // request id, empty if the caller gave none
	TimeLeft time.Duration // time until the caller's deadline, 0 if it gave none
	Depth    int           // number of calls that this one is nested in
	// Credential identifies the client account. It does not hold the key.
	Credential acct.Credential
}

// RequestOrigin is what a node knows about where a caller's request comes from.
type RequestOrigin struct {
	Service string // of the instance that it comes from, empty if it is not known
	// Accounts reports that the configuration has client accounts, so that the key in
	// the request is meant for the node.
	Accounts bool
}

// ForwardInfo is what a node tells its backend server about a request.
type ForwardInfo struct {
	ID       string        // of the request
	TimeLeft time.Duration // time until the deadline
	Depth    int           // depth of the calls that the backend server makes for it
	Instance string        // id of the only backend server that may run it, empty for any
	Account  string        // client account that it belongs to, empty if none
}

// ResponseInfo is what the headers and status of a backend server's answer say
// about the request.
type ResponseInfo struct {
	ID string // id of the answered request, empty if absent
	// NotRun reports that the request has not run and never will.
	NotRun bool
	// Misdirected reports that the answer is from another backend server than
	// ForwardInfo.Instance, which has not run the request.
	Misdirected bool
	// Marked reports that the answer bears the mark by which answers of backend servers are
	// known, and its body as the server made it. Without such a mark it is always set.
	Marked     bool
	RetryAfter time.Duration // 0 if absent
	Server     ServerStatement
}

// Author returns what decides whether an answer with the given status is of the backend
// server.
func (i ResponseInfo) Author(status int) author.Answer {
	return author.Answer{Status: status, Named: i.ID, Marked: i.Marked, NotRun: i.NotRun, Misdirected: i.Misdirected}
}

// ServerStatement is what a backend server says about itself in an answer.
type ServerStatement struct {
	// RateLimit is the number of requests a second that the server takes from all
	// nodes together. It is set if Limited is. An answer without a limit says that
	// there is none any more.
	RateLimit float64
	Limited   bool
	Leaving   bool // it is about to stop and takes no new requests
	// Malformed says what could not be read, nil if everything could. The limit of
	// earlier answers then still applies.
	Malformed error
}

// Dialect reads and writes the headers and the error responses that a node
// exchanges with callers and backend servers. It only translates: all decisions
// are made by its callers. Its methods are safe for concurrent use.
type Dialect interface {
	// ParseRequest reads the headers of a caller's request. The error says
	// which header is malformed.
	ParseRequest(h http.Header) (RequestInfo, error)
	// PrepareRequest removes and sets headers of a caller's request before it
	// is forwarded. If the configuration has client accounts, it removes the
	// credential, and what the caller may have set in place of the account.
	PrepareRequest(h http.Header, from RequestOrigin)
	// PrepareResponse removes headers of a backend server's answer that the
	// caller must not see.
	PrepareResponse(h http.Header)
	// WriteRefusal writes the response for a call that got no answer from a
	// backend server.
	WriteRefusal(w http.ResponseWriter, r call.Reply)
	// WriteRejection writes the response for a request that is malformed, not
	// allowed or has no route, or that arrives before the node is ready.
	WriteRejection(w http.ResponseWriter, status int, reason string)
	// SetForwardHeaders sets the headers of a request to a backend server.
	SetForwardHeaders(h http.Header, info ForwardInfo)
	// ParseResponse reads the status and headers of a backend server's answer.
	ParseResponse(res *http.Response) ResponseInfo
	// AnswerRules returns what the answers of backend servers bear.
	AnswerRules() author.Rules
	// ParseHealthCheck reads the answer to a health check and returns the id
	// of the backend server, empty if the answer holds none. ok is false if it
	// holds none, or if the server does not accept requests.
	ParseHealthCheck(res *http.Response) (id string, ok bool)
}
