// Package route chooses the upstream for a call.
//
// The choice is made by power of two choices over what is known of each
// candidate: the load that rode on its last answer, the calls that this node
// has sent to it since, its latency, and how it failed of late. A candidate
// that keeps failing is ejected for a while, a cold one gets its share slowly,
// and another data centre is used only if the own one has no room.
//
// # Usage
//
//	p := route.New(route.DefaultConfig(rng))
//	c, cause, ok := p.Pick(now, candidates, tried)
//	p.Sent(c.ID)
//	p.Done(now, c.ID, route.Outcome{…})
package route

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
	Remote bool
	Since  time.Time // start of its process, zero if not known
}

// Load is what a gatekeeper says of itself in each answer.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
}

// Result is how an attempt at a candidate came out.
type Result int

// Results.
const (
	Good    Result = iota
	Refused        // not started, for load
	Failing        // the gatekeeper answered that its backend server fails
	Broken         // no answer, or a damaged one
)

// Outcome is what one attempt told about a candidate.
type Outcome struct {
	Result  Result
	Latency time.Duration
	Load    Load // zero if no answer came
}

// Config configures a Picker.
type Config struct {
	Rand       *rand.Rand
	SlowStart  time.Duration // time in which a cold candidate reaches its share
	EjectAfter int           // failures in a row
	EjectMin   time.Duration // first ejection
	EjectMax   time.Duration
	SpillAt    float64 // load of the best local candidate from which calls go elsewhere
	Forget     time.Duration
	StaleLoad  time.Duration // age from which a reported load counts for nothing
}

// DefaultConfig returns the settings that nodes use.
func DefaultConfig(rng *rand.Rand) Config {
	return Config{
		Rand:       rng,
		SlowStart:  5 * time.Second,
		EjectAfter: 3,
		EjectMin:   time.Second,
		EjectMax:   15 * time.Second,
		SpillAt:    1.2,
		Forget:     5 * time.Minute,
		StaleLoad:  2 * time.Second,
	}
}

// stat is what is known of one candidate.
type stat struct {
	load         Load
	loadAt       time.Time
	sent         int // calls under way from here
	atReport     int // of those, under way when the load was reported
	latency      time.Duration
	failures     int // in a row
	refusals     int // in a row
	refusedAt    time.Time
	ejectedUntil time.Time
	ejection     time.Duration
	used         time.Time
}

// Picker is the state machine of the choice. It is not safe for concurrent
// use.
type Picker struct {
	cfg   Config
	stats map[string]*stat
}

// New returns a picker that knows nothing of any candidate.
func New(cfg Config) *Picker {
	return &Picker{cfg: cfg, stats: map[string]*stat{}}
}

// Cause is the reason for a choice.
type Cause string

// Causes of a choice.
const (
	CauseLocal  Cause = "local"
	CauseSpill  Cause = "local upstreams are full"
	CauseAbsent Cause = "no local upstream takes work"
	CausePanic  Cause = "all upstreams are ejected"
	CauseNone   Cause = "no upstream takes work"
)

// Pick chooses among candidates, leaving out the ids in tried.
func (p *Picker) Pick(now time.Time, candidates []Candidate, tried []string) (Candidate, Cause, bool) {
	var local, far, ejected []Candidate
	for _, c := range candidates {
		switch {
		case slices.Contains(tried, c.ID):
		case p.Ejected(now, c.ID):
			ejected = append(ejected, c)
		case c.Remote:
			far = append(far, c)
		default:
			local = append(local, c)
		}
	}
	cause := CauseLocal
	if len(local) == 0 {
		cause = CauseAbsent
	}
	best, ok := p.two(now, local)
	if ok && p.score(now, best) >= p.cfg.SpillAt {
		// Both of the two may have been unlucky picks: look at all before a
		// call leaves the data centre.
		best = p.least(now, local)
	}
	if !ok || p.score(now, best) >= p.cfg.SpillAt {
		if other, found := p.two(now, far); found && (!ok || p.score(now, other) < p.score(now, best)) {
			if ok {
				cause = CauseSpill
			}
			return other, cause, true
		}
	}
	if ok {
		return best, cause, true
	}
	if c, found := p.two(now, ejected); found {
		return c, CausePanic, true
	}
	return Candidate{}, CauseNone, false
}

