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
	maxHeaderBytes = 16 << 10
	maxDepth       = 16
	headerTimeout  = 5 * time.Second
	idleTimeout    = time.Minute
)

var (
	errDeployment = errors.New("call of another deployment")
	errBody       = errors.New("body is too large")
)

// Claims settles when an opaque key was first seen.
type Claims interface {
	// Claim returns the time at which key was first claimed.
	Claim(ctx context.Context, key string, now time.Time) (time.Time, error)
}

// badRequest is a call that is refused for its form. It has not run.
type badRequest struct {
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
type arrival struct {
	at       time.Time
	from     Origin
	trace    string         // W3C trace id
	snapshot *vers.Snapshot // nil before the first version
	limits   table.Limits
}

// Ingress serves the calls that callers or the node's own backend server make.
func (p *Proxy) Ingress(from Origin) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := arrival{at: time.Now(), from: from, snapshot: p.cfg.Feed.Snapshot()}
		a.limits = p.limits(a.snapshot)
		if bad := checkForm(r, a.limits.MaxHeaderBytes); bad != nil {
			p.reject(w, call.Call{}, bad)
			return
		}
		ctx := propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := p.cfg.Tracer.Start(ctx, "ingress", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		a.trace = span.SpanContext().TraceID().String()
		c, bad := p.readCall(r, a)
		ended := p.below(from, c)
		if bad != nil {
			span.SetStatus(codes.Error, bad.msg)
			ended(true)
			p.reject(w, c, bad)
			return
		}
		if span.IsRecording() {
			span.SetAttributes(attribute.String("service", c.Service), attribute.String("class", c.Class))
		}
		reply, effort, bad := p.answer(ctx, c)
		ended(bad != nil || !reply.Succeeded())
		if bad != nil {
			p.reject(w, c, bad)
			return
		}
		if reply.Fate != call.Answered {
			span.SetStatus(codes.Error, reply.Fate.String()+" "+reply.Cause)
		}
		p.observe(c, reply, effort, a.at)
		p.writeCaller(w, c, reply)
	})
}

// reject answers a request that is refused for its form.
func (p *Proxy) reject(w http.ResponseWriter, c call.Call, bad *badRequest) {
	p.cfg.Journal.Add(event.Event{
		At: time.Now(), Kind: event.RequestRejected, Subject: c.ID, Trace: c.Trace,
		Cause: strconv.Itoa(bad.status) + " " + bad.msg,
	})
	p.cfg.Dialect.WriteRejection(w, bad.status, bad.msg)
}

// below notes that the own backend server makes a call, so that neither the time
// for which it waits nor a failure is held against it. What it returns is called
// when the call has ended.
func (p *Proxy) below(from Origin, c call.Call) func(failed bool) {
	if !from.Backend {
		return func(bool) {}
	}
	return p.cfg.Gate.Below(c.Trace, c.Depth)
}

func (p *Proxy) observe(c call.Call, r call.Reply, e AttemptSummary, arrived time.Time) {
	if p.cfg.OnCall == nil {
		return
	}
	p.cfg.OnCall(CallResult{
		ID: c.ID, Trace: c.Trace, Service: c.Service, Class: c.Class, Version: c.Version,
		Took: time.Since(arrived), Timeout: c.Deadline.Sub(arrived), Reply: r, AttemptSummary: e,
	})
}

// answer finds the reply to a call, under its key if it has one.
func (p *Proxy) answer(ctx context.Context, c call.Call) (call.Reply, AttemptSummary, *badRequest) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	given := c.Header.Get(HeaderIdempotencyKey)
	if !c.AtMostOnce || given == "" {
		r, effort := p.dispatch(ctx, c, false)
		return r, effort, nil
	}
	key, err := once.ParseKey(given, time.Now(), p.cfg.DataCentres)
	if err != nil {
		return call.Reply{}, AttemptSummary{}, &badRequest{http.StatusBadRequest, err.Error()}
	}
	if key.Issued.IsZero() {
		issued, err := p.claim(ctx, c, key)
		if err != nil {
			return call.Refuse(call.Unknown, "key_not_claimed", time.Second), AttemptSummary{}, nil
		}
		key = key.WithIssued(issued)
	}
	return p.keyed(ctx, c, key), AttemptSummary{Attempts: 1}, nil
}

// claim settles when an opaque key was first seen.
func (p *Proxy) claim(ctx context.Context, c call.Call, key once.Key) (time.Time, error) {
	if p.cfg.Claims == nil {
		return time.Time{}, errors.New("no store to claim the key in")
	}
	return p.cfg.Claims.Claim(ctx, keyID(c.Service, key.ID), time.Now())
}

var traceparentRE = regexp.MustCompile(`^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}(-.*)?$`)

// Limits returns the bounds on callers: those of the version in force, or the
// defaults for what it does not bound.
func (p *Proxy) Limits() table.Limits { return p.limits(p.cfg.Feed.Snapshot()) }

