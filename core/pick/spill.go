package pick

import (
	"fmt"
	"strings"
	"time"
)

const (
	// fullAcceptance is the share of the calls of a class that an upstream accepts, below
	// which it counts as full for them.
	fullAcceptance = 0.9
	// resendAcceptance is the share below which a candidate elsewhere gets no call that was
	// refused in the own data centre.
	resendAcceptance = 0.75
	// spillGain relates the share of the calls that leave a full data centre to the relative
	// difference between what is accepted there and elsewhere.
	spillGain = 4
	// maxClasses bounds the classes whose acceptance is kept for a candidate.
	maxClasses = 64
)

// spillPrefix begins the cause of a call that leaves a full data centre.
const spillPrefix = "the own data centre accepts "

// IsSpill reports whether the cause is that the own data centre is full and another one accepts
// more calls.
func (c Cause) IsSpill() bool { return strings.HasPrefix(string(c), spillPrefix) }

// acceptance is the share of the calls of a class that a candidate accepts.
type acceptance struct {
	share float64
	at    time.Time // when it was reported
}

// setAcceptance keeps what a candidate reports of a class.
func (s *candidateStats) setAcceptance(now time.Time, class string, share float64) {
	if share == 0 || class == "" {
		return
	}
	if s.acceptance == nil {
		s.acceptance = map[string]acceptance{}
	}
	if _, known := s.acceptance[class]; !known && len(s.acceptance) >= maxClasses {
		clear(s.acceptance)
	}
	s.acceptance[class] = acceptance{share, now}
}

// acceptance returns the share of the calls of a class that a candidate accepts. One that has
// not reported it lately is taken to accept all.
func (p *Picker) acceptance(now time.Time, id, class string) acceptance {
	if s := p.stats[id]; s != nil {
		if a, ok := s.acceptance[class]; ok && now.Sub(a.at) < p.cfg.StaleAfter {
			return a
		}
	}
	return acceptance{share: 1, at: now}
}

// full reports whether a candidate is known to refuse calls like this one.
func (p *Picker) full(now time.Time, c Candidate, criteria Criteria) bool {
	return c.Remote && p.acceptance(now, c.ID, criteria.Class).share < resendAcceptance
}

// spill chooses between the data centres while the own one is full. The load pattern is a
// lasting overload of data centres of different capacity. If every call that is refused
// went on to the next data centre, they would swap calls and answers without serving more.
// Instead, just so many calls leave the own one that all accept about the same share.
// local is the choice in the own data centre. ok is false if that has room.
func (p *Picker) spill(now time.Time, local Candidate, cs []Candidate, criteria Criteria) (c Candidate, cause Cause, ok bool) {
	own := 0.0
	var other acceptance
	var target *Candidate
	for i, c := range cs {
		a := p.acceptance(now, c.ID, criteria.Class)
		switch {
		case !c.Remote:
			own = max(own, a.share)
		case a.share > other.share && p.failureRate(c.ID) < healthyFailureRate:
			other, target = a, &cs[i]
		}
	}
	if own >= fullAcceptance {
		return Candidate{}, "", false
	}
	if target == nil || p.cfg.Rand.Float64() >= spillGain*(1-own/other.share) {
		return local, CauseLocal, true
	}
	cause = Cause(fmt.Sprintf(spillPrefix+"%.2f of such calls, this one %.2f, reported %v ago", own, other.share, now.Sub(other.at).Round(time.Millisecond)))
	return *target, cause, true
}
