package pick

import (
	"time"
)

// Result classifies the end of an attempt at a candidate.
type Result int

// Results of an attempt. AmbiguousError, UpstreamError and TransportError raise
// the failure rate; the last two also count towards ejection. Unjudged says
// nothing about the candidate.
const (
	Success        Result = iota
	Refused               // refused for load, the call has not started
	AmbiguousError        // the backend server failed, timed out or cut off its answer, perhaps because of load or of another service
	UpstreamError         // the backend server failed, or its gatekeeper considers it failing
	TransportError        // no answer, or a corrupt one
	Unjudged              // the sender has given it up, or Silent or LinkSilent has been called for it
)

// Outcome describes one completed attempt at a candidate.
type Outcome struct {
	Result  Result
	Latency time.Duration
	Load    Load   // zero without an answer
	Class   string // of the call
}

// candidateStats are the statistics of one candidate.
type candidateStats struct {
	load                Load
	loadAt              time.Time
	inFlight            int     // calls sent by this node that have not ended
	inFlightAtReport    int     // inFlight at the time of the last load report
	bodyBytesSince      int64   // of the bulk bodies sent since the last load report
	answerBytesSince    int64   // of the bulk answers expected from the calls sent since then
	failureRate         float64 // smoothed
	consecutiveFailures int     // UpstreamError, TransportError and silence since the last Success
	consecutiveRefusals int     // Refused since the last Success, at most maxRefusals
	lastRefusal         time.Time
	silentAt            time.Time // when it was last found silent
	ejectedUntil        time.Time
	ejectionPeriod      time.Duration // length of the last ejection
	lastUsed            time.Time
	acceptance          map[string]acceptance // by class
}

// failureRate returns the smoothed failure rate of a candidate.
func (p *Picker) failureRate(id string) float64 {
	if s, ok := p.stats[id]; ok {
		return s.failureRate
	}
	return 0
}

// Ejected reports whether a candidate is ejected at now.
func (p *Picker) Ejected(now time.Time, id string) bool {
	s, ok := p.stats[id]
	return ok && now.Before(s.ejectedUntil)
}

// Sent records that a call is sent to the candidate id.
func (p *Picker) Sent(now time.Time, id string) {
	s, ok := p.stats[id]
	if !ok {
		p.evictIdle(now)
		s = &candidateStats{}
		p.stats[id] = s
	}
	s.inFlight++
	s.lastUsed = now
}

// Done records the outcome of a call that was sent to the candidate id. It
// reports whether the outcome ejects the candidate.
func (p *Picker) Done(now time.Time, id string, o Outcome) bool {
	s, ok := p.stats[id]
	if !ok {
		return false
	}
	s.inFlight--
	if o.Load.Limit > 0 {
		s.load, s.loadAt, s.inFlightAtReport = o.Load, now, s.inFlight
		s.bodyBytesSince, s.answerBytesSince = 0, 0
		s.setAcceptance(now, o.Class, o.Load.Acceptance)
	}
	switch o.Result {
	case Success:
		s.failureRate -= s.failureRate * failureRateSmoothing
		s.consecutiveFailures, s.consecutiveRefusals, s.ejectionPeriod = 0, 0, 0
	case Refused:
		s.consecutiveRefusals = min(s.consecutiveRefusals+1, maxRefusals)
		s.lastRefusal = now
	case AmbiguousError:
		s.failureRate += (1 - s.failureRate) * failureRateSmoothing
	case UpstreamError, TransportError:
		return p.addFailure(now, s)
	}
	return false
}

// Silent records that the candidate id has not acknowledged a call in time. The
// call may still be answered. It reports whether this ejects the candidate.
func (p *Picker) Silent(now time.Time, id string) bool {
	s, ok := p.stats[id]
	if !ok {
		return false
	}
	s.silentAt = now
	return p.addFailure(now, s)
}

// LinkSilent records that a connection to the candidate id is silent, on which data was
// last received at heardAt. It is called for each call in flight on the connection, and
// counts once, unless the candidate was found silent in that time before. It reports
// whether this ejects the candidate.
func (p *Picker) LinkSilent(now time.Time, id string, heardAt time.Time) bool {
	if s, ok := p.stats[id]; ok && s.silentAt.After(heardAt) {
		return false
	}
	return p.Silent(now, id)
}

// addFailure counts a failure toward the failure rate and the ejection of a
// candidate. It reports whether it ejects the candidate.
func (p *Picker) addFailure(now time.Time, s *candidateStats) bool {
	s.failureRate += (1 - s.failureRate) * failureRateSmoothing
	s.consecutiveFailures++
	return p.maybeEject(now, s)
}

// failureRateSmoothing is the weight of one outcome in the failure rate.
const failureRateSmoothing = 0.1

// maybeEject ejects a candidate after EjectAfter consecutive failures. Until a
// call succeeds, each failure after the end of an ejection ejects the candidate
// again, for twice as long.
func (p *Picker) maybeEject(now time.Time, s *candidateStats) bool {
	if s.consecutiveFailures < p.cfg.EjectAfter || now.Before(s.ejectedUntil) {
		return false
	}
	s.ejectionPeriod = min(max(2*s.ejectionPeriod, p.cfg.EjectMin), p.cfg.EjectMax)
	s.ejectedUntil = now.Add(s.ejectionPeriod)
	return true
}

// AvoidResend reports whether the failure rate of a candidate is too high for
// resends. A call that has failed elsewhere would probably fail there as well,
// and would take the place of a call that might succeed.
func (p *Picker) AvoidResend(id string) bool { return p.failureRate(id) >= avoidResendRate }

// evictIdle drops the statistics of candidates that were not used for StatsTTL.
func (p *Picker) evictIdle(now time.Time) {
	for id, s := range p.stats {
		if s.inFlight == 0 && now.Sub(s.lastUsed) > p.cfg.StatsTTL {
			delete(p.stats, id)
		}
	}
}
