package native

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/acct"
	"tanagerchute/core/author"
	"tanagerchute/core/call"
	"tanagerchute/core/field"
	"tanagerchute/core/quota"
)

// Headers between a node and its callers, and between a node and its backend
// server.
const (
	HeaderRequest  = "Tanager-Request"   // id of the call, which the backend server may echo
	HeaderTimeLeft = "Tanager-Time-Left" // time until the deadline, such as 250ms
	HeaderDepth    = "Tanager-Depth"     // nesting depth, see RequestInfo and ForwardInfo
	HeaderOutcome  = "Tanager-Outcome"   // fate of a refused call: not_run or unknown
	HeaderCause    = "Tanager-Cause"     // cause of a refusal
	// HeaderRateLimit is the number of requests a second that the backend server
	// takes from all nodes together, in each answer for as long as it applies.
	HeaderRateLimit = "Tanager-Rate-Limit"
	// HeaderAccount is the name of the client account to which the call belongs, for
	// the backend server.
	HeaderAccount = "Tanager-Account"
	// HeaderCredential carries the key of a client account, with CredentialScheme.
	HeaderCredential = "Authorization"
)

// CredentialScheme is the scheme of HeaderCredential.
const CredentialScheme = "Bearer"

// Causes of requests that are rejected before dispatch.
const (
	causeBadRequest   = "bad_request"
	causeUnauthorized = "unauthorized" // without the key of a client account
)

// Dialect is the tanagerchute.Dialect with the Tanager-* headers. The zero value
// is ready to use.
type Dialect struct{}

var _ tanagerchute.Dialect = Dialect{}

// ParseRequest implements tanagerchute.Dialect.
func (Dialect) ParseRequest(h http.Header) (tanagerchute.RequestInfo, error) {
	info := tanagerchute.RequestInfo{Credential: acct.ParseCredential(CredentialScheme, h.Values(HeaderCredential))}
	if v := h.Get(HeaderTimeLeft); v != "" {
		left, err := time.ParseDuration(v)
		if err != nil || left <= 0 {
			return info, errors.New(HeaderTimeLeft + " is not a positive duration such as 250ms")
		}
		info.TimeLeft = left
	}
	if v := h.Get(HeaderDepth); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			return info, errors.New(HeaderDepth + " is not a number")
		}
		info.Depth = n
	}
	return info, nil
}

// PrepareRequest implements tanagerchute.Dialect.
func (Dialect) PrepareRequest(h http.Header, from tanagerchute.RequestOrigin) {
	for _, name := range []string{HeaderRequest, HeaderTimeLeft, HeaderDepth} {
		h.Del(name)
	}
	if from.Accounts {
		h.Del(HeaderCredential)
		h.Del(HeaderAccount)
	}
}

// PrepareResponse implements tanagerchute.Dialect.
func (Dialect) PrepareResponse(h http.Header) {
	h.Del(HeaderRequest)
	h.Del(HeaderRateLimit)
	// Callers take these for what a node says.
	h.Del(HeaderOutcome)
	h.Del(HeaderCause)
}

// AnswerRules implements tanagerchute.Dialect. Backend servers need not name the request,
// and the status promises nothing without HeaderOutcome.
func (Dialect) AnswerRules() author.Rules { return author.Rules{} }

// WriteRefusal implements tanagerchute.Dialect.
func (Dialect) WriteRefusal(w http.ResponseWriter, r call.Reply) {
	h := w.Header()
	h.Set(HeaderOutcome, r.Fate.String())
	h.Set(HeaderCause, r.Cause)
	if r.RetryAfter > 0 {
		seconds := int((r.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	http.Error(w, refusalText(r), refusalStatus(r))
}

// WriteRejection implements tanagerchute.Dialect.
func (Dialect) WriteRejection(w http.ResponseWriter, status int, reason string) {
	h := w.Header()
	h.Set(HeaderOutcome, call.NotRun.String())
	h.Set(HeaderCause, causeBadRequest)
	switch status {
	case http.StatusServiceUnavailable:
		h.Set(HeaderCause, call.CauseNodeNotReady)
		h.Set("Retry-After", "1")
	case http.StatusUnauthorized:
		h.Set(HeaderCause, causeUnauthorized)
		h.Set("WWW-Authenticate", CredentialScheme)
	}
	http.Error(w, reason, status)
}

// refusalStatus returns the HTTP status of the response for a refused call.
func refusalStatus(r call.Reply) int {
	switch {
	case r.Cause == call.CauseDeadline:
		return http.StatusGatewayTimeout
	case r.Cause == call.CauseQuotaExceeded:
		return http.StatusTooManyRequests
	case r.Fate == call.NotRun:
		return http.StatusServiceUnavailable
	case r.Cause == call.CauseKeyTooOld || r.Cause == call.CauseHomeNotInStanding || r.Cause == call.CauseHomeUnreachable:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// refusalText returns the body of the response for a refused call.
func refusalText(r call.Reply) string {
	if r.Fate == call.NotRun {
		return "not run: " + r.Cause
	}
	return "it is not known whether the call has run: " + r.Cause
}

// SetForwardHeaders implements tanagerchute.Dialect.
func (Dialect) SetForwardHeaders(h http.Header, info tanagerchute.ForwardInfo) {
	h.Set(HeaderRequest, info.ID)
	h.Set(HeaderTimeLeft, info.TimeLeft.Round(time.Microsecond).String())
	h.Set(HeaderDepth, strconv.Itoa(info.Depth))
	if info.Account != "" {
		h.Set(HeaderAccount, info.Account)
	}
}

// ParseHealthCheck implements tanagerchute.Dialect. It always returns false, since
// answers to health checks hold no id in this dialect.
func (Dialect) ParseHealthCheck(*http.Response) (string, bool) { return "", false }

// ParseResponse implements tanagerchute.Dialect. A backend server reports that it
// has not run a call with status 503 or 429 and the outcome not_run.
func (Dialect) ParseResponse(res *http.Response) tanagerchute.ResponseInfo {
	info := tanagerchute.ResponseInfo{ID: field.Single(res.Header, HeaderRequest), Marked: true}
	s := &info.Server
	s.RateLimit, s.Limited, s.Malformed = quota.ParseRate(res.Header.Values(HeaderRateLimit))
	refused := res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests
	if !refused || res.Header.Get(HeaderOutcome) != call.NotRun.String() {
		return info
	}
	info.NotRun = true
	seconds, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if err == nil { // otherwise the header is absent or a date, which is ignored
		info.RetryAfter = time.Duration(seconds) * time.Second
	}
	return info
}
