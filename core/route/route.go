// Package route chooses the upstream for a call.
//
// The choice is the candidate at which the call is expected to finish first,
// by what is known of each: the load and the service time that rode on its last
// word, the calls that this node has sent to it since, how it failed of late,
// and whether it is cold. Each estimate is blurred a little, so that nodes with
// the same knowledge don't all choose the same. Another data centre costs the
// way there, and much more for a call with a large answer; a call that is
// expected back in good time from its own data centre stays there, if few calls
// fail. A candidate that keeps failing is ejected for a while.
//
// # Usage
//
//	p := route.New(route.DefaultConfig(rng))
//	c, cause, ok := p.Pick(now, candidates, route.Ask{Tried: tried})
//	p.Sent(c.ID)
//	p.Done(now, c.ID, route.Outcome{…})
package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Candidate is an upstream, or an entry node of another region.
type Candidate struct {
	ID     string // node id, or address of an entry node
	Addr   string
	Slots  int
	Remote bool // in another data centre
	Entry  bool // an entry node, which chooses the upstream itself
	// WarmUntil is when it stops being slow after its start, zero if it is not.
	WarmUntil time.Time
}

// Ask is what the choice is made for.
type Criteria struct {
	Exclude       []string // ids that are out of the question
	LargeResponse bool     // the answer will be large
	// Target is when the answer is worth most, zero if that is not known.
	Target time.Time
}

// Load is what a gatekeeper says of itself in each answer.
type Load struct {
	InFlight    int
	Queued      int
	Limit       int
	ServiceTime time.Duration // smoothed time of a call at its backend server, 0 if not known
}

// Result is how an attempt at a candidate came out.
type Result int

// Results.
const (
	Success        Result = iota
	Refused               // not started, for load
	AmbiguousError        // the backend server failed, was late or broke off, which load or others may be to blame for
	UpstreamError         // the gatekeeper answered that its backend server fails
	TransportError        // no answer, or a damaged one
)

// Outcome is what one attempt told about a candidate.
type Outcome struct {
	Result  Result
	Latency time.Duration
	Load    Load // zero if no answer came
}

