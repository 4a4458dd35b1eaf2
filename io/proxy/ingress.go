package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"tanagerchute/core/call"
	"tanagerchute/core/config"
	"tanagerchute/core/once"
	"tanagerchute/core/vers"
	"tanagerchute/io/gate"
)

// Headers towards callers.
const (
	// HeaderKey is the idempotency key of a caller.
	HeaderKey = "Idempotency-Key"
	// HeaderCause says why a call was refused.
	HeaderCause = "Tanager-Cause"
)

// Bounds on a call.
const (
	maxHeaderBytes = 16 << 10
	maxDepth       = 16
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

// Ingress serves calls from callers or, if from is the service of the node's
// own backend server, the calls that the server makes.
func (p *Proxy) Ingress(from string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived := time.Now()
		if bad := checkForm(r); bad != nil {
			bad.write(w)
			return
		}
		ctx := propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := p.cfg.Tracer.Start(ctx, "ingress", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		c, bad := p.readCall(r, from, arrived)
		if bad != nil {
			span.SetStatus(codes.Error, bad.msg)
			p.failedBelow(from, span)
			bad.write(w)
			return
		}
		c.Trace = span.SpanContext().TraceID().String()
		span.SetAttributes(attribute.String("service", c.Service), attribute.String("class", c.Class))
		reply, attempts, bad := p.answer(ctx, c)
		if bad != nil {
			bad.write(w)
			return
		}
		if reply.Fate != call.Answered {
			span.SetStatus(codes.Error, reply.Fate.String()+" "+reply.Cause)
		}
		if reply.Fate != call.Answered || reply.Status >= 500 {
			p.failedBelow(from, span)
		}
		p.observe(c, reply, attempts, arrived)
		writeCaller(w, c, reply)
	})
}

// failedBelow notes that a call of the own backend server has failed, so that
// its answer to the call above is not held against it.
func (p *Proxy) failedBelow(from string, span trace.Span) {
	if from != "" {
		p.cfg.Gate.FailedBelow(span.SpanContext().TraceID().String())
	}
}

func (p *Proxy) observe(c call.Call, r call.Reply, attempts int, arrived time.Time) {
	if p.cfg.Observe == nil {
		return
	}
	p.cfg.Observe(Sample{
		Service: c.Service, Class: c.Class, Took: time.Since(arrived),
		Target: c.Deadline.Sub(arrived), Reply: r, Attempts: attempts,
	})
}

// answer finds the reply to a call, under its key if it has one.
func (p *Proxy) answer(ctx context.Context, c call.Call) (call.Reply, int, *badRequest) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	given := c.Header.Get(HeaderKey)
	if !c.AtMostOnce || given == "" {
		r, attempts := p.dispatch(ctx, c, false)
		return r, attempts, nil
	}
	key, err := once.ParseKey(given, time.Now(), p.cfg.Centres)
	if err != nil {
		return call.Reply{}, 0, &badRequest{http.StatusBadRequest, err.Error()}
	}
	if key.Issued.IsZero() {
		issued, err := p.claim(ctx, c, key)
		if err != nil {
			return call.Refuse(call.Unknown, "key_not_claimed", time.Second), 0, nil
		}
		key = key.WithIssued(issued)
	}
	return p.keyed(ctx, c, key), 1, nil
}

// claim settles when an opaque key was first seen.
func (p *Proxy) claim(ctx context.Context, c call.Call, key once.Key) (time.Time, error) {
	if p.cfg.Claims == nil {
		return time.Time{}, errors.New("no store to claim the key in")
	}
	return p.cfg.Claims.Claim(ctx, keyID(c.Service, key.ID), time.Now())
}

var traceparentRE = regexp.MustCompile(`^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}(-.*)?$`)

// checkForm checks what can be checked of a request without its class.
func checkForm(r *http.Request) *badRequest {
	size := 0
	for k, vs := range r.Header {
		for _, v := range vs {
			size += len(k) + len(v) + len(": \r\n")
		}
	}
	if size > maxHeaderBytes {
		return &badRequest{http.StatusRequestHeaderFieldsTooLarge, "headers have more than 16 KiB"}
	}
	if tp := r.Header.Get("Traceparent"); tp != "" && !traceparentRE.MatchString(tp) {
		return &badRequest{http.StatusBadRequest, "traceparent is malformed"}
	}
	return nil
}

// readCall reads a call whole and classifies it.
func (p *Proxy) readCall(r *http.Request, from string, arrived time.Time) (call.Call, *badRequest) {
	snapshot := p.cfg.Feed.Snapshot()
	if snapshot == nil || !p.cfg.Feed.Ready() {
		return call.Call{}, &badRequest{http.StatusServiceUnavailable, "node has no configuration yet"}
	}
	service, class, bad := classify(snapshot, r, from)
	if bad != nil {
		return call.Call{}, bad
	}
	deadline, bad := p.deadline(r, class, from, arrived)
	if bad != nil {
		return call.Call{}, bad
	}
	depth, bad := depthOf(r)
	if bad != nil {
		return call.Call{}, bad
	}
	body, bad := p.readBody(r)
	if bad != nil {
		return call.Call{}, bad
	}
	id, issued := newID()
	wait := arrived.Add(class.MayWait.Std())
	if wait.After(deadline) {
		wait = deadline
	}
	return call.Call{
		ID: id, Issued: issued, Service: service, Class: class.Name, Priority: class.Priority(),
		AtMostOnce: class.AtMostOnce, Deadline: deadline, WaitUntil: wait,
		Method: r.Method, Target: r.URL.RequestURI(), Header: ownHeader(r.Header), Body: body, Depth: depth,
	}, nil
}

