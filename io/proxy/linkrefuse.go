package proxy

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"tanagerchute/core/band"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/pick"
	"tanagerchute/io/timer"
)

// retrySpread is the range by which the callers of refused calls are spread, relative to
// the time until there is room. minLinkRetryAfter is the least time.
const (
	retrySpread       = 0.5
	minLinkRetryAfter = 50 * time.Millisecond
)

// refuseLinkFull returns the refusal of a call for which no link has room. The time until
// there is room is spread over the callers.
func (p *Proxy) refuseLinkFull(untilRoom time.Duration) call.Reply {
	return call.Refuse(call.NotRun, call.CauseLinkFull, p.spread(max(untilRoom, minLinkRetryAfter)))
}

// spread returns a random time of at least d, so that callers that were refused at the same
// time don't return at the same time.
func (p *Proxy) spread(d time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration((1 + retrySpread*p.cfg.Rand.Float64()) * float64(d))
}

// refuseForLinks returns a refusal if a call whose body was not read yet can't pass the links
// in time: that of this instance, and that of any upstream. length is that of its body,
// negative if it is not known.
func (p *Proxy) refuseForLinks(c call.Call, length int64) *call.Reply {
	criteria := p.linkCriteria(c, max(length, 0))
	if max(criteria.BodyBytes, criteria.AnswerBytes) <= band.PieceBytes(0) {
		return nil // small on any link
	}
	view := p.cfg.Fleet.View()
	if !p.links.bounded() && !p.candidates.linksBounded(view) {
		return nil
	}
	now := time.Now()
	e, ok := p.estimateLinks(now, p.candidates.get(view, c.Service), criteria)
	if !ok {
		return nil // refused by dispatch
	}
	if e.Wait == 0 {
		return nil // no link is in the way
	}
	excess := e.Excess(now, c.Target, c.Deadline)
	if excess == 0 {
		return nil
	}
	p.recordEvent(event.TransferRefused, c, fmt.Sprintf("ingress: body of %d bytes, answer of %d expected, room in %v as reported %v ago, %v for links and work, %v too late",
		criteria.BodyBytes, criteria.AnswerBytes, e.Wait.Round(time.Millisecond), e.Age.Round(time.Millisecond), e.Lasts.Round(time.Millisecond), excess.Round(time.Millisecond)))
	r := p.refuseLinkFull(excess)
	return &r
}

// estimateLinks estimates the course of a call at the best of cs, with the link of this
// instance if callers use it. ok is false if no candidate is left.
func (p *Proxy) estimateLinks(now time.Time, cs candidates, criteria pick.Criteria) (e band.Estimate, ok bool) {
	p.mu.Lock()
	e, ok = p.picker.EstimateLink(now, cs.used(false), criteria)
	p.mu.Unlock()
	if !ok {
		return e, false
	}
	if in := p.links.callerIn; in.Bulk(criteria.BodyBytes) {
		e.Wait = max(e.Wait, in.WaitTime())
		e.Lasts += band.Time(criteria.BodyBytes, in.Rate())
	}
	if out := p.links.callerOut; out.Bulk(criteria.AnswerBytes) {
		e.Wait = max(e.Wait, out.WaitTime()-e.Lasts)
		e.Lasts += band.Time(criteria.AnswerBytes, out.Rate())
	}
	return e, true
}

// unreadCloseDelay is the time between the refusal of a call with an unread body and the end
// of its connection. The caller may not have read the refusal before, and would lose it.
const unreadCloseDelay = 500 * time.Millisecond

// refuseUnread writes the refusal of a call whose body was not read. If callers are on the
// same instance, the server reads the rest of it and keeps the connection, as it does after
// any early answer. Otherwise the connection is closed, since the rest would take the link
// for nothing.
func (p *Proxy) refuseUnread(w http.ResponseWriter, r *http.Request, c call.Call, reply call.Reply, arrivedAt time.Time) {
	p.reportResult(c, reply, AttemptSummary{}, arrivedAt)
	closes := p.links.callerIn != nil && r.ContentLength != 0 && r.ProtoMajor == 1
	if !closes {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(unreadUntil(c))
		}
		p.writeReply(r.Context(), w, c, reply)
		return
	}
	w.Header().Set("Connection", "close")
	whole := &wholeResponse{ResponseWriter: w}
	p.writeReply(r.Context(), whole, c, reply)
	whole.send()
	rc := http.NewResponseController(w)
	_ = rc.Flush() // fails only if the caller has disconnected
	timer.Sleep(r.Context(), unreadCloseDelay)
	_ = rc.SetReadDeadline(time.Now())
}

// wholeResponse collects a short response, so that it is sent with its length. Its reader
// finds the end of it before the handler has ended.
type wholeResponse struct {
	http.ResponseWriter
	status int
	body   []byte
}

// WriteHeader implements http.ResponseWriter.
func (w *wholeResponse) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *wholeResponse) Write(b []byte) (int, error) {
	w.body = append(w.body, b...)
	return len(b), nil
}

// send sends what was collected.
func (w *wholeResponse) send() {
	w.Header().Set("Content-Length", strconv.Itoa(len(w.body)))
	w.ResponseWriter.WriteHeader(w.status)
	_, _ = w.ResponseWriter.Write(w.body) // fails only if the caller has disconnected
}

// serveAsGatekeeper runs a call at the own backend server. It refuses one whose answer is
// expected to be large if the link would not let it pass in time.
func (p *Proxy) serveAsGatekeeper(ctx context.Context, c call.Call) call.Reply {
	if !p.links.bounded() {
		return p.cfg.Gate.Serve(ctx, c)
	}
	if n := p.links.sizes.expect(c); p.links.out.Bulk(n) {
		load := p.cfg.Gate.Load()
		e := band.Estimate{Wait: max(p.links.outWaitTime()-load.ServiceTime, 0), Lasts: load.ServiceTime + band.Time(n, p.links.out.Rate())}
		if excess := e.Excess(time.Now(), c.Target, c.Deadline); e.Wait > 0 && excess > 0 {
			p.recordEvent(event.TransferRefused, c, fmt.Sprintf("out: answer of %d bytes expected, room in %v", n, e.Wait.Round(time.Millisecond)))
			r := p.refuseLinkFull(excess)
			r.Load = load
			return r
		}
		p.links.expected.Add(n)
		defer p.links.expected.Add(-n)
	}
	r := p.cfg.Gate.Serve(ctx, c)
	p.links.sizes.observe(c, r)
	return r
}
