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
	"tanagerchute/core/dedup"
	"tanagerchute/core/event"
	"tanagerchute/core/homes"
	"tanagerchute/core/pick"
	"tanagerchute/core/vers"
	"tanagerchute/io/peer"
	"tanagerchute/io/runner"
	"tanagerchute/io/timer"
	"tanagerchute/io/wire"
)

// inquiryInterval is the pause between two inquiries about an attempt.
const inquiryInterval = 100 * time.Millisecond

// inquiryTimeout is the timeout of one inquiry about an attempt.
const inquiryTimeout = 500 * time.Millisecond

// callPath is the URL path of calls between nodes. The path of the call itself is
// in its metadata.
const callPath = "/call"

// ackTimeout is the time in which a node must acknowledge the arrival of a call,
// which it does with status 102 (Processing). A node that takes longer is
// partitioned or frozen, or a middlebox has dropped the state of the
// connection.
const ackTimeout = 300 * time.Millisecond

// errNoAck is the cancellation cause of an attempt that its node has not
// acknowledged within ackTimeout.
var errNoAck = errors.New("node did not acknowledge the call in time")

// propagator injects and extracts the traceparent header.
var propagator = propagation.TraceContext{}

// send makes one attempt at another node, in a span of its own.
func (p *Proxy) send(ctx context.Context, addr string, c call.Call) call.Reply {
	ctx, span := p.cfg.Tracer.Start(ctx, "attempt "+c.Service, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	r := p.exchange(ctx, addr, c)
	span.SetAttributes(attribute.String("peer", addr), attribute.String("fate", r.Fate.String()))
	if r.Fate != call.Answered {
		span.SetStatus(codes.Error, r.Cause)
	}
	if r.Version > p.configVersion() {
		p.cfg.Feed.ObserveStamp(addr, vers.Stamp{Number: r.Version})
	}
	return r
}

// exchange sends a call to the node at addr and reads its reply.
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
	req.GetBody = nil // keep the transport from resending the call on its own
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

// failedReply returns the reply for an attempt that got no valid answer. Without a
// connection the call can't have run, otherwise its fate is unknown.
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

// resolveOutcome asks the target for the outcome of an attempt whose answer was
// lost. The inquiry fences an attempt that has not started, so that the call may
// be sent to another upstream. It returns unresolved if the outcome can't be
// learned in time.
func (p *Proxy) resolveOutcome(ctx context.Context, target pick.Candidate, c call.Call, unresolved call.Reply) call.Reply {
	// Continue if the caller disconnects, so that the outcome is known when the
	// caller repeats the call.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	defer cancel()
	for {
		res, err := p.inquire(ctx, target.Addr, processID(target), c)
		switch {
		case err != nil || res.verdict == dedup.Join:
		case res.verdict == dedup.Fenced:
			p.recordEvent(event.RequestFenced, c, "answer from "+target.Addr+" was lost, the attempt had not started")
			return call.Refuse(call.NotRun, call.CauseFenced, 0)
		default:
			return runner.ReplyFor(res.verdict, res.answer)
		}
		if p.processEnded(target) || !timer.Sleep(ctx, inquiryInterval) {
			p.recordEvent(event.RequestUnknown, c, "answer from "+target.Addr+" was lost ("+unresolved.Cause+") and it can't be asked in time")
			return unresolved
		}
	}
}

// processEnded reports whether the process that an attempt was sent to is known to
// have ended, so that it can no longer be asked. It is false for an entry node,
// whose process is not known.
func (p *Proxy) processEnded(target pick.Candidate) bool {
	m, known := p.cfg.Fleet.View().Get(target.ID)
	return !target.Entry && (!known || !m.IsUp())
}

// processID returns the id of the process that an attempt was sent to. It is empty
// for an entry node, of which only the address is known.
func processID(c pick.Candidate) string {
	if c.Entry {
		return ""
	}
	return c.ID
}

// inquiryResult is the reply of a node to an inquiry about an attempt or a key.
type inquiryResult struct {
	verdict dedup.Verdict
	answer  dedup.Answer
	former  homes.History // what the node knows of the earlier homes of the key
}

// inquire asks the node at addr for the outcome of an attempt. It uses a new
// connection, since the existing one may be dead. If id is not empty, only the
// process with that id may answer.
func (p *Proxy) inquire(ctx context.Context, addr, id string, c call.Call) (inquiryResult, error) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	client, closeIdle := p.cfg.Client.DedicatedTo(addr)
	defer closeIdle()
	reply, err := client.Inquire(ctx, &wire.InquireRequest{
		Key: c.ID, Issued: c.Issued.UnixNano(), Attempt: c.Attempt, Mode: wire.Mode(c.Mode), From: p.cfg.Node, To: id,
	})
	if err != nil {
		return inquiryResult{}, err
	}
	return inquiryResult{
		verdict: dedup.Verdict(reply.GetVerdict()),
		answer:  peer.FromAnswer(reply.GetAnswer()),
		former:  homes.History{Removed: reply.GetRemoved(), Anchor: reply.GetAnchor()},
	}, nil
}
