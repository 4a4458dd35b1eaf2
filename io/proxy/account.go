package proxy

import (
	"net/http"

	"tanagerchute/core/acct"
	"tanagerchute/core/event"
	"tanagerchute/core/routes"
)

// identify returns the client account that a request belongs to, nil if it belongs to
// none, or the rejection of a request whose key is not valid. A key that is presented
// has to be valid on any route, since the caller expects to act for its account.
func (p *Proxy) identify(in ingressRequest, rt *routes.Route, cred acct.Credential) (*acct.Account, *rejection) {
	accounts := in.snapshot.Table.Accounts()
	if accounts == nil {
		return nil, nil
	}
	switch cred.State {
	case acct.Absent:
		if rt.Anonymous || p.mayBeNested(in.origin) {
			return nil, nil
		}
		return nil, unauthorized("request carries no key")
	case acct.Malformed:
		return nil, unauthorized("credential is malformed")
	}
	account, ok := accounts.Find(cred.Key)
	if !ok {
		return nil, unauthorized("key is not known")
	}
	return account, nil
}

// mayBeNested reports whether a request may be a call of the node's own backend server,
// which carries no key. If callers use the same listener, such a call can't be told
// from a request of theirs.
func (p *Proxy) mayBeNested(origin Origin) bool {
	return origin.Backend || p.cfg.NestedCallsUntraced
}

// unauthorized returns the rejection of a request without a valid key. msg must not hold
// the key.
func unauthorized(msg string) *rejection {
	return &rejection{status: http.StatusUnauthorized, msg: msg, kind: event.RequestUnauthorized}
}
