// Package pick chooses the upstream for a call.
//
// A Picker estimates the cost of each candidate, which is the expected time to
// an answer, and picks the lowest. The estimate takes in the load and the
// service time that the candidate reported with its last answer, the calls that
// this node has sent to it since, its recent failures and refusals, and whether
// it is in slow start. A random jitter keeps nodes with the same data from all
// choosing the same candidate.
//
// Candidates in other data centres carry a penalty, which is much larger for
// calls with a large answer. A call that a healthy local candidate is expected
// to answer well before the call's target stays in its data centre, and one whose
// data centre is full leaves it only for one that accepts more calls. A candidate
// that fails several times in a row is ejected for a while.
//
// # Usage
//
//	p := pick.New(pick.DefaultConfig(rng))
//	c, cause, ok := p.Pick(now, candidates, pick.Criteria{Exclude: tried})
//	p.Sent(now, c.ID)
//	ejected := p.Done(now, c.ID, pick.Outcome{…})
package pick

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Candidate is an upstream, or an entry node of another data centre.
type Candidate struct {
	ID     string // node id, or address of an entry node
	Addr   string
	Slots  int
	Remote bool // in another data centre
	Entry  bool // an entry node, which chooses the upstream itself
	// LinkRate is what the link of its instance carries in each direction, in bytes a
	// second. It is 0 if the link is not known to be bounded, and for the picker's own
	// node, to which calls take no link.
	LinkRate float64
	// Version is the version of its backend server's software, empty if unknown.
	Version string
	// WarmupEnd is when the warm-up period of its backend server ends, zero if
	// there is none. Until then the candidate gets few calls (slow start).
	WarmupEnd time.Time
}

// Criteria describes the call that an upstream is chosen for.
type Criteria struct {
	Exclude       []string // ids of candidates that must not be chosen
	LargeResponse bool     // the answer is expected to be large
	BodyBytes     int64    // length of the body
	AnswerBytes   int64    // expected length of the answer, 0 if not known
	// OutRate is what the link of the picker's own node carries, in bytes a second, 0 if it
	// is not bounded. OutWait is the time until it has room for another body.
	OutRate float64
	OutWait time.Duration
	// Target is the time by which the call should be answered, zero if the call
	// has no target.
	Target time.Time
	Class  string // of work, empty if not known
	// Refused is set if a candidate has refused the call because of load. Then only those
	// that may have room for it are chosen.
	Refused bool
}

// Load is the load of an upstream. Its gatekeeper, the node that admits calls to
// the backend server, reports it with each answer.
type Load struct {
	InFlight    int
	Queued      int
	Limit       int           // concurrency limit
	ServiceTime time.Duration // smoothed time of a call at the backend server, 0 if not known
	// RateLimit is the number of requests a second that the backend server takes
	// from all nodes together, 0 for no limit.
	RateLimit float64
	QuotaWait time.Duration // time until another call could start under RateLimit
	// LinkWait and LinkOutWait are the times until the link of its instance has room for
	// another body to it, and for another large answer from it.
	LinkWait    time.Duration
	LinkOutWait time.Duration
	// Acceptance is the share of the recent calls of the class of this one that it did not
	// refuse for load, 0 if not known.
	Acceptance float64
}

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

// Config configures a Picker.
type Config struct {
	Rand               *rand.Rand
	EjectAfter         int           // consecutive failures that eject a candidate
	EjectMin           time.Duration // length of the first ejection; each further one is twice as long
	EjectMax           time.Duration // bound on the length of an ejection
	StatsTTL           time.Duration // time after which an unused candidate's statistics are dropped
	StaleAfter         time.Duration // age from which reported loads and refusals are ignored
	DefaultServiceTime time.Duration // used while no compared candidate has reported its service time
	RemotePenalty      time.Duration // cost added to a candidate in another data centre
	RemoteLargePenalty time.Duration // replaces RemotePenalty for a call with a large answer
	SampleSize         int           // candidates compared for one choice
	// LocalTargetFraction is a fraction of the time left until the target of a
	// call. If a healthy local candidate is expected to answer within it, the
	// call stays in its data centre even if a remote candidate is faster.
	LocalTargetFraction float64
}

