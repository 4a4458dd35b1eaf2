package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"tanagerchute/core/band"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/pick"
	"tanagerchute/io/timer"
	"tanagerchute/io/xfer"
)

// messageOverhead is the assumed size of the head of a request or an answer, in bytes.
const messageOverhead = 1 << 10

// minAnswerWindow is the least stream window for answers, in bytes.
const minAnswerWindow = 16 << 10

// answerWindow returns the stream window for answers at a node whose link has the given
// rate, 0 for the default. That many bytes of a large answer come before the link admits
// it. The window is large enough to keep the link busy over a round trip.
func answerWindow(linkRate float64) int {
	if linkRate <= 0 {
		return 0
	}
	return int(max(minAnswerWindow, 2*band.PieceBytes(linkRate)))
}

// links are the two directions of the link of the instance, and what is expected to
// pass them. Both directions are nil if the link has no bound.
type links struct {
	in, out *xfer.Lane
	// callerIn and callerOut are those of them that the requests and answers of callers
	// pass, nil if callers are on the same instance.
	callerIn, callerOut *xfer.Lane
	sizes               answerSizes
	// expected is the sum of the bulk answers that the calls at the own backend server
	// are expected to have, in bytes.
	expected atomic.Int64
}

// init sets the rate of the links. Without it, they have no bound.
func (l *links) init(cfg Config) {
	lane := func(direction string) *xfer.Lane {
		record := func(k event.Kind) func(band.Transfer, time.Duration, band.State) {
			return func(t band.Transfer, waited time.Duration, s band.State) {
				cfg.Journal.Add(event.Event{At: time.Now(), Kind: k, Subject: t.Call, Cause: fmt.Sprintf(
					"%s: %d bytes, waited %v, %d wait, %d on their way, room in %v", direction, t.Bytes,
					waited.Round(time.Millisecond), s.Waiting, s.Unfinished, s.Wait.Round(time.Millisecond))})
			}
		}
		return xfer.NewLane(xfer.Config{BytesPerSecond: cfg.LinkRate, OnWait: record(event.TransferWaited), OnRefuse: record(event.TransferRefused)})
	}
	l.in, l.out = lane("in"), lane("out")
	if !cfg.LocalCallers {
		l.callerIn, l.callerOut = l.in, l.out
	}
	l.sizes.mean = map[answerClass]float64{}
}

// bounded reports whether the link of the instance has a bound.
func (l *links) bounded() bool { return l.in != nil }

// outWait returns the time until the link has room for another large answer, besides those
// that are expected.
func (l *links) outWait() time.Duration {
	return l.out.Wait() + band.Time(l.expected.Load(), l.out.Rate())
}

// answerClass identifies calls whose answers have similar sizes.
type answerClass struct{ service, class string }

// answerSizes estimates the sizes of answers. It is safe for concurrent use.
type answerSizes struct {
	mu   sync.Mutex
	mean map[answerClass]float64 // smoothed, bytes
}

const (
	answerSizeSmoothing = 0.1  // weight of one answer in the mean
	maxAnswerClasses    = 4096 // at this number the estimates are cleared
)

// observe records the size of an answer.
func (s *answerSizes) observe(c call.Call, r call.Reply) {
	if !r.Succeeded() {
		return
	}
	k, n := answerClass{c.Service, c.Class}, float64(len(r.Body))
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, ok := s.mean[k]
	if !ok {
		if len(s.mean) >= maxAnswerClasses {
			clear(s.mean)
		}
		mean = n
	}
	s.mean[k] = mean + answerSizeSmoothing*(n-mean)
}

// expect returns the expected size of the answer to c, 0 if it is not known.
func (s *answerSizes) expect(c call.Call) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.mean[answerClass{c.Service, c.Class}])
}

// Link returns the lanes of the instance's link, nil if it has no bound.
func (p *Proxy) Link() (in, out *xfer.Lane) { return p.links.in, p.links.out }

