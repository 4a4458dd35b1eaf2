package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"tanagerchute"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/once"
	"tanagerchute/core/table"
	"tanagerchute/core/vers"
)

// HeaderKey is the idempotency key of a caller.
const HeaderIdempotencyKey = "Idempotency-Key"

// Bounds on a call.
const (
	defaultMaxHeaderBytes = 16 << 10
	maxCallDepth          = 16
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = time.Minute
)

var (
	errOtherDeployment = errors.New("call of another deployment")
	errBodyTooLarge    = errors.New("body is too large")
)

// Claims settles when an opaque key was first seen.
type Claims interface {
	// Claim returns the time at which key was first claimed.
	Claim(ctx context.Context, key string, now time.Time) (time.Time, error)
}

// badRequest is a call that is refused for its form. It has not run.
type rejection struct {
	status int
	msg    string
}

// Origin says where the requests of a listener begin.
type Origin struct {
	// Service is that of the instance on which they begin, empty if it is not
	// known.
	Service string
	// Backend says that they come from the node's own backend server only,
	// which may call what its service may.
	Backend bool
}

// arrival is what holds for a request from its arrival on, whatever comes into
// force meanwhile.
type ingressRequest struct {
	arrivedAt time.Time
	origin    Origin
	trace     string         // W3C trace id
	snapshot  *vers.Snapshot // nil before the first version
	limits    table.Limits
}

// Ingress serves the calls that callers or the node's own backend server make.
func (p *Proxy) Ingress(origin Origin) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		in := ingressRequest{arrivedAt: time.Now(), origin: origin, snapshot: p.cfg.Feed.Snapshot()}
		in.limits = p.limits(in.snapshot)
		if rej := validateHeaders(r, in.limits.MaxHeaderBytes); rej != nil {
			p.reject(w, call.Call{}, rej)
			return
		}
		ctx := propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := p.cfg.Tracer.Start(ctx, "ingress", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		in.trace = span.SpanContext().TraceID().String()
		c, rej := p.readCall(r, in)
		endNested := p.beginNestedCall(origin, c)
		if rej != nil {
			span.SetStatus(codes.Error, rej.msg)
			endNested(true)
			p.reject(w, c, rej)
			return
		}
		if span.IsRecording() {
			span.SetAttributes(attribute.String("service", c.Service), attribute.String("class", c.Class))
		}
		reply, summary, rej := p.handleCall(ctx, c)
		endNested(rej != nil || !reply.Succeeded())
		if rej != nil {
			p.reject(w, c, rej)
			return
		}
		if reply.Fate != call.Answered {
			span.SetStatus(codes.Error, reply.Fate.String()+" "+reply.Cause)
		}
		p.reportResult(c, reply, summary, in.arrivedAt)
		p.writeReply(w, c, reply)
	})
}

// reject answers a request that is refused for its form.
func (p *Proxy) reject(w http.ResponseWriter, c call.Call, rej *rejection) {
	p.cfg.Journal.Add(event.Event{
		At: time.Now(), Kind: event.RequestRejected, Subject: c.ID, Trace: c.Trace,
		Cause: strconv.Itoa(rej.status) + " " + rej.msg,
	})
	p.cfg.Dialect.WriteRejection(w, rej.status, rej.msg)
}

// below notes that the own backend server makes a call, so that neither the time
// for which it waits nor a failure is held against it. What it returns is called
// when the call has ended.
func (p *Proxy) beginNestedCall(origin Origin, c call.Call) func(failed bool) {
	if !origin.Backend {
		return func(bool) {}
	}
	return p.cfg.Gate.Below(c.Trace, c.Depth)
}

func (p *Proxy) reportResult(c call.Call, r call.Reply, summary AttemptSummary, arrivedAt time.Time) {
	if p.cfg.OnCall == nil {
		return
	}
	p.cfg.OnCall(CallResult{
		ID: c.ID, Trace: c.Trace, Service: c.Service, Class: c.Class, Version: c.Version,
		Took: time.Since(arrivedAt), Timeout: c.Deadline.Sub(arrivedAt), Reply: r, AttemptSummary: summary,
	})
}

