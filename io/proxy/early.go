package proxy

import (
	"net/http"

	"tanagerchute/core/call"
)

// MayStartEarly reports whether a request of a caller may be started before the ones in
// front of it on its connection are answered. That holds for idempotent requests, whose
// caller may send them again, unless their answer is too large to be kept meanwhile.
func (p *Proxy) MayStartEarly(r *http.Request) bool {
	snapshot := p.cfg.Feed.Snapshot()
	if snapshot == nil {
		return false
	}
	rt, rej := p.classify(snapshot.Table, r, Origin{})
	if rej != nil {
		return false
	}
	c := call.Call{Method: r.Method, AtMostOnce: rt.AtMostOnce, MarkedIdempotent: rt.Idempotent}
	return c.Idempotent() && !rt.LargeResponse
}
