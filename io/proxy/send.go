package proxy

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/vers"
	"tanagerchute/io/peer"
)

// callPath is the URL path of calls between nodes. The path of the call itself is
// in its metadata.
const callPath = "/call"

// errUnreachable is the cancellation cause of an attempt that got no connection to
// its node in the time in which the node should have acknowledged it.
var errUnreachable = errors.New("no connection to the node in time")

// propagator injects and extracts the traceparent header.
var propagator = propagation.TraceContext{}

// injectTrace sets the traceparent header for the next hop to that of the span of ctx. One
// that the caller sent and that can't be read stays as it is.
func injectTrace(ctx context.Context, h http.Header) {
	if h.Get(headerTraceparent) != "" {
		sent := propagator.Extract(context.Background(), propagation.HeaderCarrier(h))
		if !trace.SpanContextFromContext(sent).IsValid() {
			return
		}
	}
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// headerTraceparent is the header of the W3C trace context.
const headerTraceparent = "Traceparent"

// send makes one attempt at another node, in a span of its own. It calls onSilent
// if the node does not acknowledge the call in time, and again if the link to it falls
// silent, and goes on waiting for the answer until ctx or the deadline of the call ends.
func (p *Proxy) send(ctx context.Context, addr string, c call.Call, onSilent func(silence)) call.Reply {
	ctx, span := p.cfg.Tracer.Start(ctx, "attempt "+c.Service, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	r := p.exchange(ctx, addr, c, onSilent)
	span.SetAttributes(attribute.String("peer", addr), attribute.String("fate", r.Fate.String()))
	if r.Fate != call.Answered {
		span.SetStatus(codes.Error, r.Cause)
	}
	if r.Version > p.configVersion() {
		p.cfg.Feed.ObserveStamp(addr, vers.Stamp{Number: r.Version})
	}
	return r
}

// sendUntilSilent is like send, but ends the attempt if the node does not
// acknowledge the call in time.
func (p *Proxy) sendUntilSilent(ctx context.Context, addr string, c call.Call) call.Reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	return p.send(ctx, addr, c, func(silence) { cancel() })
}

// exchange sends a call to the node at addr and reads its reply.
func (p *Proxy) exchange(ctx context.Context, addr string, c call.Call, onSilent func(silence)) call.Reply {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	ctx, cancelAttempt := context.WithCancelCause(ctx)
	defer cancelAttempt(nil)
	client := p.clients.get(clientKey{addr, c.LargeResponse})
	a := newAckWatch(client.acks)
	a.onSilent = func(s silence) {
		if !a.connected.Load() {
			cancelAttempt(errUnreachable)
			return
		}
		p.clients.replace(client)
		onSilent(s)
	}
	a.start()
	defer a.stop()
	client.link.add(a)
	defer client.link.remove(a)
	body := p.newPeerBody(ctx, addr, c)
	a.onGrant = body.grant
	req, err := http.NewRequestWithContext(a.trace(ctx), c.Method, "http://"+addr+callPath, body)
	if err != nil {
		return call.Refuse(call.NotRun, err.Error(), 0)
	}
	req.ContentLength = int64(len(c.Body))
	if req.ContentLength == 0 {
		req.Body = http.NoBody
	}
	req.GetBody = nil // keep the transport from resending the call on its own
	req.Header = c.Header.Clone()
	injectTrace(ctx, req.Header)
	meta := callMeta(c, time.Now())
	meta.BodyLength = body.announced
	req.Header.Set(headerCall, encodeHeader(meta))
	req.Header.Set(peer.HeaderDeployment, p.cfg.Deployment)
	res, err := client.http.Do(req)
	if err != nil {
		if ctx.Err() == nil && (unprocessedError(err) || a.unprocessed.Load()) {
			p.recordUnprocessed(addr, c, a, err)
			return call.Reply{Fate: call.NotRun, Cause: call.CauseUnreachable}
		}
		p.recordMissingAnswer(ctx, addr, c, a, err)
		if !body.started() {
			return unsentReply(ctx)
		}
		return failedReply(ctx, a)
	}
	a.stop()
	res.Body = peer.InTime(ctx, res.Body)
	defer res.Body.Close()
	if res.Header, err = p.cfg.Memory.Header(ctx, res.Header, answerMemory(c)); err != nil {
		p.recordMissingAnswer(ctx, addr, c, a, err)
		return failedReply(ctx, a)
	}
	answer, err := p.readAnswer(ctx, c, res)
	if err != nil {
		p.recordMissingAnswer(ctx, addr, c, a, err)
		return failedReply(ctx, a)
	}
	r, err := decodeReply(c, res, answer)
	if err == nil {
		err = p.judgeReply(c, r)
	}
	if err != nil {
		p.recordEvent(event.FrameDropped, c, addr+": "+err.Error())
		return failedReply(ctx, a)
	}
	return r
}

// recordMissingAnswer records why the answer of a node did not arrive, if its call had
// a connection and neither its sender nor its deadline has ended it.
func (p *Proxy) recordMissingAnswer(ctx context.Context, addr string, c call.Call, a *ackWatch, err error) {
	if !a.connected.Load() || ctx.Err() != nil {
		return
	}
	acknowledged := "not acknowledged"
	if a.acked.Load() {
		acknowledged = "acknowledged"
	}
	p.recordEvent(event.AnswerMissing, c, fmt.Sprintf("%s: %v, %v after the call was sent, %s",
		addr, err, time.Since(a.startedAt).Round(time.Millisecond), acknowledged))
}

// recordLinkSilent records that nothing is received from a node for too long.
func (p *Proxy) recordLinkSilent(s linkSilence) {
	p.cfg.Journal.Add(event.Event{At: time.Now(), Kind: event.LinkSilent, Subject: s.addr, Cause: fmt.Sprintf(
		"nothing received for %v, %d calls in flight are sent elsewhere or asked for, and still awaited", time.Since(s.heardAt).Round(time.Millisecond), s.inFlight)})
}

// unsentReply returns the reply for an attempt that failed before its node had admitted its
// body. No byte of the body was sent, so that it can't have run.
func unsentReply(ctx context.Context) call.Reply {
	return call.Reply{Fate: call.NotRun, Cause: causeByContext(ctx, call.CauseUnreachable, call.CauseLinkFull)}
}

// failedReply returns the reply for an attempt that got no valid answer. Without a
// connection the call can't have run, otherwise its fate is unknown.
func failedReply(ctx context.Context, a *ackWatch) call.Reply {
	connected := a.connected.Load()
	r := call.Reply{Fate: call.Unknown, Cause: call.CauseBrokenAnswer}
	if !connected {
		r = call.Reply{Fate: call.NotRun, Cause: call.CauseUnreachable}
	}
	if connected && a.silent() {
		r.Cause = call.CauseSilent
		return r
	}
	r.Cause = causeByContext(ctx, r.Cause, call.CauseDeadline)
	return r
}

// causeByContext returns the cause of an attempt that got no answer: atDeadline if ctx has
// ended by its deadline, that of a cancellation if the caller has left, and failure
// otherwise, also if ctx was ended since the node is unreachable.
func causeByContext(ctx context.Context, failure, atDeadline string) string {
	switch {
	case errors.Is(context.Cause(ctx), errUnreachable):
		return failure
	case errors.Is(ctx.Err(), context.Canceled):
		return call.CauseCanceled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return atDeadline
	}
	return failure
}
