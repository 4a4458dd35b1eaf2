package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"tanagerchute/core/band"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/io/xfer"
)

// readBulkBody reads a body when the link of the instance admits it, at its pace.
func (p *Proxy) readBulkBody(r *http.Request, c call.Call) ([]byte, *rejection) {
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	m := bodyMemory(c)
	m.Bytes = r.ContentLength
	body, err := p.cfg.Memory.Buffer(ctx, m)
	if err != nil {
		return nil, p.rejectBody(r, c, err)
	}
	d := p.links.callerIn.Acquire(ctx, band.Transfer{
		Call: c.ID, Bytes: r.ContentLength, Priority: int(c.Priority), Target: c.Target, Deadline: c.Deadline, Detached: true,
	})
	if !d.Admitted {
		refusal := p.refuseLinkFull(d.RetryAfter)
		if p.hasKey(c, r.Header) {
			refusal = withUnknownFate(refusal)
		}
		return nil, &rejection{refusal: &refusal, unread: true}
	}
	defer p.links.callerIn.Done(d.ID)
	if err := xfer.Read(ctx, r.Body, body, xfer.NewPace(p.links.callerIn.Rate())); err != nil {
		return nil, p.rejectBody(r, c, err)
	}
	return body, nil
}

// countReads accounts for the small body of a request from a caller, and returns it. A body
// without a declared length is accounted for as it is read, at the pace of the link.
func (l *links) countReads(r *http.Request) io.Reader {
	if l.callerIn == nil {
		return r.Body
	}
	if r.ContentLength >= 0 {
		l.callerIn.Pass(r.ContentLength + messageOverhead)
		return r.Body
	}
	l.callerIn.Pass(messageOverhead)
	return &countedBody{ctx: r.Context(), body: r.Body, in: l.callerIn, pace: xfer.NewPace(l.callerIn.Rate())}
}

// countedBody is a body without a declared length.
type countedBody struct {
	ctx  context.Context
	body io.Reader
	in   *xfer.Lane
	pace *xfer.Pace
}

// Read implements io.Reader.
func (b *countedBody) Read(buf []byte) (int, error) {
	size, err := b.pace.Next(b.ctx, int64(len(buf)))
	if err != nil {
		return 0, err
	}
	n, err := b.body.Read(buf[:size])
	b.in.Pass(int64(n))
	return n, err
}

// admitToCaller waits until the link admits the answer to a caller, if it is a large one. The
// returned function must be called when it is written. If the link has no room by the deadline of
// the call, the caller gets the returned reply instead.
func (p *Proxy) admitToCaller(ctx context.Context, c call.Call, r call.Reply) (reply call.Reply, done func()) {
	out, n := p.links.callerOut, int64(len(r.Body))
	if r.Fate != call.Answered || !out.Bulk(n) {
		return r, func() {}
	}
	enterStep(ctx, stepLink)
	waitCtx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	d := out.Acquire(waitCtx, band.Transfer{Call: c.ID, Bytes: n, Priority: int(c.Priority), Target: c.Target, Detached: true})
	if !d.Admitted {
		p.recordEvent(event.TransferRefused, c, fmt.Sprintf("answer of %d bytes: no room by the deadline of the request", n))
		return call.Refuse(call.Unknown, call.CauseDeadline, 0), func() {}
	}
	return r, func() { out.Done(d.ID) }
}

// writeToCaller writes an answer to a caller, a large one, which the link has admitted, at its pace.
// What is left of it at the deadline of the call is written at once.
func (l *links) writeToCaller(ctx context.Context, w http.ResponseWriter, c call.Call, body []byte) error {
	n := int64(len(body))
	if !l.callerOut.Bulk(n) {
		l.callerOut.Pass(n + messageOverhead)
		_, err := w.Write(body)
		return err
	}
	pace := xfer.NewPace(l.callerOut.Rate()).WithEnd(c.Deadline)
	return xfer.Write(ctx, w, body, pace, http.NewResponseController(w).Flush)
}