// answer finds the reply to a call, under its key if it has one.
func (p *Proxy) handleCall(ctx context.Context, c call.Call) (call.Reply, AttemptSummary, *rejection) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	header := c.Header.Get(HeaderIdempotencyKey)
	if !c.AtMostOnce || header == "" {
		r, summary := p.dispatch(ctx, c, false)
		return r, summary, nil
	}
	key, err := once.ParseKey(header, time.Now(), p.cfg.DataCentres)
	if err != nil {
		return call.Reply{}, AttemptSummary{}, &rejection{http.StatusBadRequest, err.Error()}
	}
	if key.Issued.IsZero() {
		issued, err := p.claimKey(ctx, c, key)
		if err != nil {
			return call.Refuse(call.Unknown, "key_not_claimed", time.Second), AttemptSummary{}, nil
		}
		key = key.WithIssued(issued)
	}
	return p.dispatchKeyed(ctx, c, key), AttemptSummary{Attempts: 1}, nil
}

// claim settles when an opaque key was first seen.
func (p *Proxy) claimKey(ctx context.Context, c call.Call, key once.Key) (time.Time, error) {
	if p.cfg.Claims == nil {
		return time.Time{}, errors.New("no store to claim the key in")
	}
	return p.cfg.Claims.Claim(ctx, recordID(c.Service, key.ID), time.Now())
}

var traceparentRE = regexp.MustCompile(`^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}(-.*)?$`)

// Limits returns the bounds on callers: those of the version in force, or the
// defaults for what it does not bound.
func (p *Proxy) Limits() table.Limits { return p.limits(p.cfg.Feed.Snapshot()) }

func (p *Proxy) limits(snapshot *vers.Snapshot) table.Limits {
	defaults := table.Limits{MaxHeaderBytes: defaultMaxHeaderBytes, MaxBodyBytes: p.cfg.MaxBodyBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	if snapshot == nil {
		return defaults
	}
	configured := snapshot.Table.Limits()
	return table.Limits{
		MaxHeaderBytes: orDefault(configured.MaxHeaderBytes, defaults.MaxHeaderBytes),
		MaxBodyBytes:   orDefault(configured.MaxBodyBytes, defaults.MaxBodyBytes),
		HeaderTimeout:  orDefault(configured.HeaderTimeout, defaults.HeaderTimeout),
		IdleTimeout:    orDefault(configured.IdleTimeout, defaults.IdleTimeout),
	}
}

// positive returns v, or otherwise if v bounds nothing.
func orDefault[T int | int64 | time.Duration](v, def T) T {
	if v > 0 {
		return v
	}
	return def
}

// checkForm checks what can be checked of a request without its class.
func validateHeaders(r *http.Request, limit int) *rejection {
	size := 0
	for k, vs := range r.Header {
		for _, v := range vs {
			size += len(k) + len(v) + len(": \r\n")
		}
	}
	if size > limit {
		return &rejection{http.StatusRequestHeaderFieldsTooLarge, "headers have more than " + strconv.Itoa(limit) + " bytes"}
	}
	if tp := r.Header.Get("Traceparent"); tp != "" && !traceparentRE.MatchString(tp) {
		return &rejection{http.StatusBadRequest, "traceparent is malformed"}
	}
	return nil
}

// readCall reads a call whole and classifies it.
func (p *Proxy) readCall(r *http.Request, in ingressRequest) (call.Call, *rejection) {
	info, err := p.cfg.Dialect.ParseRequest(r.Header)
	if err != nil {
		return call.Call{Trace: in.trace}, &rejection{http.StatusBadRequest, err.Error()}
	}
	c := call.Call{Trace: in.trace, ID: info.ID, Issued: in.arrivedAt, Method: r.Method, Host: r.Host, Path: pathOf(r), Depth: info.Depth}
	if c.ID == "" {
		c.ID, c.Issued = newID()
	}
	if info.Depth >= maxCallDepth {
		return c, &rejection{http.StatusLoopDetected, "calls are nested more than 16 deep"}
	}
	if in.snapshot == nil || !p.cfg.Feed.Ready() {
		return c, &rejection{http.StatusServiceUnavailable, "node has no configuration yet"}
	}
	rt, rej := p.classify(in.snapshot.Table, r, in.origin)
	if rej != nil {
		return c, rej
	}
	c.Service = rt.Pick(p.randomUint64())
	c.Version = in.snapshot.Version.Number
	c = c.WithRoute(rt, in.arrivedAt)
	if rej := p.limitDeadline(&c, info, in); rej != nil {
		return c, rej
	}
	if c.Body, rej = p.readBody(r, in.limits.MaxBodyBytes); rej != nil {
		return c, rej
	}
	c.Header = endToEndHeaders(r.Header)
	c.Header.Del(headerCall)
	c.Header.Del(headerAnswer)
	p.cfg.Dialect.PrepareRequest(c.Header, in.origin.Service)
	return c, nil
}

// pathOf returns the path and query as the caller wrote them.
func pathOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// draw returns a random number, by which a part of a split is picked.
func (p *Proxy) randomUint64() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cfg.Rand.Uint64()
}

