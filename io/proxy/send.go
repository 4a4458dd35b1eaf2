package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/once"
	"tanagerchute/core/route"
	"tanagerchute/core/tenure"
	"tanagerchute/core/vers"
	"tanagerchute/io/keep"
	"tanagerchute/io/peer"
	"tanagerchute/io/timer"
	"tanagerchute/io/wire"
)

// resolveEvery is the pause between questions about an attempt.
const resolveEvery = 100 * time.Millisecond

// resolveTimeout bounds one question about an attempt.
const resolveTimeout = 500 * time.Millisecond

// callPath is the path of calls between nodes. That of the call itself is in
// its metadata.
const callPath = "/call"

// ackTimeout is how long a node may take to say that a call has arrived. One
// that is silent for longer is cut off, frozen, or behind a connection that
// something in between has lost track of.
const ackTimeout = 300 * time.Millisecond

// errSilent is the cause of an attempt that is given up because its node has
// not said that it arrived.
var errSilent = errors.New("the node does not acknowledge the call")

// propagator writes and reads traceparent.
var propagator = propagation.TraceContext{}

// send makes one attempt over the network.
func (p *Proxy) send(ctx context.Context, addr string, c call.Call) call.Reply {
	ctx, span := p.cfg.Tracer.Start(ctx, "attempt "+c.Service, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	r := p.exchange(ctx, addr, c)
	span.SetAttributes(attribute.String("peer", addr), attribute.String("fate", r.Fate.String()))
	if r.Fate != call.Answered {
		span.SetStatus(codes.Error, r.Cause)
	}
	if r.Version > p.version() {
		p.cfg.Feed.Heard(addr, vers.Stamp{Number: r.Version})
	}
	return r
}

func (p *Proxy) exchange(ctx context.Context, addr string, c call.Call) call.Reply {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	silence := time.AfterFunc(ackTimeout, func() { giveUp(errSilent) })
	defer silence.Stop()
	var wrote atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			silence.Stop()
			return nil
		},
	})
	req, err := http.NewRequestWithContext(traced, c.Method, "http://"+addr+callPath, bytes.NewReader(c.Body))
	if err != nil {
		return call.Refuse(call.NotRun, err.Error(), 0)
	}
	req.GetBody = nil // the transport must not resend on its own
	req.Header = c.Header.Clone()
	propagator.Inject(ctx, propagation.HeaderCarrier(req.Header))
	req.Header.Set(headerCall, encodeHeader(callMeta(c, time.Now())))
	req.Header.Set(peer.HeaderDeployment, p.cfg.Deployment)
	client := p.links.to(addr)
	res, err := client.Do(req)
	if err != nil {
		r := lost(ctx, wrote.Load())
		if r.Cause == call.CauseSilent {
			p.links.renew(addr, client)
		}
		return r
	}
	silence.Stop()
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, p.cfg.MaxAnswerBytes+1))
	if err != nil || int64(len(body)) > p.cfg.MaxAnswerBytes {
		return lost(ctx, true)
	}
	r, err := replyFrom(c, res, body)
	if err != nil {
		p.event(event.FrameDropped, c, addr+": "+err.Error())
		return lost(ctx, true)
	}
	return r
}

// lost returns the reply for an attempt that was not answered.
func lost(ctx context.Context, wrote bool) call.Reply {
	r := call.Reply{Fate: call.Unknown, Cause: call.CauseBrokenAnswer}
	if !wrote {
		r = call.Reply{Fate: call.NotRun, Cause: call.CauseUnreachable}
	}
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		if wrote {
			r.Cause = call.CauseSilent
		}
	case errors.Is(ctx.Err(), context.Canceled):
		r.Cause = call.CauseCanceled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.Cause = call.CauseDeadline
	}
	return r
}

// resolve asks, over a fresh connection, what became of an attempt whose
// answer was lost. The question fences an attempt that has not begun, so that
// the call may go elsewhere.
func (p *Proxy) resolve(ctx context.Context, target route.Candidate, c call.Call, was call.Reply) call.Reply {
	// The caller may have gone; its repeat wants to find this settled.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	defer cancel()
	for {
		f, err := p.inquire(ctx, target.Addr, processOf(target), c)
		switch {
		case err != nil || f.verdict == once.Join:
		case f.verdict == once.Fenced:
			p.event(event.RequestFenced, c, "answer from "+target.Addr+" was lost, it had not begun")
			return call.Refuse(call.NotRun, call.CauseFenced, 0)
		default:
			return keep.ReplyFor(f.verdict, f.answer)
		}
		if p.gone(target) || !timer.Sleep(ctx, resolveEvery) {
			p.event(event.RequestUnknown, c, "answer from "+target.Addr+" was lost ("+was.Cause+") and it can't be asked in time")
			return was
		}
	}
}

// gone reports whether the process that an attempt was sent to is known to have
// ended, so that it can't be asked any more.
func (p *Proxy) gone(target route.Candidate) bool {
	m, known := p.cfg.Fleet.View().Get(target.ID)
	return !target.Entry && (!known || !m.IsUp())
}

// processOf returns the id of the process that an attempt was sent to, empty
// if it is an entry node, which is known by its address only.
func processOf(c route.Candidate) string {
	if c.Entry {
		return ""
	}
	return c.ID
}

// finding is what a node said of an attempt or a key.
type finding struct {
	verdict once.Verdict
	answer  once.Answer
	former  tenure.FormerHomes // of the homes of a key
}

// inquire asks the node at addr about an attempt, over a fresh connection. If
// id is not empty only the process with that id may answer.
func (p *Proxy) inquire(ctx context.Context, addr, id string, c call.Call) (finding, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	client, closeIdle := p.cfg.Client.Fresh(addr)
	defer closeIdle()
	reply, err := client.Inquire(ctx, &wire.InquireRequest{
		Key: c.ID, Issued: c.Issued.UnixNano(), Attempt: c.Attempt, Mode: wire.Mode(c.Mode), From: p.cfg.Node, To: id,
	})
	if err != nil {
		return finding{}, err
	}
	return finding{
		verdict: once.Verdict(reply.GetVerdict()),
		answer:  peer.FromAnswer(reply.GetAnswer()),
		former:  tenure.FormerHomes{Removed: reply.GetRemoved(), Anchor: reply.GetAnchor()},
	}, nil
}
