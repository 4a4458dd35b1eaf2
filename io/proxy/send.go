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
const inquiryInterval = 100 * time.Millisecond

// resolveTimeout bounds one question about an attempt.
const inquiryTimeout = 500 * time.Millisecond

// callPath is the path of calls between nodes. That of the call itself is in
// its metadata.
const callPath = "/call"

// ackTimeout is how long a node may take to say that a call has arrived. One
// that is silent for longer is cut off, frozen, or behind a connection that
// something in between has lost track of.
const ackTimeout = 300 * time.Millisecond

// errSilent is the cause of an attempt that is given up because its node has
// not said that it arrived.
var errNoAck = errors.New("the node does not acknowledge the call")

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
	if r.Version > p.configVersion() {
		p.cfg.Feed.Heard(addr, vers.Stamp{Number: r.Version})
	}
	return r
}

func (p *Proxy) exchange(ctx context.Context, addr string, c call.Call) call.Reply {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	ctx, cancelAttempt := context.WithCancelCause(ctx)
	defer cancelAttempt(nil)
	ackTimer := time.AfterFunc(ackTimeout, func() { cancelAttempt(errNoAck) })
	defer ackTimer.Stop()
	var gotConn atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			ackTimer.Stop()
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
	client := p.clients.get(addr)
	res, err := client.Do(req)
	if err != nil {
		r := failedReply(ctx, gotConn.Load())
		if r.Cause == call.CauseSilent {
			p.clients.replace(addr, client)
		}
		return r
	}
	ackTimer.Stop()
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, p.cfg.MaxAnswerBytes+1))
	if err != nil || int64(len(body)) > p.cfg.MaxAnswerBytes {
		return failedReply(ctx, true)
	}
	r, err := decodeReply(c, res, body)
	if err != nil {
		p.recordEvent(event.FrameDropped, c, addr+": "+err.Error())
		return failedReply(ctx, true)
	}
	return r
}

// lost returns the reply for an attempt that was not answered.
func failedReply(ctx context.Context, gotConn bool) call.Reply {
	r := call.Reply{Fate: call.Unknown, Cause: call.CauseBrokenAnswer}
	if !gotConn {
		r = call.Reply{Fate: call.NotRun, Cause: call.CauseUnreachable}
	}
	switch {
	case errors.Is(context.Cause(ctx), errNoAck):
		if gotConn {
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
func (p *Proxy) resolveOutcome(ctx context.Context, target route.Candidate, c call.Call, unresolved call.Reply) call.Reply {
	// The caller may have gone; its repeat wants to find this settled.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	defer cancel()
	for {
		res, err := p.inquire(ctx, target.Addr, processID(target), c)
		switch {
		case err != nil || res.verdict == once.Join:
		case res.verdict == once.Fenced:
			p.recordEvent(event.RequestFenced, c, "answer from "+target.Addr+" was lost, it had not begun")
			return call.Refuse(call.NotRun, call.CauseFenced, 0)
		default:
			return keep.ReplyFor(res.verdict, res.answer)
		}
		if p.processEnded(target) || !timer.Sleep(ctx, inquiryInterval) {
			p.recordEvent(event.RequestUnknown, c, "answer from "+target.Addr+" was lost ("+unresolved.Cause+") and it can't be asked in time")
			return unresolved
		}
	}
}

// gone reports whether the process that an attempt was sent to is known to have
// ended, so that it can't be asked any more.
func (p *Proxy) processEnded(target route.Candidate) bool {
	m, known := p.cfg.Fleet.View().Get(target.ID)
	return !target.Entry && (!known || !m.IsUp())
}

// processOf returns the id of the process that an attempt was sent to, empty
// if it is an entry node, which is known by its address only.
func processID(c route.Candidate) string {
	if c.Entry {
		return ""
	}
	return c.ID
}

// finding is what a node said of an attempt or a key.
type inquiryResult struct {
	verdict once.Verdict
	answer  once.Answer
	former  tenure.FormerHomes // of the homes of a key
}

// inquire asks the node at addr about an attempt, over a fresh connection. If
// id is not empty only the process with that id may answer.
func (p *Proxy) inquire(ctx context.Context, addr, id string, c call.Call) (inquiryResult, error) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	client, closeIdle := p.cfg.Client.Fresh(addr)
	defer closeIdle()
	reply, err := client.Inquire(ctx, &wire.InquireRequest{
		Key: c.ID, Issued: c.Issued.UnixNano(), Attempt: c.Attempt, Mode: wire.Mode(c.Mode), From: p.cfg.Node, To: id,
	})
	if err != nil {
		return inquiryResult{}, err
	}
	return inquiryResult{
		verdict: once.Verdict(reply.GetVerdict()),
		answer:  peer.FromAnswer(reply.GetAnswer()),
		former:  tenure.FormerHomes{Removed: reply.GetRemoved(), Anchor: reply.GetAnchor()},
	}, nil
}
