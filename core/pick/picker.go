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
