package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"tanagerchute/core/band"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/vers"
	"tanagerchute/io/peer"
	"tanagerchute/io/runner"
	"tanagerchute/io/wire"
)

// Peer returns the handler for requests of other nodes. It serves calls, and
// passes all other requests to control.
func (p *Proxy) Peer(control http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerCall) == "" {
			control.ServeHTTP(w, r)
			return
		}
		p.servePeerCall(w, r)
	})
}

// servePeerCall serves a call from another node.
func (p *Proxy) servePeerCall(w http.ResponseWriter, r *http.Request) {
	p.inProgress.Add(1)
	defer p.inProgress.Add(-1)
	c, refusal, err := p.readPeerCall(w, r)
	if err != nil {
		p.cfg.Journal.Add(event.Event{At: time.Now(), Kind: event.FrameDropped, Subject: r.RemoteAddr, Cause: err.Error()})
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx := propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := p.cfg.Tracer.Start(ctx, "serve "+c.Service, trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	c.Trace = span.SpanContext().TraceID().String()
	// The backend server's spans become children of this node's span.
	injectTrace(ctx, c.Header)
	if c.Version > p.configVersion() {
		if m, ok := p.cfg.Fleet.View().Get(c.From); ok {
			p.cfg.Feed.ObserveStamp(m.Addr, vers.Stamp{Number: c.Version})
		}
	}
	var reply call.Reply
	if refusal != nil {
		reply = p.settleRefused(ctx, c, *refusal)
	} else {
		reply = p.serveByMode(ctx, c)
	}
	reply.Version = p.configVersion()
	if reply.Node == "" {
		reply.Node = p.cfg.Node
	}
	span.SetAttributes(attribute.String("fate", reply.Fate.String()), attribute.String("class", c.Class))
	p.writePeerReply(ctx, w, c, reply)
}

// acknowledge tells the sender that its call has arrived, see ackWatch.
func acknowledge(w http.ResponseWriter) { w.WriteHeader(http.StatusProcessing) }

// readPeerCall reads a call from another node, and acknowledges it. It returns a refusal
// instead of the body if the link has no room for it in time.
func (p *Proxy) readPeerCall(w http.ResponseWriter, r *http.Request) (call.Call, *call.Reply, error) {
	c, announced, err := p.readPeerHead(r)
	if err != nil {
		return call.Call{}, nil, err
	}
	if announced > 0 {
		refusal, err := p.admitPeerBody(w, r, &c, announced)
		return c, refusal, err
	}
	c.Body, err = p.readPeerBody(r, c)
	if refusal := p.refuseForMemory(err); refusal != nil {
		return c, refusal, nil
	}
	if err != nil {
		return call.Call{}, nil, err
	}
	acknowledge(w)
	return c, nil, nil
}

// readPeerHead reads a call from another node without its body. It returns the length of
// a body that waits for admission, 0 if the body is sent at once.
func (p *Proxy) readPeerHead(r *http.Request) (c call.Call, announced int64, err error) {
	if d := r.Header.Get(peer.HeaderDeployment); d != p.cfg.Deployment {
		return call.Call{}, 0, errOtherDeployment
	}
	var m wire.CallMeta
	if err := decodeHeader(r.Header.Get(headerCall), &m); err != nil {
		return call.Call{}, 0, err
	}
	if c, err = decodeCall(&m, time.Now()); err != nil {
		return call.Call{}, 0, err
	}
	if m.GetBodyLength() > p.Limits().MaxBodyBytes {
		return call.Call{}, 0, errBodyTooLarge
	}
	c.Method = r.Method
	c.Header = endToEndHeaders(r.Header)
	c.Header.Del(headerCall)
	c.Header.Del(peer.HeaderDeployment)
	return c, m.GetBodyLength(), nil
}

// readPeerBody reads a body that was sent without waiting for admission.
func (p *Proxy) readPeerBody(r *http.Request, c call.Call) ([]byte, error) {
	body, err := p.cfg.Memory.Read(r.Context(), r.Body, r.ContentLength, p.Limits().MaxBodyBytes, peerBodyMemory(c))
	if err != nil {
		return nil, err
	}
	p.links.in.Pass(int64(len(body)) + messageOverhead)
	return body, nil
}

// serveByMode serves a call in the mode that its sender has set.
func (p *Proxy) serveByMode(ctx context.Context, c call.Call) call.Reply {
	switch c.Mode {
	case call.Upstream:
		return p.serveAsGatekeeper(ctx, c)
	case call.Entry:
		return p.serveEntry(ctx, c)
	}
	return p.serveHome(ctx, c)
}

// settleRefused returns the reply to a call whose body the link has no room for. A call that
// is recorded here may have run before, and is refused under its record.
func (p *Proxy) settleRefused(ctx context.Context, c call.Call, refusal call.Reply) call.Reply {
	refuse := func() call.Reply { return refusal }
	switch {
	case c.Mode == call.Home:
		if _, sameDataCentre := p.cfg.Fleet.View().Get(c.From); !sameDataCentre {
			return withUnknownFate(refusal) // the home that would know can't be asked without the body
		}
		return p.runAsHome(ctx, c, refuse)
	case c.Mode == call.Entry && c.AtMostOnce:
		return runner.Run(ctx, p.homeTable, c, refuse)
	}
	return refusal
}

// serveEntry dispatches a call from another data centre to an upstream of this
// one. An at-most-once call is recorded, so that it runs once even if it is sent
// here again.
func (p *Proxy) serveEntry(ctx context.Context, c call.Call) call.Reply {
	if !c.AtMostOnce {
		r, _ := p.dispatch(ctx, c, true)
		r.Replied = true
		return r
	}
	return runner.Run(ctx, p.homeTable, c, func() call.Reply {
		r, _ := p.dispatch(context.WithoutCancel(ctx), c, true)
		r.Replied = true
		return r
	})
}

// serveHome runs a call as the home of its key. A call from another data centre
// arrives at a relay node, which forwards it to the home of its key.
func (p *Proxy) serveHome(ctx context.Context, c call.Call) call.Reply {
	if _, sameDataCentre := p.cfg.Fleet.View().Get(c.From); !sameDataCentre {
		c.From = p.cfg.Node
		r := p.sendToLocalHome(ctx, c)
		if !r.Replied {
			p.recordEvent(event.RequestUnknown, c, "no reply from the home of the key: "+r.Cause)
			r.Cause = call.CauseHomeSilent
		}
		return r
	}
	if !p.cfg.Feed.Ready() {
		return call.Refuse(call.NotRun, call.CauseNodeNotReady, time.Second)
	}
	return p.runAsHome(ctx, c, p.workOfKey(ctx, c))
}

// writePeerReply writes a reply to the node that sent the call.
func (p *Proxy) writePeerReply(ctx context.Context, w http.ResponseWriter, c call.Call, r call.Reply) {
	status := http.StatusServiceUnavailable
	h := w.Header()
	if r.Fate == call.Answered {
		status = r.Status
		for k, vs := range endToEndHeaders(r.Header) {
			h[k] = vs
		}
	} else {
		r.Body = nil
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline) // after which its sender reads no more
	defer cancel()
	done := p.admitPeerAnswer(ctx, c, int64(len(r.Body)))
	defer done()
	r.Load.LinkWait, r.Load.LinkOutWait = p.links.in.WaitTime(), p.links.outWaitTime()
	h.Set(headerAnswer, encodeHeader(answerMeta(c, r)))
	if int64(len(r.Body)) > band.PieceBytes(0) { // its receiver may have to admit it
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(status)
	// A sender that misses the reply inquires about the outcome.
	_ = p.writePeerAnswer(ctx, w, c, r.Body)
}