func (p *Proxy) classify(t *table.Table, r *http.Request, origin Origin) (*table.Route, *rejection) {
	host := r.Host
	if !t.HasHost(host) {
		if bare, _, err := net.SplitHostPort(host); err == nil {
			host = bare
		}
	}
	if !t.HasHost(host) {
		return nil, &rejection{http.StatusNotFound, "no service is called " + strconv.Quote(host)}
	}
	rt, ok := t.Match(host, r.Method, r.URL.Path)
	if origin.Backend && !t.MayCall(origin.Service, host) {
		return nil, &rejection{http.StatusForbidden, "service " + origin.Service + " may not call " + host}
	}
	if !ok {
		return nil, &rejection{http.StatusNotFound, "no class of " + host + " covers " + r.Method + " " + r.URL.Path}
	}
	return rt, nil
}

// bound brings the deadline of a call forward if the call above it, or its
// caller, has less time left than its class allows.
func (p *Proxy) limitDeadline(c *call.Call, info tanagerchute.RequestInfo, in ingressRequest) *rejection {
	if info.TimeLeft > 0 {
		c.Deadline = earlier(c.Deadline, in.arrivedAt.Add(info.TimeLeft))
	}
	if c.Deadline.IsZero() {
		return &rejection{http.StatusBadRequest, "neither the request nor its route has a deadline"}
	}
	if in.origin.Backend {
		if parentDeadline, ok := p.cfg.Gate.Deadline(in.trace); ok {
			c.Deadline = earlier(c.Deadline, parentDeadline)
		}
	}
	c.WaitUntil = earlier(c.WaitUntil, c.Deadline)
	if !c.Target.IsZero() {
		c.Target = earlier(c.Target, c.Deadline)
	}
	return nil
}

// earlier returns the earlier of two times, of which a zero one is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// readBody reads a body whole, so that a body that is cut short never reaches
// a backend server, and one that is whole can be sent again.
func (p *Proxy) readBody(r *http.Request, limit int64) ([]byte, *rejection) {
	if r.ContentLength > limit {
		return nil, &rejection{http.StatusRequestEntityTooLarge, errBodyTooLarge.Error()}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, &rejection{http.StatusBadRequest, "body was cut short"}
	}
	if int64(len(body)) > limit {
		return nil, &rejection{http.StatusRequestEntityTooLarge, errBodyTooLarge.Error()}
	}
	return body, nil
}

// writeCaller writes a reply to the caller. The answer is complete here, so
// its length is known and a cut connection shows.
func (p *Proxy) writeReply(w http.ResponseWriter, c call.Call, r call.Reply) {
	if r.Fate != call.Answered {
		p.cfg.Dialect.WriteRefusal(w, r)
		return
	}
	h := w.Header()
	for k, vs := range endToEndHeaders(r.Header) {
		h[k] = vs
	}
	if c.Method != http.MethodHead && bodyAllowed(r.Status) {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body) // the caller has gone if this fails
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
