package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"tanagerchute/core/band"
	"tanagerchute/core/call"
	"tanagerchute/io/memory"
	"tanagerchute/io/xfer"
)

// writePeerAnswer writes the body of an answer, which the link has admitted, to the node that
// sent the call, at the pace of the links of both.
func (p *Proxy) writePeerAnswer(ctx context.Context, w http.ResponseWriter, c call.Call, body []byte) error {
	n := int64(len(body))
	rate := 0.0
	if n > band.PieceBytes(0) {
		rate = p.linkRateOf(c.From)
	}
	if !p.links.out.Bulk(n) && (rate == 0 || n <= band.PieceBytes(rate)) {
		_, err := w.Write(body)
		return err
	}
	return xfer.Write(ctx, w, body, xfer.NewPace(p.links.out.Rate(), band.BulkRate(rate)), http.NewResponseController(w).Flush)
}

// admitPeerAnswer waits until the link admits an answer of n bytes to another node. The
// returned function must be called when it is written.
func (p *Proxy) admitPeerAnswer(ctx context.Context, c call.Call, n int64) (done func()) {
	out := p.links.out
	if !out.Bulk(n) {
		out.Pass(n + messageOverhead)
		return func() {}
	}
	d := out.Acquire(ctx, band.Transfer{Call: c.ID, Bytes: n, Priority: int(c.Priority), Target: c.Target})
	return func() { out.Done(d.ID) }
}

// readAnswer reads the body of an answer of another node, a large one when the link admits
// it.
func (p *Proxy) readAnswer(ctx context.Context, c call.Call, res *http.Response) ([]byte, error) {
	in, m := p.links.in, answerMemory(c)
	m.Grows = memory.IsLarge(res.Header) // the head holds room
	if !in.Bulk(res.ContentLength) {
		length := res.ContentLength
		if res.Body == http.NoBody {
			length = 0
		}
		body, err := p.cfg.Memory.Read(ctx, res.Body, length, p.cfg.MaxAnswerBytes, m)
		in.Pass(int64(len(body)) + messageOverhead)
		return body, err
	}
	if res.ContentLength > p.cfg.MaxAnswerBytes {
		return nil, memory.ErrTooLong
	}
	m.Bytes = res.ContentLength
	body, err := p.cfg.Memory.Buffer(ctx, m)
	if err != nil {
		return nil, err
	}
	d := in.Acquire(ctx, band.Transfer{Call: c.ID, Bytes: res.ContentLength, Priority: int(c.Priority), Target: c.Target})
	if !d.Admitted {
		return nil, ctx.Err()
	}
	defer in.Done(d.ID)
	return body, xfer.Read(ctx, res.Body, body, xfer.NewPace(in.Rate()))
}

// headerGrant is the header of the informational response by which a node admits the body
// of a call. It holds the rate in bytes a second, 0 for no bound.
const headerGrant = "Tanager-Grant"

// parseGrant returns the rate in the value of headerGrant.
func parseGrant(v string) (rate float64, ok bool) {
	rate, err := strconv.ParseFloat(v, 64)
	return rate, err == nil && rate >= 0
}

// admitPeerBody waits until the link admits the announced body of a call, tells its sender,
// and reads it. It returns a refusal if there is no room in time.
func (p *Proxy) admitPeerBody(w http.ResponseWriter, r *http.Request, c *call.Call, n int64) (*call.Reply, error) {
	if r.ContentLength != n {
		return nil, errBodyLength
	}
	acknowledge(w)
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	load := p.cfg.Gate.Load()
	m := peerBodyMemory(*c)
	m.Bytes = n
	body, err := p.cfg.Memory.Buffer(ctx, m)
	if refusal := p.refuseForMemory(err); refusal != nil {
		return refusal, nil
	}
	if err != nil {
		return nil, err
	}
	t := band.Transfer{Call: c.ID, Bytes: n, Priority: int(c.Priority), Target: c.Target, Deadline: c.Deadline.Add(-load.ServiceTime)}
	if !t.Target.IsZero() {
		t.Target = t.Target.Add(-load.ServiceTime)
	}
	d := p.links.in.Acquire(ctx, t)
	if !d.Admitted {
		refusal := p.refuseLinkFull(d.RetryAfter)
		refusal.Load = load
		return &refusal, nil
	}
	defer p.links.in.Done(d.ID)
	w.Header().Set(headerGrant, strconv.FormatFloat(p.links.in.Rate(), 'f', 0, 64))
	w.WriteHeader(http.StatusProcessing)
	w.Header().Del(headerGrant)
	c.Body = body
	_, err = io.ReadFull(r.Body, c.Body)
	return nil, err
}

// peerBody is the body of a call to another node. If it is announced, no byte of it is sent
// before the node admits it.
type peerBody struct {
	ctx       context.Context
	rest      []byte
	announced int64        // length, 0 if it is sent at once
	granted   chan float64 // receives the rate that the node grants, nil if it is sent at once
	sending   atomic.Bool
	call      call.Call
	out       *xfer.Lane
	pace      *xfer.Pace // nil before the first byte is sent
}

// newPeerBody returns the body of c for the node at addr.
func (p *Proxy) newPeerBody(ctx context.Context, addr string, c call.Call) *peerBody {
	b := &peerBody{ctx: ctx, rest: c.Body, call: c, out: p.links.out}
	n := int64(len(c.Body))
	if n <= band.PieceBytes(0) {
		p.links.out.Pass(n + messageOverhead)
		return b
	}
	if rate := p.linkRateAt(addr); rate > 0 && n > band.PieceBytes(rate) {
		b.announced = n
		b.granted = make(chan float64, 1)
	}
	return b
}

// grant is called when the node admits the body.
func (b *peerBody) grant(rate float64) {
	select {
	case b.granted <- rate:
	default: // not announced, or granted twice
	}
}

// started reports whether a part of the body may have been sent.
func (b *peerBody) started() bool { return b.announced == 0 || b.sending.Load() }

// Read implements io.Reader.
func (b *peerBody) Read(buf []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	if b.pace == nil {
		if err := b.start(); err != nil {
			return 0, err
		}
	}
	size, err := b.pace.Next(b.ctx, int64(min(len(buf), len(b.rest))))
	if err != nil {
		return 0, err
	}
	n := copy(buf, b.rest[:size])
	b.rest = b.rest[n:]
	return n, nil
}

// start waits until the body may be sent.
func (b *peerBody) start() error {
	rate := 0.0
	if b.granted != nil {
		select {
		case rate = <-b.granted:
		case <-b.ctx.Done():
			return b.ctx.Err()
		}
		b.sending.Store(true)
	}
	b.pace = xfer.NewPace(rate, b.out.Rate())
	n := int64(len(b.rest))
	if !b.out.Bulk(n) {
		if n > band.PieceBytes(0) {
			b.out.Pass(n + messageOverhead)
		}
		return nil
	}
	if d := b.out.Acquire(b.ctx, band.Transfer{Call: b.call.ID, Bytes: n, Priority: int(b.call.Priority), Target: b.call.Target, Detached: true}); !d.Admitted {
		return b.ctx.Err()
	}
	return nil
}
