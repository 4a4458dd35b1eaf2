package pick

import (
	"slices"
	"time"

	"tanagerchute/core/band"
)

// linkUse is the expected use of the link of a candidate by one call.
type linkUse struct {
	wait     time.Duration // until the link has room
	transfer time.Duration // of its bulk body and answer
}

// linkUse estimates how a call uses the link of c. service is the time of the work,
// during which the wait of the answer shrinks. Small bodies and answers do not wait.
func (p *Picker) linkUse(now time.Time, c Candidate, criteria Criteria, service time.Duration) linkUse {
	if c.LinkRate <= 0 {
		return linkUse{}
	}
	var in, out time.Duration
	rate := band.BulkRate(c.LinkRate)
	if s := p.stats[c.ID]; s != nil {
		age := now.Sub(s.loadAt)
		in = max(s.load.LinkWait+band.Time(s.bodyBytesSince, rate)-age, 0)
		out = max(s.load.LinkOutWait+band.Time(s.answerBytesSince, rate)-age-service, 0)
	}
	var u linkUse
	if criteria.BodyBytes > band.PieceBytes(c.LinkRate) {
		u.wait += max(in, criteria.OutWait)
		u.transfer += max(band.Time(criteria.BodyBytes, rate), band.Time(criteria.BodyBytes, band.BulkRate(criteria.OutRate)))
	}
	if criteria.AnswerBytes > band.PieceBytes(c.LinkRate) {
		u.wait += out
		u.transfer += band.Time(criteria.AnswerBytes, rate)
	}
	return u
}

// linkTime estimates how long the body and the answer of a call wait for the link of c
// and pass it.
func (p *Picker) linkTime(now time.Time, c Candidate, criteria Criteria, service time.Duration) time.Duration {
	u := p.linkUse(now, c, criteria, service)
	return u.wait + u.transfer
}

// SentBulk records the size of the body that is sent to c, and of the expected answer, for
// the estimates until the next report of its load.
func (p *Picker) SentBulk(c Candidate, criteria Criteria) {
	s, ok := p.stats[c.ID]
	if !ok || c.LinkRate <= 0 {
		return
	}
	piece := band.PieceBytes(c.LinkRate)
	if criteria.BodyBytes > piece {
		s.bodyBytesSince += criteria.BodyBytes
	}
	if criteria.AnswerBytes > piece {
		s.answerBytesSince += criteria.AnswerBytes
	}
}

// EstimateLink estimates the course of a call at the one of cs at which it would end first,
// as far as links and the usual time of the work determine it. ok is false if no candidate
// is left.
func (p *Picker) EstimateLink(now time.Time, cs []Candidate, criteria Criteria) (best band.Estimate, ok bool) {
	service := p.meanServiceTime(now, cs)
	for _, c := range cs {
		if slices.Contains(criteria.Exclude, c.ID) || p.Ejected(now, c.ID) {
			continue
		}
		u := p.linkUse(now, c, criteria, service)
		e := band.Estimate{Wait: u.wait, Lasts: u.transfer + service}
		if s := p.stats[c.ID]; s != nil && !s.loadAt.IsZero() {
			e.Age = now.Sub(s.loadAt)
		}
		if !ok || e.Wait+e.Lasts < best.Wait+best.Lasts {
			best, ok = e, true
		}
	}
	return best, ok
}