// Config configures a Picker.
type Config struct {
	Rand               *rand.Rand
	EjectAfter         int           // failures in a row
	EjectMin           time.Duration // first ejection
	EjectMax           time.Duration
	StatsTTL           time.Duration
	StaleAfter         time.Duration // age from which a reported load counts for nothing
	DefaultServiceTime time.Duration // service time of a candidate that has not told it
	RemotePenalty      time.Duration // cost of another data centre
	RemoteLargePenalty time.Duration // the same for a call with a large answer
	SampleSize         int           // candidates that are compared for one choice
	// Comfort is the part of the time until its target by which a call has to be
	// expected back from the own data centre to stay there in any case.
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

// stat is what is known of one candidate.
type candidateStats struct {
	load                Load
	loadAt              time.Time
	inFlight            int     // calls under way from here
	inFlightAtReport    int     // of those, under way when the load was reported
	failureRate         float64 // smoothed share of failures
	consecutiveFailures int     // in a row
	consecutiveRefusals int     // in a row
	lastRefusal         time.Time
	ejectedUntil        time.Time
	ejectionPeriod      time.Duration
	lastUsed            time.Time
}

// Picker is the state machine of the choice. It is not safe for concurrent
// use.
type Picker struct {
	cfg   Config
	stats map[string]*candidateStats
}

// New returns a picker that knows nothing of any candidate.
func New(cfg Config) *Picker {
	return &Picker{cfg: cfg, stats: map[string]*candidateStats{}}
}

// Cause is the reason for a choice.
type Cause string

// Causes of a choice.
const (
	CauseLocal      Cause = "local"
	CauseLocalFull  Cause = "local upstreams are full"
	CauseNoLocal    Cause = "no local upstream takes work"
	CausePanic      Cause = "all upstreams are ejected"
	CauseNoUpstream Cause = "no upstream takes work"
)

// Pick chooses among candidates.
func (p *Picker) Pick(now time.Time, candidates []Candidate, ask Criteria) (Candidate, Cause, bool) {
	var open, ejected []Candidate
	near := false
	for _, c := range candidates {
		switch {
		case slices.Contains(ask.Exclude, c.ID):
		case p.Ejected(now, c.ID):
			ejected = append(ejected, c)
		default:
			open = append(open, c)
			near = near || !c.Remote
		}
	}
	if len(open) == 0 {
		c, ok := p.selectBest(now, ejected, ask)
		if !ok {
			return c, CauseNoUpstream, false
		}
		return c, CausePanic, true
	}
	c, _ := p.selectBest(now, open, ask)
	switch {
	case !c.Remote:
		return c, CauseLocal, true
	case near:
		return c, CauseLocalFull, true
	}
	return c, CauseNoLocal, true
}

// soonest returns the candidate at which the call is expected to finish first.
func (p *Picker) selectBest(now time.Time, cs []Candidate, ask Criteria) (Candidate, bool) {
	if len(cs) == 0 {
		return Candidate{}, false
	}
	cs = p.sample(cs)
	typical := p.meanServiceTime(cs)
	var best, near *Candidate
	var least, nearLeast time.Duration
	for i, c := range cs {
		cost := p.cost(now, c, ask, typical)
		if best == nil || cost < least {
			best, least = &cs[i], cost
		}
		if !c.Remote && p.failureRate(c.ID) < healthyFailureRate && (near == nil || cost < nearLeast) {
			near, nearLeast = &cs[i], cost
		}
	}
	if near != nil && !ask.Target.IsZero() && nearLeast <= time.Duration(p.cfg.LocalTargetFraction*float64(ask.Target.Sub(now))) {
		return *near, true
	}
	return *best, true
}

// failing returns the smoothed share of the calls to a candidate that fail.
func (p *Picker) failureRate(id string) float64 {
	if s, ok := p.stats[id]; ok {
		return s.failureRate
	}
	return 0
}

// sample returns at most Sample candidates, those of the own data centre first
// for three quarters of the places.
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
	near := slices.IndexFunc(cs, func(c Candidate) bool { return c.Remote })
	if near < 0 {
		near = len(cs)
	}
	near = min(near, 3*n/4)
	return append(cs[:near:near], cs[len(cs)-(n-near):]...)
}

// typical returns the mean service time of the candidates that have told it.
func (p *Picker) meanServiceTime(cs []Candidate) time.Duration {
	var sum time.Duration
	n := 0
	for _, c := range cs {
		if s := p.stats[c.ID]; s != nil && s.load.ServiceTime > 0 {
			sum += s.load.ServiceTime
			n++
		}
	}
	if n == 0 {
		return p.cfg.DefaultServiceTime
	}
	return sum / time.Duration(n)
}

// Weights of a cost.
const (
	untriedFactor      = 0.6 // cost of a server next door that has not been tried lately, to learn of it
	costJitter         = 0.1 // spread of an estimate, in each direction
	utilizationWeight  = 0.1 // cost of a full server against an idle one, as a share of its service time
	coldFactor         = 2   // service time of a cold server against a warm one
	maxFailureRate     = 0.9 // bound on the share of failures
	avoidResendRate    = 0.2 // share of failures from which nothing is resent to a server
	healthyFailureRate = 0.1 // share of failures up to which a server counts as well
)