// DefaultConfig returns the settings that nodes use.
func DefaultConfig(rng *rand.Rand) Config {
	return Config{
		Rand:                rng,
		EjectAfter:          3,
		EjectMin:            time.Second,
		EjectMax:            15 * time.Second,
		StatsTTL:            5 * time.Minute,
		StaleAfter:          2 * time.Second,
		DefaultServiceTime:  100 * time.Millisecond,
		RemotePenalty:       60 * time.Millisecond,
		RemoteLargePenalty:  500 * time.Millisecond,
		SampleSize:          8,
		LocalTargetFraction: 0.7,
	}
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

// Picker chooses upstreams and keeps their statistics. It is not safe for
// concurrent use.
type Picker struct {
	cfg   Config
	stats map[string]*candidateStats
}

// New returns a picker without statistics.
func New(cfg Config) *Picker {
	return &Picker{cfg: cfg, stats: map[string]*candidateStats{}}
}

// Cause is the reason for a choice. It is written to the event journal.
type Cause string

// Causes of a choice.
const (
	CauseLocal      Cause = "local"
	CauseLocalFull  Cause = "local upstreams are full"
	CauseNoLocal    Cause = "no local upstream accepts calls"
	CausePanic      Cause = "all upstreams are ejected"
	CauseNoUpstream Cause = "no upstream accepts calls"
)

// Pick chooses one of candidates. If all that are not excluded are ejected, it
// chooses among those. It returns false if all candidates are excluded.
func (p *Picker) Pick(now time.Time, candidates []Candidate, criteria Criteria) (Candidate, Cause, bool) {
	var available, ejected []Candidate
	hasLocal := false
	for _, c := range candidates {
		switch {
		case slices.Contains(criteria.Exclude, c.ID):
		case criteria.Refused && p.full(now, c, criteria):
		case p.Ejected(now, c.ID):
			ejected = append(ejected, c)
		default:
			available = append(available, c)
			hasLocal = hasLocal || !c.Remote
		}
	}
	if len(available) == 0 {
		c, _, ok := p.selectBest(now, ejected, criteria)
		if !ok {
			return c, CauseNoUpstream, false
		}
		return c, CausePanic, true
	}
	c, cause, _ := p.selectBest(now, available, criteria)
	switch {
	case cause != "":
		return c, cause, true
	case !c.Remote:
		return c, CauseLocal, true
	case hasLocal:
		return c, CauseLocalFull, true
	}
	return c, CauseNoLocal, true
}

// selectBest returns the candidate with the lowest cost. It prefers a healthy
// local candidate that is expected to answer within LocalTargetFraction of the
// time until the target. While the own data centre is full, see spill, it returns the cause too.
// It returns false if cs is empty.
func (p *Picker) selectBest(now time.Time, cs []Candidate, criteria Criteria) (Candidate, Cause, bool) {
	if len(cs) == 0 {
		return Candidate{}, "", false
	}
	cs = p.sample(cs)
	meanService := p.meanServiceTime(now, cs)
	var best, local *Candidate
	var bestCost, localCost time.Duration
	for i, c := range cs {
		cost := p.cost(now, c, criteria, meanService)
		if best == nil || cost < bestCost {
			best, bestCost = &cs[i], cost
		}
		if !c.Remote && p.failureRate(c.ID) < healthyFailureRate && (local == nil || cost < localCost) {
			local, localCost = &cs[i], cost
		}
	}
	if local != nil && !criteria.Refused {
		if c, cause, ok := p.spill(now, *local, cs, criteria); ok {
			return c, cause, true
		}
	}
	if local != nil && !criteria.Target.IsZero() && localCost <= time.Duration(p.cfg.LocalTargetFraction*float64(criteria.Target.Sub(now))) {
		return *local, "", true
	}
	return *best, "", true
}

// failureRate returns the smoothed failure rate of a candidate.
func (p *Picker) failureRate(id string) float64 {
	if s, ok := p.stats[id]; ok {
		return s.failureRate
	}
	return 0
}

// sample returns at most SampleSize candidates at random. If there are enough
// local ones, they make up at least three quarters of the sample.
func (p *Picker) sample(cs []Candidate) []Candidate {
	n := p.cfg.SampleSize
	if len(cs) <= n {
		return cs
	}
	cs = slices.Clone(cs)
	p.cfg.Rand.Shuffle(len(cs), func(i, j int) { cs[i], cs[j] = cs[j], cs[i] })
	slices.SortStableFunc(cs, func(a, b Candidate) int {
		switch {
		case a.Remote == b.Remote:
			return 0
		case a.Remote:
			return 1
		}
		return -1
	})
	numLocal := slices.IndexFunc(cs, func(c Candidate) bool { return c.Remote })
	if numLocal < 0 {
		numLocal = len(cs)
	}
	numLocal = min(numLocal, 3*n/4)
	return append(cs[:numLocal:numLocal], cs[len(cs)-(n-numLocal):]...)
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
