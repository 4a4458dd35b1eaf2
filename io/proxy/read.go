package proxy

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tanagerchute"
	"tanagerchute/core/call"
	"tanagerchute/core/crash"
	"tanagerchute/core/event"
	"tanagerchute/core/routes"
	"tanagerchute/io/ahead"
)

// maxRequestLineBytes is what the head of a request may have beside its headers.
const maxRequestLineBytes = 16 << 10

// MaxHeadBytes returns the size beyond which the head of a request need not be read, since it is
// refused.
func (p *Proxy) MaxHeadBytes() int { return p.Limits().MaxHeaderBytes + maxRequestLineBytes }

// validateHead checks the size of the head, which does not depend on the class of the request.
func (p *Proxy) validateHead(r *http.Request, limit int) *rejection {
	why := ahead.RefusalOf(r.Context())
	if why == ahead.NoRoom {
		return p.refuseHead()
	}
	size := 0
	for k, vs := range r.Header {
		for _, v := range vs {
			size += len(k) + len(v) + len(": \r\n")
		}
	}
	if size > limit || why == ahead.HeadTooLarge {
		return newRejection(http.StatusRequestHeaderFieldsTooLarge, "headers have more than "+strconv.Itoa(limit)+" bytes")
	}
	return nil
}

// refuseHead returns the rejection of a request for whose head there is no memory. It may have had a
// key, with which an earlier request has run.
func (p *Proxy) refuseHead() *rejection {
	r := call.Refuse(call.NotRun, call.CauseMemoryFull, p.spread(headRetryAfter))
	if !p.cfg.KeysUnused {
		r = withUnknownFate(r)
	}
	return &rejection{refusal: &r, kind: event.MemoryRefused, cause: "large heads of other requests take all memory for them"}
}

// headRetryAfter is the Retry-After time of a request for whose head there is no memory.
const headRetryAfter = time.Second

// readCall reads the whole call and classifies it. If it is rejected, the returned
// call holds what is known of it.
func (p *Proxy) readCall(w http.ResponseWriter, r *http.Request, in ingressRequest) (call.Call, *rejection) {
	info, err := p.cfg.Dialect.ParseRequest(r.Header)
	if err != nil {
		return call.Call{Trace: in.trace}, newRejection(http.StatusBadRequest, err.Error())
	}
	c := call.Call{Trace: in.trace, ID: info.ID, Issued: in.arrivedAt, Method: r.Method, Host: r.Host, Path: pathOf(r), Depth: info.Depth}
	if c.ID == "" {
		c.ID, c.Issued = newID()
	}
	if info.TimeLeft > 0 {
		c.CallerDeadline = in.arrivedAt.Add(info.TimeLeft)
	}
	if info.Depth >= maxCallDepth {
		return c, newRejection(http.StatusLoopDetected, "calls are nested more than 16 deep")
	}
	if in.snapshot == nil || !p.cfg.Feed.Ready() {
		return c, newRejection(http.StatusServiceUnavailable, "node has no configuration yet")
	}
	rt, rej := p.classify(in.snapshot.Table, r, in.origin)
	if rej != nil {
		return c, rej
	}
	c.Service = rt.Pick(p.randomUint64())
	c.Version = in.snapshot.Version.Number
	c = c.WithRoute(rt, in.arrivedAt)
	c, rej = p.identify(c, in, rt, info.Credential)
	if rej != nil {
		return c, rej
	}
	if rej := p.limitDeadline(&c, info, in); rej != nil {
		return c, rej
	}
	if r.ContentLength > in.limits.MaxBodyBytes {
		return c, newRejection(http.StatusRequestEntityTooLarge, errBodyTooLarge.Error())
	}
	if !p.hasKey(c, r.Header) { // else the home of the key knows whether it has run
		if refusal := p.refuseForLinks(c, r.ContentLength); refusal != nil {
			return c, &rejection{refusal: refusal, unread: true}
		}
	}
	if c.Body, rej = p.readBodyInTime(w, r, c, in.limits.MaxBodyBytes); rej != nil {
		return c, rej
	}
	if rej := p.limitByProof(&c, info.Credential); rej != nil {
		return c, rej
	}
	if !time.Now().Before(c.Deadline) { // it has waited behind other requests of its connection
		refusal := call.Refuse(call.NotRun, call.CauseDeadline, 0)
		return c, &rejection{refusal: &refusal, kind: event.RequestRefused, cause: call.CauseDeadline}
	}
	c.Header = endToEndHeaders(r.Header)
	c.Header.Del(headerCall)
	c.Header.Del(headerAnswer)
	p.cfg.Dialect.PrepareRequest(c.Header, tanagerchute.RequestOrigin{Service: in.origin.Service, Accounts: in.snapshot.Table.Accounts() != nil})
	c.Work = crash.Identify(crash.Request{Caller: in.origin.Service, Method: c.Method, Host: c.Host, Path: c.Path, Body: c.Body})
	return c, nil
}

// pathOf returns the path and query exactly as the caller wrote them.
func pathOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// randomUint64 returns a random number for the choice of a service by the weights
// of a traffic split.
func (p *Proxy) randomUint64() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cfg.Rand.Uint64()
}

// classify finds the route of a request by its host, method and path, and checks
// that its origin may call that host.
func (p *Proxy) classify(t *routes.Table, r *http.Request, origin Origin) (*routes.Route, *rejection) {
	host := r.Host
	if !t.HasHost(host) {
		if bare, _, err := net.SplitHostPort(host); err == nil {
			host = bare
		}
	}
	if !t.HasHost(host) {
		return nil, newRejection(http.StatusNotFound, "no service is called "+strconv.Quote(host))
	}
	path, _, _ := strings.Cut(pathOf(r), "?") // as it is sent to the upstream
	rt, ok := t.Match(host, r.Method, path)
	if origin.Backend && !t.MayCall(origin.Service, host) {
		return nil, newRejection(http.StatusForbidden, "service "+origin.Service+" may not call "+host)
	}
	if !ok {
		return nil, newRejection(http.StatusNotFound, "no class of "+host+" covers "+r.Method+" "+path)
	}
	return rt, nil
}

// readBodyInTime reads the whole body, unless the deadline of the call passes before. A
// caller may stop sending in the middle of it.
func (p *Proxy) readBodyInTime(w http.ResponseWriter, r *http.Request, c call.Call, limit int64) ([]byte, *rejection) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	enterStep(r.Context(), stepBody)
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(c.Deadline) // a request that was started early has no body
	body, rej := p.readBody(r, c, limit)
	if rej == nil {
		_ = rc.SetReadDeadline(time.Time{})
	}
	return body, rej
}

// readBody reads the whole body before the call is sent, so that a truncated body
// never reaches a backend server, and so that the call can be resent. Its declared length
// is within the limit.
func (p *Proxy) readBody(r *http.Request, c call.Call, limit int64) ([]byte, *rejection) {
	if p.links.callerIn.Bulk(r.ContentLength) {
		return p.readBulkBody(r, c)
	}
	body, err := p.cfg.Memory.Read(r.Context(), p.links.countReads(r), r.ContentLength, limit, bodyMemory(c))
	if err != nil {
		return nil, p.rejectBody(r, c, err)
	}
	return body, nil
}