// two returns the better of two candidates picked at random.
func (p *Picker) two(now time.Time, cs []Candidate) (Candidate, bool) {
	switch len(cs) {
	case 0:
		return Candidate{}, false
	case 1:
		return cs[0], true
	}
	i := p.cfg.Rand.IntN(len(cs))
	j := p.cfg.Rand.IntN(len(cs) - 1)
	if j >= i {
		j++
	}
	if p.score(now, cs[j]) < p.score(now, cs[i]) {
		i = j
	}
	return cs[i], true
}

func (p *Picker) least(now time.Time, cs []Candidate) Candidate {
	best := cs[0]
	for _, c := range cs[1:] {
		if p.score(now, c) < p.score(now, best) {
			best = c
		}
	}
	return best
}

// score is the load that a call would meet at c, in units of its limit. The
// latency only breaks ties.
func (p *Picker) score(now time.Time, c Candidate) float64 {
	s := p.stats[c.ID]
	limit := float64(max(c.Slots, 1))
	var load, tie float64
	if s != nil {
		load = float64(s.sent)
		if now.Sub(s.loadAt) < p.cfg.StaleLoad {
			if s.load.Limit > 0 {
				limit = float64(s.load.Limit)
			}
			// Calls sent since the report are not in it.
			others := float64(s.load.InFlight + s.load.Queued)
			load = max(load, others+float64(max(s.sent-s.atReport, 0)))
		}
		load += limit * s.reluctance(now, p.cfg.StaleLoad)
		tie = min(s.latency.Seconds(), 1) * 0.1
		if s.failures > 0 {
			tie += 0.1 * float64(s.failures)
		}
	}
	return (load/limit + tie) / p.warmth(now, c)
}

// Cost of refusals, in units of the limit. An upstream that refuses looks idle
// by its load and would draw more calls the more it refuses.
const (
	refusalCost = 0.5
	maxRefusals = 4
)

// reluctance returns the cost of the last refusals while they are fresh.
func (s *stat) reluctance(now time.Time, fresh time.Duration) float64 {
	if now.Sub(s.refusedAt) >= fresh {
		return 0
	}
	return refusalCost * float64(s.refusals)
}

// warmth grows from a tenth to 1 while a candidate is cold.
func (p *Picker) warmth(now time.Time, c Candidate) float64 {
	if c.Since.IsZero() {
		return 1
	}
	age := now.Sub(c.Since)
	if age >= p.cfg.SlowStart {
		return 1
	}
	return max(0.1, float64(age)/float64(p.cfg.SlowStart))
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
		p.forget(now)
		s = &stat{}
		p.stats[id] = s
	}
	s.sent++
	s.used = now
}

// Done notes how a call that was sent came out, and reports whether the
// candidate is ejected by it.
func (p *Picker) Done(now time.Time, id string, o Outcome) bool {
	s, ok := p.stats[id]
	if !ok {
		return false
	}
	s.sent--
	if o.Load.Limit > 0 {
		s.load, s.loadAt, s.atReport = o.Load, now, s.sent
	}
	switch o.Result {
	case Good:
		s.latency += (o.Latency - s.latency) / 8
		s.failures, s.refusals, s.ejection = 0, 0, 0
	case Refused:
		s.refusals = min(s.refusals+1, maxRefusals)
		s.refusedAt = now
	case Failing, Broken:
		s.failures++
		return p.eject(now, s)
	}
	return false
}

func (p *Picker) eject(now time.Time, s *stat) bool {
	if s.failures < p.cfg.EjectAfter || now.Before(s.ejectedUntil) {
		return false
	}
	s.ejection = min(max(2*s.ejection, p.cfg.EjectMin), p.cfg.EjectMax)
	s.ejectedUntil = now.Add(s.ejection)
	return true
}

// forget drops what is known of candidates that have not been used lately.
func (p *Picker) forget(now time.Time) {
	for id, s := range p.stats {
		if s.sent == 0 && now.Sub(s.used) > p.cfg.Forget {
			delete(p.stats, id)
		}
	}
}
