package proxy

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"tanagerchute/core/call"
	"tanagerchute/core/dedup"
	"tanagerchute/core/event"
	"tanagerchute/core/room"
	"tanagerchute/core/routes"
	"tanagerchute/core/vers"
	"tanagerchute/io/ahead"
	"tanagerchute/io/memory"
)

// HeaderIdempotencyKey is the header for a caller's idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// Limits on calls. The defaults apply if the configuration sets no limit.
const (
	defaultMaxHeaderBytes = 16 << 10
	maxCallDepth          = 16 // nesting depth, to stop loops of calls
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = time.Minute
)

var (
	errOtherDeployment = errors.New("call of another deployment")
	errBodyTooLarge    = errors.New("body is too large")
	errBodyLength      = errors.New("length of the body is not as announced")
)

// Claims records when an opaque idempotency key was first used. An opaque key
// holds no issue time, unlike a UUID of version 7.
type Claims interface {
	// Claim returns the time of the first claim of key, which is now if there is
	// none yet.
	Claim(ctx context.Context, key string, now time.Time) (time.Time, error)
}

// rejection is the response to a request that is rejected before dispatch, so
// that it has not run.
type rejection struct {
	status int
	msg    string
	kind   event.Kind // event.RequestRejected if it is empty
	// refusal, if it is set, is the reply to the caller, and cause what the journal
	// holds. status and msg do not apply then.
	refusal *call.Reply
	cause   string
	// unread is set with refusal if there is no room for the body, which was not read
	// whole then.
	unread bool
}

func newRejection(status int, msg string) *rejection { return &rejection{status: status, msg: msg} }

// Origin describes where the requests of a listener come from.
type Origin struct {
	// Service is the service of the instance that they come from, empty if it
	// is not known.
	Service string
	// Backend reports that they all come from the node's own backend server.
	// It may call only the services that its own service is allowed to call.
	Backend bool
}

// ingressRequest holds what is determined on the arrival of a request, so that a
// configuration version that comes into force later does not affect the request.
type ingressRequest struct {
	arrivedAt time.Time
	begunAt   time.Time // when its turn came, which is later behind other requests of its connection
	origin    Origin
	trace     string         // W3C trace id
	snapshot  *vers.Snapshot // nil before the first version
	limits    routes.Limits
}

// Ingress returns the handler for calls from callers or from the node's own
// backend server.
func (p *Proxy) Ingress(origin Origin) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.inProgress.Add(1)
		defer p.inProgress.Add(-1)
		in := ingressRequest{arrivedAt: ahead.ArrivedAt(r.Context()), begunAt: time.Now(), origin: origin, snapshot: p.cfg.Feed.Snapshot()}
		in.limits = p.limits(in.snapshot)
		if rej := p.validateHead(r, in.limits.MaxHeaderBytes); rej != nil {
			p.reject(w, r, call.Call{}, rej)
			return
		}
		ctx := propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := p.cfg.Tracer.Start(ctx, "ingress", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		in.trace = span.SpanContext().TraceID().String()
		ctx, at := withProgress(ctx)
		r = r.WithContext(ctx)
		c, rej := p.readCall(w, r, in)
		endNested := p.beginNestedCall(origin, c)
		if rej != nil {
			span.SetStatus(codes.Error, rej.msg)
			endNested(true)
			if rej.unread {
				p.refuseUnread(w, r, c, *rej.refusal, in.arrivedAt)
				return
			}
			p.reject(w, r, c, rej)
			return
		}
		if span.IsRecording() {
			span.SetAttributes(attribute.String("service", c.Service), attribute.String("class", c.Class))
		}
		o := p.handleInTime(ctx, c, in.begunAt)
		reply := o.reply
		endNested(o.rej != nil || !reply.Succeeded())
		if o.rej != nil {
			p.reject(w, r, c, o.rej)
			return
		}
		if reply.Fate != call.Answered {
			span.SetStatus(codes.Error, reply.Fate.String()+" "+reply.Cause)
		}
		p.rememberRefusal(c, reply)
		p.observeDuration(c, reply, in.begunAt)
		reply, written := p.admitToCaller(ctx, c, reply)
		defer written()
		p.recordOverdue(c, time.Now(), at.current())
		p.reportResult(c, reply, o.summary, in.arrivedAt)
		p.writeReply(ctx, w, c, reply)
	})
}

// unreadBodyTimeout bounds the wait for the rest of a body that nobody needs. The server
// reads some of it before it sends the answer, to keep the connection.
const unreadBodyTimeout = 500 * time.Millisecond

// unreadUntil returns until when the rest of the body of c is waited for, which nobody needs.
func unreadUntil(c call.Call) time.Time {
	return earlier(earlier(time.Now().Add(unreadBodyTimeout), c.Deadline), c.CallerDeadline)
}

// reject records a rejection and writes it to the caller.
func (p *Proxy) reject(w http.ResponseWriter, r *http.Request, c call.Call, rej *rejection) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(unreadUntil(c)) // fails only if there is no body
	}
	if rej.status == http.StatusRequestTimeout {
		w.Header().Set("Connection", "close")
	}
	if rej.refusal != nil {
		p.recordEvent(rej.kind, c, rej.cause)
		p.cfg.Dialect.WriteRefusal(w, *rej.refusal)
		return
	}
	p.recordEvent(cmp.Or(rej.kind, event.RequestRejected), c, strconv.Itoa(rej.status)+" "+rej.msg)
	p.cfg.Dialect.WriteRejection(w, rej.status, rej.msg)
}

