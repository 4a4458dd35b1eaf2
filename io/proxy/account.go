package proxy

import (
	"net/http"
	"time"

	"tanagerchute/core/acct"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/routes"
	"tanagerchute/core/vers"
)

// unprovedRetryAfter is the Retry-After time of a request with a key at a node that has
// not heard for too long whether keys were withdrawn.
const unprovedRetryAfter = 500 * time.Millisecond

// identify returns c as a call of the client account whose key the request carries, or
// the rejection of a request whose key is not valid. A key that is presented has to be
// valid on any route, since the caller expects to act for its account.
func (p *Proxy) identify(c call.Call, in ingressRequest, rt *routes.Route, cred acct.Credential) (call.Call, *rejection) {
	if in.snapshot.Table.Accounts() == nil {
		return c, nil
	}
	switch cred.State {
	case acct.Absent:
		if rt.Anonymous || p.mayBeNested(in.origin) {
			return c, nil
		}
		return c, unauthorized("request carries no key")
	case acct.Malformed:
		return c, unauthorized("credential is malformed")
	}
	account, _, rej := p.findAccount(in.snapshot, cred.Key)
	if rej != nil {
		return c, rej
	}
	return c.WithAccount(account), nil
}

// mayBeNested reports whether a request may be a call of the node's own backend server,
// which carries no key. If callers use the same listener, such a call can't be told
// from a request of theirs.
func (p *Proxy) mayBeNested(origin Origin) bool {
	return origin.Backend || p.cfg.NestedCallsUntraced
}

// findAccount returns the account that holds a key. Where withdrawn keys must end within
// a bound, that is the account in the version in force now, and left is the time for
// which it can be relied on. Otherwise it is the one in the version of the request.
func (p *Proxy) findAccount(s *vers.Snapshot, key acct.Digest) (a *acct.Account, left time.Duration, rej *rejection) {
	if current, until, bounded := p.cfg.Feed.SnapshotForKeys(); bounded {
		if until <= 0 {
			return nil, 0, p.unproved()
		}
		s, left = current, until
	}
	if accounts := s.Table.Accounts(); accounts != nil {
		if a, ok := accounts.Find(key); ok {
			return a, left, nil
		}
	}
	return nil, 0, unauthorized("key is not known")
}

// limitByProof checks again, right before a call is dispatched, that its key may be
// served, and bounds the time of its start by that until which this is known. The body
// may have taken long to arrive.
func (p *Proxy) limitByProof(c *call.Call, cred acct.Credential) *rejection {
	if c.Account == "" {
		return nil
	}
	if _, _, bounded := p.cfg.Feed.SnapshotForKeys(); !bounded {
		return nil
	}
	a, left, rej := p.findAccount(nil, cred.Key)
	if rej != nil {
		return rej
	}
	if a.Name != c.Account {
		return unauthorized("key belongs to another account now")
	}
	c.WaitUntil = earlier(c.WaitUntil, time.Now().Add(left))
	return nil
}

// unauthorized returns the rejection of a request without a valid key. msg must not hold
// the key.
func unauthorized(msg string) *rejection {
	return &rejection{status: http.StatusUnauthorized, msg: msg, kind: event.RequestKeyInvalid}
}

// unproved returns the rejection of a request with a key that may have been withdrawn.
func (p *Proxy) unproved() *rejection {
	r := call.Refuse(call.NotRun, call.CauseKeysUnproved, unprovedRetryAfter)
	return &rejection{kind: event.RequestUnproved, refusal: &r, cause: p.cfg.Feed.ProofAge()}
}