// linkCriteria returns what the choice of an upstream for c depends on.
func (p *Proxy) linkCriteria(c call.Call) pick.Criteria {
	criteria := pick.Criteria{LargeResponse: c.LargeResponse, Target: c.Target, BodyBytes: int64(len(c.Body))}
	if p.links.bounded() {
		criteria.AnswerBytes = p.links.sizes.expect(c)
		criteria.OutRate = p.cfg.LinkRate
		if p.links.out.Bulk(criteria.BodyBytes) {
			criteria.OutWait = p.links.out.Wait()
		}
	}
	return criteria
}

// isBulk reports whether the body or the expected answer of a call fills the link of a
// candidate for long.
func isBulk(c pick.Candidate, criteria pick.Criteria) bool {
	return c.LinkRate > 0 && max(criteria.BodyBytes, criteria.AnswerBytes) > band.PieceBytes(c.LinkRate)
}

// linkRateOf returns the rate of the link of a member in bytes a second, 0 if it is not
// known to be bounded.
func (p *Proxy) linkRateOf(id string) float64 {
	m, _ := p.cfg.Fleet.View().Get(id)
	return m.LinkRate
}

// linkRateAt is like linkRateOf, by address.
func (p *Proxy) linkRateAt(addr string) float64 {
	for _, m := range p.cfg.Fleet.View().Members {
		if m.Addr == addr && m.IsUp() {
			return m.LinkRate
		}
	}
	return 0
}

// retrySpread is the range by which the callers of refused calls are spread, relative to
// the time until there is room. minLinkRetryAfter is the least time.
const (
	retrySpread       = 0.5
	minLinkRetryAfter = 50 * time.Millisecond
)

// refuseLinkFull returns the refusal of a call for which no link has room. The time until
// there is room is spread over the callers.
func (p *Proxy) refuseLinkFull(untilRoom time.Duration) call.Reply {
	p.mu.Lock()
	spread := 1 + retrySpread*p.cfg.Rand.Float64()
	p.mu.Unlock()
	return call.Refuse(call.NotRun, call.CauseLinkFull, time.Duration(spread*float64(max(untilRoom, minLinkRetryAfter))))
}

// refuseForLinks returns a refusal if a call whose body was not read yet can't pass the links
// in time: that of this instance, and that of any upstream. length is that of its body,
// negative if it is not known.
func (p *Proxy) refuseForLinks(c call.Call, length int64) *call.Reply {
	criteria := p.linkCriteria(c)
	criteria.BodyBytes = max(length, 0)
	if max(criteria.BodyBytes, criteria.AnswerBytes) <= band.PieceBytes(0) {
		return nil // small on any link
	}
	cs := p.candidates.get(p.cfg.Fleet.View(), c.Service)
	now := time.Now()
	p.mu.Lock()
	e, ok := p.picker.EstimateLink(now, cs.used(false), criteria)
	p.mu.Unlock()
	if !ok {
		return nil // refused by dispatch
	}
	if in := p.links.callerIn; in.Bulk(criteria.BodyBytes) {
		e.Wait = max(e.Wait, in.Wait())
		e.Lasts += band.Time(criteria.BodyBytes, in.Rate())
	}
	if out := p.links.callerOut; out.Bulk(criteria.AnswerBytes) {
		e.Wait = max(e.Wait, out.Wait()-e.Lasts)
		e.Lasts += band.Time(criteria.AnswerBytes, out.Rate())
	}
	if e.Wait == 0 {
		return nil // no link is in the way
	}
	excess := e.Excess(now, c.Target, c.Deadline)
	if excess == 0 {
		return nil
	}
	p.recordEvent(event.TransferRefused, c, fmt.Sprintf("ingress: body of %d bytes, answer of %d expected, room in %v as reported %v ago, %v for links and work, %v too late",
		criteria.BodyBytes, criteria.AnswerBytes, e.Wait.Round(time.Millisecond), e.Age.Round(time.Millisecond), e.Lasts.Round(time.Millisecond), excess.Round(time.Millisecond)))
	r := p.refuseLinkFull(excess)
	return &r
}

