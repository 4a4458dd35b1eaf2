// Package author decides whether what a backend server sent is its answer to a request.
//
// A faulty server may cut an answer, send bytes that are no answer, or send an earlier
// answer once more. Such bytes must not reach a caller as a success, nor as a promise that
// its request has not run, nor as the answer to another request. Judge is the one rule for
// all statuses, for new connections and used ones, for what servers send and for what
// nodes pass on.
//
// # Usage
//
//	switch v, reason := author.Judge(rules, answer); v {
//	case author.Answered: // pass it on
//	case author.NotRun: // the server has refused the request
//	case author.Misdirected: // another server has the address, and has refused it
//	case author.Other: // read on, the answer is to come
//	case author.Foreign: // what became of the request is unknown
//	}
package author

import "net/http"

// Rules tell what the answers of backend servers bear.
type Rules struct {
	// NamesRequest reports that each answer names the request that it is to.
	NamesRequest bool
	// PromisesByStatus reports that callers take some statuses for the promise that the
	// request has not run and never will.
	PromisesByStatus bool
}

// Answer is the head of an answer.
type Answer struct {
	Status    int
	Asked     string // id of the request that was sent last, empty for a health check
	Named     string // id of the request that the answer names, empty if it names none
	FirstOnly bool   // that request is the only one that was sent on the connection
	// Marked reports that the answer bears the mark of the server, and a body as the server
	// made it. It is always set where servers have no mark.
	Marked      bool
	NotRun      bool // it says that the request has not run
	Misdirected bool // it says so, and that it is from another server than expected
}

// Verdict is the decision on an answer.
type Verdict int

// Verdicts.
const (
	Answered    Verdict = iota // the server's answer to the request
	NotRun                     // its refusal of the request
	Misdirected                // the refusal of another server, which has the address now
	Other                      // an answer to another request
	Foreign                    // it is not shown to be an answer of the server
)

// Judge decides on an answer. reason tells why it is Foreign.
func Judge(rules Rules, a Answer) (v Verdict, reason string) {
	switch {
	case a.Status < 200 || a.Status > 599:
		return Foreign, "status is out of range"
	case a.Named != "" && a.Named != a.Asked:
		return Other, ""
	case a.Named == "" && !a.FirstOnly:
		return Foreign, "the answer does not say to which request it is"
	case a.Named == "" && a.Asked != "" && rules.NamesRequest:
		return Foreign, "the answer names no request"
	}
	refused := a.NotRun || a.Misdirected
	switch {
	case refused && a.Status < 400:
		return Foreign, "the answer is a refusal and a success"
	case a.Misdirected:
		return Misdirected, ""
	case a.NotRun:
		return NotRun, ""
	case a.Asked != "" && !a.Marked:
		return Foreign, "the answer does not bear the mark of the server"
	case a.Asked != "" && rules.PromisesByStatus && promises(a.Status):
		return Foreign, "the status promises that the request has not run, and the server does not say so"
	}
	return Answered, ""
}

// promises reports whether callers may take a status for the promise that the request has
// not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