// cost is the time in which a call is expected to be answered by c, more for
// one that may fail. typical is the service time of one that has not told it.
func (p *Picker) cost(now time.Time, c Candidate, ask Criteria, typical time.Duration) time.Duration {
	limit := float64(max(c.Slots, 1))
	service := typical
	var load, failing, reluctance float64
	if s := p.stats[c.ID]; s != nil {
		load = float64(s.inFlight)
		if s.load.ServiceTime > 0 {
			service = s.load.ServiceTime
		}
		if now.Sub(s.loadAt) < p.cfg.StaleAfter {
			if s.load.Limit > 0 {
				limit = float64(s.load.Limit)
			}
			// Calls sent since the report are not in it.
			others := float64(s.load.InFlight + s.load.Queued)
			load = max(load, others+float64(max(s.inFlight-s.inFlightAtReport, 0)))
		}
		reluctance = s.refusalPenalty(now, p.cfg.StaleAfter)
		failing = min(s.failureRate, maxFailureRate)
	}
	if now.Before(c.WarmUntil) {
		service *= coldFactor
	}
	if !c.Remote && p.untried(now, c) {
		service = time.Duration(untriedFactor * float64(service))
	}
	wait := max(load+1-limit, 0) / limit
	fill := utilizationWeight * min(load/limit, 1)
	cost := (float64(service)*(1+wait+fill) + float64(max(service, typical))*reluctance) / (1 - failing)
	cost *= 1 + costJitter*(2*p.cfg.Rand.Float64()-1)
	return time.Duration(cost) + p.localityPenalty(c, ask)
}

// untried reports whether no call has been sent to c from here lately.
func (p *Picker) untried(now time.Time, c Candidate) bool {
	s := p.stats[c.ID]
	return s == nil || s.inFlight == 0 && now.Sub(s.lastUsed) > p.cfg.StaleAfter
}

// way returns the cost of the way to c.
func (p *Picker) localityPenalty(c Candidate, ask Criteria) time.Duration {
	switch {
	case !c.Remote:
		return 0
	case ask.LargeResponse:
		return p.cfg.RemoteLargePenalty
	}
	return p.cfg.RemotePenalty
}

// Cost of refusals, in service times. An upstream that refuses looks idle
// by its load and would draw more calls the more it refuses.
const (
	refusalCost = 0.5
	maxRefusals = 4
)

// reluctance returns the cost of the last refusals while they are fresh.
func (s *candidateStats) refusalPenalty(now time.Time, fresh time.Duration) float64 {
	if now.Sub(s.lastRefusal) >= fresh {
		return 0
	}
	return refusalCost * float64(s.consecutiveRefusals)
}

// Ejected reports whether a candidate is ejected at now.
func (p *Picker) Ejected(now time.Time, id string) bool {
	s, ok := p.stats[id]
	return ok && now.Before(s.ejectedUntil)
}

// Sent notes that a call goes to id.
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

// Done notes how a call that was sent came out, and reports whether the
// candidate is ejected by it.
func (p *Picker) Done(now time.Time, id string, o Outcome) bool {
	s, ok := p.stats[id]
	if !ok {
		return false
	}
	s.inFlight--
	if o.Load.Limit > 0 {
		s.load, s.loadAt, s.inFlightAtReport = o.Load, now, s.inFlight
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
		s.failureRate += (1 - s.failureRate) * failureRateSmoothing
		s.consecutiveFailures++
		return p.maybeEject(now, s)
	}
	return false
}

// failSmoothing is the weight of one outcome in the share of failures.
const failureRateSmoothing = 0.1

func (p *Picker) maybeEject(now time.Time, s *candidateStats) bool {
	if s.consecutiveFailures < p.cfg.EjectAfter || now.Before(s.ejectedUntil) {
		return false
	}
	s.ejectionPeriod = min(max(2*s.ejectionPeriod, p.cfg.EjectMin), p.cfg.EjectMax)
	s.ejectedUntil = now.Add(s.ejectionPeriod)
	return true
}

// Hopeless reports whether so many of the calls to a candidate fail that one
// which has failed elsewhere would be sent there in vain, and would take the
// place of a call that might not fail.
func (p *Picker) AvoidResend(id string) bool { return p.failureRate(id) >= avoidResendRate }

// forget drops what is known of candidates that have not been used lately.
func (p *Picker) evictIdle(now time.Time) {
	for id, s := range p.stats {
		if s.inFlight == 0 && now.Sub(s.lastUsed) > p.cfg.StatsTTL {
			delete(p.stats, id)
		}
	}
}