// unreadCloseDelay is the time between the refusal of a call with an unread body and the end
// of its connection. The caller may not have read the refusal before, and would lose it.
const unreadCloseDelay = 500 * time.Millisecond

// refuseUnread writes the refusal of a call whose body was not read. If callers are on the
// same instance, the server reads the rest of it and keeps the connection, as it does after
// any early answer. Otherwise the connection is closed, since the rest would take the link
// for nothing.
func (p *Proxy) refuseUnread(w http.ResponseWriter, r *http.Request, c call.Call, reply call.Reply, arrivedAt time.Time) {
	p.reportResult(c, reply, AttemptSummary{}, arrivedAt)
	closes := p.links.callerIn != nil && r.ContentLength != 0 && r.ProtoMajor == 1
	if !closes {
		p.writeReply(r.Context(), w, c, reply)
		return
	}
	w.Header().Set("Connection", "close")
	whole := &wholeResponse{ResponseWriter: w}
	p.writeReply(r.Context(), whole, c, reply)
	whole.send()
	rc := http.NewResponseController(w)
	_ = rc.Flush() // fails only if the caller has disconnected
	timer.Sleep(r.Context(), unreadCloseDelay)
	_ = rc.SetReadDeadline(time.Now())
}

// wholeResponse collects a short response, so that it is sent with its length. Its reader
// finds the end of it before the handler has ended.
type wholeResponse struct {
	http.ResponseWriter
	status int
	body   []byte
}

// WriteHeader implements http.ResponseWriter.
func (w *wholeResponse) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *wholeResponse) Write(b []byte) (int, error) {
	w.body = append(w.body, b...)
	return len(b), nil
}

// send sends what was collected.
func (w *wholeResponse) send() {
	w.Header().Set("Content-Length", strconv.Itoa(len(w.body)))
	w.ResponseWriter.WriteHeader(w.status)
	_, _ = w.ResponseWriter.Write(w.body) // fails only if the caller has disconnected
}

// readBulkBody reads a body when the link of the instance admits it, at its pace.
func (p *Proxy) readBulkBody(r *http.Request, c call.Call) ([]byte, *rejection) {
	id, _ := newID()
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	d := p.links.callerIn.Acquire(ctx, band.Transfer{
		ID: id, Call: c.ID, Bytes: r.ContentLength, Priority: int(c.Priority), Target: c.Target, Deadline: c.Deadline, Detached: true,
	})
	if !d.Admitted {
		refusal := p.refuseLinkFull(d.RetryAfter)
		return nil, &rejection{refusal: &refusal}
	}
	defer p.links.callerIn.Done(id)
	body, err := xfer.Read(ctx, r.Body, r.ContentLength, xfer.NewPace(p.links.callerIn.Rate()))
	if err != nil {
		return nil, newRejection(http.StatusBadRequest, "body was cut short")
	}
	return body, nil
}

// countReads returns the body of a request from a caller, which is accounted for as it is
// read. A body without a declared length is read at the pace of the link.
func (l *links) countReads(r *http.Request) io.Reader {
	if l.callerIn == nil {
		return r.Body
	}
	l.callerIn.Pass(messageOverhead)
	return &countedBody{ctx: r.Context(), body: r.Body, in: l.callerIn, pace: xfer.NewPace(l.callerIn.Rate())}
}

// countedBody is a body that is accounted for as it is read.
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

// writeToCaller writes an answer to a caller, a large one when the link admits it.
func (l *links) writeToCaller(ctx context.Context, w http.ResponseWriter, c call.Call, body []byte) error {
	n := int64(len(body))
	if !l.callerOut.Bulk(n) {
		l.callerOut.Pass(n + messageOverhead)
		_, err := w.Write(body)
		return err
	}
	id, _ := newID()
	if d := l.callerOut.Acquire(ctx, band.Transfer{ID: id, Call: c.ID, Bytes: n, Priority: int(c.Priority), Target: c.Target, Detached: true}); !d.Admitted {
		return ctx.Err()
	}
	defer l.callerOut.Done(id)
	return xfer.Write(ctx, w, body, xfer.NewPace(l.callerOut.Rate()), http.NewResponseController(w).Flush)
}