func (p *Proxy) limits(s *vers.Snapshot) table.Limits {
	l := table.Limits{MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: p.cfg.MaxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if s == nil {
		return l
	}
	of := s.Table.Limits()
	return table.Limits{
		MaxHeaderBytes: positive(of.MaxHeaderBytes, l.MaxHeaderBytes),
		MaxBodyBytes:   positive(of.MaxBodyBytes, l.MaxBodyBytes),
		HeaderTimeout:  positive(of.HeaderTimeout, l.HeaderTimeout),
		IdleTimeout:    positive(of.IdleTimeout, l.IdleTimeout),
	}
}

// positive returns v, or otherwise if v bounds nothing.
func positive[T int | int64 | time.Duration](v, otherwise T) T {
	if v > 0 {
		return v
	}
	return otherwise
}

// checkForm checks what can be checked of a request without its class.
func checkForm(r *http.Request, limit int) *badRequest {
	size := 0
	for k, vs := range r.Header {
		for _, v := range vs {
			size += len(k) + len(v) + len(": \r\n")
		}
	}
	if size > limit {
		return &badRequest{http.StatusRequestHeaderFieldsTooLarge, "headers have more than " + strconv.Itoa(limit) + " bytes"}
	}
	if tp := r.Header.Get("Traceparent"); tp != "" && !traceparentRE.MatchString(tp) {
		return &badRequest{http.StatusBadRequest, "traceparent is malformed"}
	}
	return nil
}

// readCall reads a call whole and classifies it.
func (p *Proxy) readCall(r *http.Request, a arrival) (call.Call, *badRequest) {
	ask, err := p.cfg.Dialect.ParseRequest(r.Header)
	if err != nil {
		return call.Call{Trace: a.trace}, &badRequest{http.StatusBadRequest, err.Error()}
	}
	c := call.Call{Trace: a.trace, ID: ask.ID, Issued: a.at, Method: r.Method, Host: r.Host, Path: pathOf(r), Depth: ask.Depth}
	if c.ID == "" {
		c.ID, c.Issued = newID()
	}
	if ask.Depth >= maxDepth {
		return c, &badRequest{http.StatusLoopDetected, "calls are nested more than 16 deep"}
	}
	if a.snapshot == nil || !p.cfg.Feed.Ready() {
		return c, &badRequest{http.StatusServiceUnavailable, "node has no configuration yet"}
	}
	rt, bad := p.classify(a.snapshot.Table, r, a.from)
	if bad != nil {
		return c, bad
	}
	c.Service = rt.Pick(p.draw())
	c.Version = a.snapshot.Version.Number
	c = c.WithRoute(rt, a.at)
	if bad := p.bound(&c, ask, a); bad != nil {
		return c, bad
	}
	if c.Body, bad = p.readBody(r, a.limits.MaxBodyBytes); bad != nil {
		return c, bad
	}
	c.Header = endToEnd(r.Header)
	c.Header.Del(headerCall)
	c.Header.Del(headerAnswer)
	p.cfg.Dialect.PrepareRequest(c.Header, a.from.Service)
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
func (p *Proxy) draw() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cfg.Rand.Uint64()
}

func (p *Proxy) classify(t *table.Table, r *http.Request, from Origin) (*table.Route, *badRequest) {
	host := r.Host
	if !t.HasHost(host) {
		if bare, _, err := net.SplitHostPort(host); err == nil {
			host = bare
		}
	}
	if !t.HasHost(host) {
		return nil, &badRequest{http.StatusNotFound, "no service is called " + strconv.Quote(host)}
	}
	rt, ok := t.Match(host, r.Method, r.URL.Path)
	if from.Backend && !t.MayCall(from.Service, host) {
		return nil, &badRequest{http.StatusForbidden, "service " + from.Service + " may not call " + host}
	}
	if !ok {
		return nil, &badRequest{http.StatusNotFound, "no class of " + host + " covers " + r.Method + " " + r.URL.Path}
	}
	return rt, nil
}

// bound brings the deadline of a call forward if the call above it, or its
// caller, has less time left than its class allows.
func (p *Proxy) bound(c *call.Call, ask tanagerchute.RequestInfo, a arrival) *badRequest {
	if ask.TimeLeft > 0 {
		c.Deadline = earlier(c.Deadline, a.at.Add(ask.TimeLeft))
	}
	if c.Deadline.IsZero() {
		return &badRequest{http.StatusBadRequest, "neither the request nor its route has a deadline"}
	}
	if a.from.Backend {
		if above, ok := p.cfg.Gate.Deadline(a.trace); ok {
			c.Deadline = earlier(c.Deadline, above)
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
func (p *Proxy) readBody(r *http.Request, limit int64) ([]byte, *badRequest) {
	if r.ContentLength > limit {
		return nil, &badRequest{http.StatusRequestEntityTooLarge, errBody.Error()}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, &badRequest{http.StatusBadRequest, "body was cut short"}
	}
	if int64(len(body)) > limit {
		return nil, &badRequest{http.StatusRequestEntityTooLarge, errBody.Error()}
	}
	return body, nil
}

// writeCaller writes a reply to the caller. The answer is complete here, so
// its length is known and a cut connection shows.
func (p *Proxy) writeCaller(w http.ResponseWriter, c call.Call, r call.Reply) {
	if r.Fate != call.Answered {
		p.cfg.Dialect.WriteRefusal(w, r)
		return
	}
	h := w.Header()
	for k, vs := range endToEnd(r.Header) {
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
