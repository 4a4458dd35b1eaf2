package proof

import "time"

// Schedule says from which ages of the newest proof on a node looks for a newer one, and how
// often, as shares of the bound. The first reader of a data centre reads the store first. The
// others ask it. Whoever still has no newer proof reads the store, since it may be the only one
// that reaches it.
type Schedule struct {
	FirstReader   float64 // the first reader reads the store
	Ask           float64 // any other node asks another one
	SecondReader  float64 // the second reader reads the store
	AnyNode       float64 // any other node reads the store
	AnyNodeSpread float64 // part added to AnyNode that depends on Config.Spread

	AskPause  float64 // after a request to another node
	ReadPause float64 // after a read, doubled after each failure
}

// KeySchedule is that of a node that may serve no key of a client account without a proof.
func KeySchedule() Schedule {
	return Schedule{FirstReader: 0.15, Ask: 0.25, SecondReader: 0.3, AnyNode: 0.4, AnyNodeSpread: 0.12, AskPause: 0.1, ReadPause: 0.16}
}

// VersionSchedule is that of a node that looks for new versions which no watch of the store has
// told of. A version is found with a part of the bound left if both readers have failed, in
// which it reaches the other nodes.
func VersionSchedule() Schedule {
	return Schedule{FirstReader: 0.22, Ask: 0.33, SecondReader: 0.38, AnyNode: 0.5, AnyNodeSpread: 0.12, AskPause: 0.12, ReadPause: 0.16}
}

const (
	// firstReadShare and firstReadSpread delay the first read of a node that has had no
	// proof yet and is not a reader, as shares of the bound. Nodes that start together then
	// get the proofs of the readers.
	firstReadShare  = 0.1
	firstReadSpread = 0.3
	maxPauseFactor  = 4 // on Schedule.ReadPause, for a node that is not a reader
	maxReaderFactor = 2 // the same for a reader
)

// Planner decides when a node asks another one for a proof, and when it reads the store.
type Planner struct {
	cfg      Config
	schedule Schedule
	nextAsk  time.Time // not before
	nextRead time.Time // not before
	failures int       // failed reads since the last one that succeeded
}

// NewPlanner returns a planner that follows s.
func NewPlanner(cfg Config, s Schedule) *Planner { return &Planner{cfg: cfg, schedule: s} }

// Step is what a node does about the age of its proof.
type Step struct {
	Ask  bool // ask another node
	Read bool // read the store
}

// Or returns what s and o ask for together.
func (s Step) Or(o Step) Step { return Step{s.Ask || o.Ask, s.Read || o.Read} }

// Next returns what to do at now, if the newest proof is of the time at, zero if there is none.
// rank is the rank of the node among the readers of its data centre, negative if it is none.
// random is between 0 and 1.
func (p *Planner) Next(now, at time.Time, rank int, random float64) Step {
	age := now.Sub(at)
	if at.IsZero() {
		age = p.cfg.Bound
		p.delayFirstRead(now, rank)
	}
	var s Step
	if rank != 0 && age >= p.cfg.share(p.schedule.Ask) && !now.Before(p.nextAsk) {
		s.Ask = true
		p.nextAsk = now.Add(p.jitter(p.cfg.share(p.schedule.AskPause), random))
	}
	if age >= p.readAge(rank) && !now.Before(p.nextRead) {
		s.Read = true
		p.nextRead = now.Add(p.jitter(p.readPause(rank), random))
	}
	return s
}

// delayFirstRead sets the time of the first read of a node without a proof.
func (p *Planner) delayFirstRead(now time.Time, rank int) {
	if rank < 0 && p.nextRead.IsZero() {
		p.nextRead = now.Add(p.cfg.share(firstReadShare + firstReadSpread*p.cfg.Spread))
	}
}

// ReadEnded records the outcome of a read of the store.
func (p *Planner) ReadEnded(ok bool) {
	if ok {
		p.failures = 0
		return
	}
	p.failures++
}

// readAge returns the age of the newest proof from which on a node of the given rank
// reads the store.
func (p *Planner) readAge(rank int) time.Duration {
	switch rank {
	case 0:
		return p.cfg.share(p.schedule.FirstReader)
	case 1:
		return p.cfg.share(p.schedule.SecondReader)
	}
	return p.cfg.share(p.schedule.AnyNode + p.schedule.AnyNodeSpread*p.cfg.Spread)
}

// readPause returns the mean pause after a read.
func (p *Planner) readPause(rank int) time.Duration {
	most := maxPauseFactor
	if rank >= 0 {
		most = maxReaderFactor
	}
	factor := 1
	for range p.failures {
		factor = min(2*factor, most)
	}
	return time.Duration(factor) * p.cfg.share(p.schedule.ReadPause)
}

// jitter returns a duration between 3/4 and 5/4 of d.
func (p *Planner) jitter(d time.Duration, random float64) time.Duration {
	return time.Duration((0.75 + random/2) * float64(d))
}
