package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

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
	c, err := p.readPeerCall(r)
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
	propagator.Inject(ctx, propagation.HeaderCarrier(c.Header))
	if c.Version > p.configVersion() {
		if m, ok := p.cfg.Fleet.View().Get(c.From); ok {
			p.cfg.Feed.ObserveStamp(m.Addr, vers.Stamp{Number: c.Version})
		}
	}
	// Acknowledge the call, see ackTimeout.
	w.WriteHeader(http.StatusProcessing)
	reply := p.serveByMode(ctx, c)
	reply.Version = p.configVersion()
	if reply.Node == "" {
		reply.Node = p.cfg.Node
	}
	span.SetAttributes(attribute.String("fate", reply.Fate.String()), attribute.String("class", c.Class))
	writePeerReply(w, c, reply)
}

// readPeerCall reads a call from another node.
func (p *Proxy) readPeerCall(r *http.Request) (call.Call, error) {
	if d := r.Header.Get(peer.HeaderDeployment); d != p.cfg.Deployment {
		return call.Call{}, errOtherDeployment
	}
	var m wire.CallMeta
	if err := decodeHeader(r.Header.Get(headerCall), &m); err != nil {
		return call.Call{}, err
	}
	c, err := decodeCall(&m, time.Now())
	if err != nil {
		return call.Call{}, err
	}
	limit := p.Limits().MaxBodyBytes
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return call.Call{}, err
	}
	if int64(len(body)) > limit {
		return call.Call{}, errBodyTooLarge
	}
	c.Method, c.Body = r.Method, body
	c.Header = endToEndHeaders(r.Header)
	c.Header.Del(headerCall)
	c.Header.Del(peer.HeaderDeployment)
	return c, nil
}

// serveByMode serves a call in the mode that its sender has set.
func (p *Proxy) serveByMode(ctx context.Context, c call.Call) call.Reply {
	switch c.Mode {
	case call.Upstream:
		return p.cfg.Gate.Serve(ctx, c)
	case call.Entry:
		return p.serveEntry(ctx, c)
	}
	return p.serveHome(ctx, c)
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
	return p.runAsHome(ctx, c)
}

// writePeerReply writes a reply to the node that sent the call.
func writePeerReply(w http.ResponseWriter, c call.Call, r call.Reply) {
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
	h.Set(headerAnswer, encodeHeader(answerMeta(c, r)))
	w.WriteHeader(status)
	_, _ = w.Write(r.Body) // a sender that misses the reply inquires about the outcome
}