// ownHeader returns the headers to pass on. What the mesh itself says is not
// taken from callers.
func ownHeader(h http.Header) http.Header {
	out := endToEnd(h)
	for _, name := range []string{headerCall, headerAnswer, gate.HeaderRequest, gate.HeaderTimeLeft, gate.HeaderDepth} {
		out.Del(name)
	}
	return out
}

func classify(s *vers.Snapshot, r *http.Request, from string) (string, config.Class, *badRequest) {
	service := r.Host
	if host, _, err := net.SplitHostPort(service); err == nil {
		service = host
	}
	if _, ok := s.Doc.Service(service); !ok {
		return "", config.Class{}, &badRequest{http.StatusNotFound, "no service is called " + strconv.Quote(service)}
	}
	if from != "" && !s.Doc.MayCall(from, service) {
		return "", config.Class{}, &badRequest{http.StatusForbidden, "service " + from + " may not call " + service}
	}
	class, ok := s.Doc.Classify(service, r.Method, r.URL.Path)
	if !ok {
		return "", config.Class{}, &badRequest{http.StatusNotFound, "no class of " + service + " covers " + r.Method + " " + r.URL.Path}
	}
	return service, class, nil
}

// deadline returns when the call has to be answered: by its class, or earlier
// if the call above it, or its caller, has less time left.
func (p *Proxy) deadline(r *http.Request, class config.Class, from string, arrived time.Time) (time.Time, *badRequest) {
	d := class.Deadline(arrived)
	if given := r.Header.Get(gate.HeaderTimeLeft); given != "" {
		left, err := time.ParseDuration(given)
		if err != nil || left <= 0 {
			return d, &badRequest{http.StatusBadRequest, gate.HeaderTimeLeft + " is not a time over 0 such as 250ms"}
		}
		if at := arrived.Add(left); at.Before(d) {
			d = at
		}
	}
	if from == "" {
		return d, nil
	}
	parent := trace.SpanContextFromContext(propagator.Extract(context.Background(), propagation.HeaderCarrier(r.Header)))
	if above, ok := p.cfg.Gate.Deadline(parent.TraceID().String()); ok && above.Before(d) {
		d = above
	}
	return d, nil
}

func depthOf(r *http.Request) (int, *badRequest) {
	given := r.Header.Get(gate.HeaderDepth)
	if given == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(given)
	if err != nil || n < 0 {
		return 0, &badRequest{http.StatusBadRequest, gate.HeaderDepth + " is not a number"}
	}
	if n >= maxDepth {
		return 0, &badRequest{http.StatusLoopDetected, "calls are nested more than 16 deep"}
	}
	return n, nil
}

// readBody reads a body whole, so that a body that is cut short never reaches
// a backend server, and one that is whole can be sent again.
func (p *Proxy) readBody(r *http.Request) ([]byte, *badRequest) {
	body, err := io.ReadAll(io.LimitReader(r.Body, p.cfg.MaxBody+1))
	if err != nil {
		return nil, &badRequest{http.StatusBadRequest, "body was cut short"}
	}
	if int64(len(body)) > p.cfg.MaxBody {
		return nil, &badRequest{http.StatusRequestEntityTooLarge, errBody.Error()}
	}
	return body, nil
}

func (b *badRequest) write(w http.ResponseWriter) {
	w.Header().Set(gate.HeaderOutcome, call.NotRun.String())
	w.Header().Set(HeaderCause, "bad_request")
	if b.status == http.StatusServiceUnavailable {
		w.Header().Set(HeaderCause, call.CauseNotReady)
		w.Header().Set("Retry-After", "1")
	}
	http.Error(w, b.msg, b.status)
}

// writeCaller writes a reply to the caller. The answer is complete here, so
// its length is known and a cut connection shows.
func writeCaller(w http.ResponseWriter, c call.Call, r call.Reply) {
	h := w.Header()
	if r.Fate == call.Answered {
		for k, vs := range endToEnd(r.Header) {
			h[k] = vs
		}
		if c.Method != http.MethodHead && bodyAllowed(r.Status) {
			h.Set("Content-Length", strconv.Itoa(len(r.Body)))
		}
		w.WriteHeader(r.Status)
		_, _ = w.Write(r.Body) // the caller has gone if this fails
		return
	}
	h.Set(gate.HeaderOutcome, r.Fate.String())
	h.Set(HeaderCause, r.Cause)
	if r.RetryAfter > 0 {
		seconds := int((r.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	http.Error(w, refusalText(r), refusalStatus(r))
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

func refusalStatus(r call.Reply) int {
	switch {
	case r.Cause == call.CauseDeadline:
		return http.StatusGatewayTimeout
	case r.Fate == call.NotRun:
		return http.StatusServiceUnavailable
	case r.Cause == call.CauseTooOld || r.Cause == call.CauseStanding || r.Cause == call.CauseHome:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func refusalText(r call.Reply) string {
	if r.Fate == call.NotRun {
		return "not run: " + r.Cause
	}
	return "it is not known whether the call has run: " + r.Cause
}