// beginNestedCall tells the gatekeeper that the node's own backend server makes a
// call while it handles another one. The time that the backend server waits for
// it, and a failure of it, are then not counted against the backend server. The
// returned function must be called when the call has ended.
func (p *Proxy) beginNestedCall(origin Origin, c call.Call) func(failed bool) {
	if !origin.Backend {
		return func(bool) {}
	}
	return p.cfg.Gate.StartNested(c.Trace, c.Depth)
}

// reportResult passes the result of a call to Config.OnCall.
func (p *Proxy) reportResult(c call.Call, r call.Reply, summary AttemptSummary, arrivedAt time.Time) {
	if p.cfg.OnCall == nil {
		return
	}
	p.cfg.OnCall(CallResult{
		ID: c.ID, Trace: c.Trace, Service: c.Service, Class: c.Class, Version: c.Version,
		Took: time.Since(arrivedAt), Timeout: c.Deadline.Sub(arrivedAt), DeadlineBy: c.DeadlineBy, Reply: r, AttemptSummary: summary,
	})
}

// handleCall dispatches a call and returns its reply. An at-most-once call with an
// idempotency key goes to the home of the key.
func (p *Proxy) handleCall(ctx context.Context, c call.Call, arrivedAt time.Time) (call.Reply, AttemptSummary, *rejection) {
	if p.arrivesTooLate(c, arrivedAt) {
		return call.Refuse(call.NotRun, call.CauseDraining, stoppingRetryAfter), AttemptSummary{}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	if !p.hasKey(c, c.Header) {
		r, summary := p.dispatch(ctx, c, false)
		return r, summary, nil
	}
	enterStep(ctx, stepHome)
	key, err := dedup.ParseKey(c.Header.Get(HeaderIdempotencyKey), time.Now(), p.cfg.DataCentres)
	if err != nil {
		return call.Reply{}, AttemptSummary{}, newRejection(http.StatusBadRequest, err.Error())
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

// hasKey reports whether a call with the given headers has an idempotency key that counts. An
// earlier request with the key may have run the call.
func (p *Proxy) hasKey(c call.Call, h http.Header) bool {
	return c.AtMostOnce && !p.cfg.KeysUnused && h.Get(HeaderIdempotencyKey) != ""
}

// claimKey returns the time at which an opaque key was first used.
func (p *Proxy) claimKey(ctx context.Context, c call.Call, key dedup.Key) (time.Time, error) {
	if p.cfg.Claims == nil {
		return time.Time{}, errors.New("no store to claim the key in")
	}
	return p.cfg.Claims.Claim(ctx, recordID(c, key.ID), time.Now())
}

// Limits returns the limits on callers. They are those of the configuration
// version in force, with defaults for limits that it does not set.
func (p *Proxy) Limits() routes.Limits { return p.limits(p.cfg.Feed.Snapshot()) }

// limits returns the limits of snapshot, which may be nil, with defaults for
// limits that it does not set.
func (p *Proxy) limits(snapshot *vers.Snapshot) routes.Limits {
	defaults := routes.Limits{MaxHeaderBytes: defaultMaxHeaderBytes, MaxBodyBytes: p.cfg.MaxBodyBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	if snapshot == nil {
		return defaults
	}
	configured := snapshot.Table.Limits()
	return routes.Limits{
		MaxHeaderBytes: orDefault(configured.MaxHeaderBytes, defaults.MaxHeaderBytes),
		MaxBodyBytes:   orDefault(configured.MaxBodyBytes, defaults.MaxBodyBytes),
		HeaderTimeout:  orDefault(configured.HeaderTimeout, defaults.HeaderTimeout),
		IdleTimeout:    orDefault(configured.IdleTimeout, defaults.IdleTimeout),
	}
}

// orDefault returns v, or def if v is not positive.
func orDefault[T int | int64 | time.Duration](v, def T) T {
	if v > 0 {
		return v
	}
	return def
}

// writeReply writes a reply to the caller. It sets Content-Length, so that the
// caller notices if the connection is closed early.
func (p *Proxy) writeReply(ctx context.Context, w http.ResponseWriter, c call.Call, r call.Reply) {
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
	if len(r.Body) > room.SmallBytes || memory.IsLarge(r.Header) {
		rc := http.NewResponseController(w)
		_ = rc.SetWriteDeadline(writeDeadline(c)) // not supported by a response that is kept, see package ahead
		defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	}
	w.WriteHeader(r.Status)
	if err := p.links.writeToCaller(ctx, w, c, r.Body); err != nil {
		p.recordEvent(event.AnswerCut, c, fmt.Sprintf("status %d, %d bytes: %v", r.Status, len(r.Body), err))
	}
}

// slowReaderGrace is how long after the deadline of its request a caller may take to read an
// answer with a large head or body. The answer takes memory until then.
const slowReaderGrace = 5 * time.Second

// writeDeadline returns when the caller of c must have read a large answer.
func writeDeadline(c call.Call) time.Time {
	at := time.Now()
	if c.Deadline.After(at) {
		at = c.Deadline
	}
	return at.Add(slowReaderGrace)
}

// bodyAllowed reports whether a response with the given status may have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
