package proxy

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"tanagerchute/core/band"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/pick"
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

// outWaitTime returns the time until the link has room for another large answer, besides those
// that are expected.
func (l *links) outWaitTime() time.Duration {
	return l.out.WaitTime() + band.Time(l.expected.Load(), l.out.Rate())
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

// linkCriteria returns what the choice of an upstream for c depends on, if its body has the
// given length.
func (p *Proxy) linkCriteria(c call.Call, bodyBytes int64) pick.Criteria {
	criteria := pick.Criteria{Class: c.Class, LargeResponse: c.LargeResponse, Target: c.Target, BodyBytes: bodyBytes}
	if p.links.bounded() {
		criteria.AnswerBytes = p.links.sizes.expect(c)
		criteria.OutRate = p.cfg.LinkRate
		if p.links.out.Bulk(criteria.BodyBytes) {
			criteria.OutWait = p.links.out.WaitTime()
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
	return p.candidates.linkRate(p.cfg.Fleet.View(), addr)
}