// serveAsGatekeeper runs a call at the own backend server. It refuses one whose answer is
// expected to be large if the link would not let it pass in time.
func (p *Proxy) serveAsGatekeeper(ctx context.Context, c call.Call) call.Reply {
	if !p.links.bounded() {
		return p.cfg.Gate.Serve(ctx, c)
	}
	if n := p.links.sizes.expect(c); p.links.out.Bulk(n) {
		load := p.cfg.Gate.Load()
		e := band.Estimate{Wait: max(p.links.outWait()-load.ServiceTime, 0), Lasts: load.ServiceTime + band.Time(n, p.links.out.Rate())}
		if excess := e.Excess(time.Now(), c.Target, c.Deadline); e.Wait > 0 && excess > 0 {
			p.recordEvent(event.TransferRefused, c, fmt.Sprintf("out: answer of %d bytes expected, room in %v", n, e.Wait.Round(time.Millisecond)))
			r := p.refuseLinkFull(excess)
			r.Load = load
			return r
		}
		p.links.expected.Add(n)
		defer p.links.expected.Add(-n)
	}
	r := p.cfg.Gate.Serve(ctx, c)
	p.links.sizes.observe(c, r)
	return r
}

// admitPeerAnswer waits until the link admits an answer of n bytes to another node. The
// returned function must be called when it is written.
func (p *Proxy) admitPeerAnswer(ctx context.Context, c call.Call, n int64) (done func()) {
	out := p.links.out
	if !out.Bulk(n) {
		out.Pass(n + messageOverhead)
		return func() {}
	}
	out.Acquire(ctx, band.Transfer{ID: c.Attempt, Call: c.ID, Bytes: n, Priority: int(c.Priority), Target: c.Target})
	return func() { out.Done(c.Attempt) }
}

// readAnswer reads the body of an answer of another node, a large one when the link admits
// it.
func (p *Proxy) readAnswer(ctx context.Context, c call.Call, res *http.Response) ([]byte, error) {
	in := p.links.in
	if !in.Bulk(res.ContentLength) {
		body, err := io.ReadAll(io.LimitReader(res.Body, p.cfg.MaxAnswerBytes+1))
		if err == nil && int64(len(body)) > p.cfg.MaxAnswerBytes {
			err = errAnswerTooLarge
		}
		in.Pass(int64(len(body)) + messageOverhead)
		return body, err
	}
	if res.ContentLength > p.cfg.MaxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	if d := in.Acquire(ctx, band.Transfer{ID: c.Attempt, Call: c.ID, Bytes: res.ContentLength, Priority: int(c.Priority), Target: c.Target}); !d.Admitted {
		return nil, ctx.Err()
	}
	defer in.Done(c.Attempt)
	return xfer.Read(ctx, res.Body, res.ContentLength, xfer.NewPace(in.Rate()))
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
	t := band.Transfer{ID: c.Attempt, Call: c.ID, Bytes: n, Priority: int(c.Priority), Target: c.Target, Deadline: c.Deadline.Add(-load.ServiceTime)}
	if !t.Target.IsZero() {
		t.Target = t.Target.Add(-load.ServiceTime)
	}
	if d := p.links.in.Acquire(ctx, t); !d.Admitted {
		refusal := p.refuseLinkFull(d.RetryAfter)
		refusal.Load = load
		return &refusal, nil
	}
	defer p.links.in.Done(t.ID)
	w.Header().Set(headerGrant, strconv.FormatFloat(p.links.in.Rate(), 'f', 0, 64))
	w.WriteHeader(http.StatusProcessing)
	w.Header().Del(headerGrant)
	c.Body = make([]byte, n)
	_, err := io.ReadFull(r.Body, c.Body)
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
	if d := b.out.Acquire(b.ctx, band.Transfer{ID: b.call.Attempt, Call: b.call.ID, Bytes: n, Priority: int(b.call.Priority), Target: b.call.Target, Detached: true}); !d.Admitted {
		return b.ctx.Err()
	}
	return nil
}
